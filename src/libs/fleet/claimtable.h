#pragma once

#include "claimcommands.h"
#include "processtypes.h"

namespace Fleet {

/*! \brief Abandoned attempts of one incarnation of a process; their claims are refused. */
struct FencedAttempts
{
    std::int64_t incarnation = 0;
    std::vector<std::int64_t> attempts; //!< Attempt numbers in ascending order.
};

/*!
    \brief The claims of non-idempotent requests by customer and idempotency key.

    Only the owner of a claim, which is one attempt of one incarnation of a process, may run the
    request. A claim is released only if its owner proves that the request did not run;
    otherwise it is kept for the retention period.
*/
class ClaimTable
{
public:
    /*! \brief Maximum size in bytes of a stored response. */
    static constexpr std::int64_t maximumResponseBytes = 64 * 1024;
    /*! \brief Maximum size in bytes of all stored responses; further ones are not stored. */
    static constexpr std::int64_t maximumTotalResponseBytes = 64 * 1024 * 1024;
    /*! \brief Time after which the owner of a claim counts as lost; longer than any deadline. */
    static constexpr WallTimeMs maximumRunMs = 2 * 3'600'000;
    /*! \brief Number of claims that one call of expire() checks. */
    static constexpr int claimsPerExpiry = 10'000;
    static constexpr std::size_t maximumFencedAttempts = 4096;

    auto claim(const RequestClaim &wanted,
               std::int64_t limit,
               const ProcessTable &processes,
               WallTimeMs nowMs) -> Utils::Result<void>;
    auto settle(const SettleClaim &command) -> Utils::Result<void>;
    /*! \brief Removes claims whose retention period has ended. */
    auto expire(WallTimeMs retentionMs, const ProcessTable &processes, WallTimeMs nowMs) -> void;
    /*!
        \brief Removes the fenced attempts of earlier incarnations of \a process.

        They are not needed any more, since all claims of earlier incarnations are refused.
    */
    auto processStarted(const std::string &process, std::int64_t incarnation) -> void;

    auto find(const std::string &customer, const std::string &key) const -> const RequestClaim *;
    /*! \brief Returns the state of \a claim, which is Unknown once its owner is lost. */
    auto stateOf(const RequestClaim &claim, const ProcessTable &processes, WallTimeMs nowMs) const
        -> ClaimState;
    auto size() const -> std::size_t { return m_claims.size(); }

    template <typename Archive>
    friend auto describe(Archive &archive, ClaimTable &table) -> void
    {
        archive.optional("claims", table.m_claims);
        archive.optional("fenced", table.m_fenced);
        archive.optional("answer_bytes", table.m_responseBytes);
        archive.optional("expiry_cursor", table.m_expiryCursor);
    }

private:
    auto checkExistingClaim(RequestClaim &existing,
                            const RequestClaim &wanted,
                            const ProcessTable &processes,
                            WallTimeMs nowMs) -> Utils::Result<void>;
    auto fence(const SettleClaim &command) -> void;
    auto isFenced(const RequestClaim &wanted) const -> bool;
    auto storeResponse(RequestClaim &claim, const std::optional<StoredResponse> &answer) -> void;
    auto erase(const std::string &id) -> void;

    std::map<std::string, RequestClaim> m_claims;
    std::map<std::string, FencedAttempts> m_fenced; //!< Fenced attempts by process.
    std::int64_t m_responseBytes = 0;
    std::string m_expiryCursor;
};

template <typename Archive>
auto describe(Archive &archive, FencedAttempts &fenced) -> void
{
    archive.required("incarnation", fenced.incarnation);
    archive.required("attempts", fenced.attempts);
}

} // namespace Fleet
