#pragma once

#include "claimcommands.h"
#include "processtypes.h"

namespace Fleet {

/*! \brief Attempts of one process that were given up; their claims are refused. */
struct FencedAttempts
{
    std::int64_t incarnation = 0;
    std::vector<std::int64_t> attempts; //!< Ascending.
};

/*!
    \brief The claims of non-idempotent requests by customer and idempotency key.

    A claim is run by its owner alone: a process, its incarnation and an attempt. It is
    released only by its owner's proven not-run, and otherwise kept for its retention.
*/
class ClaimTable
{
public:
    /*! \brief Bytes of the largest answer that is kept. */
    static constexpr std::int64_t maximumAnswerBytes = 64 * 1024;
    /*! \brief Bytes of all kept answers; beyond them an answer is not kept. */
    static constexpr std::int64_t maximumTotalAnswerBytes = 64 * 1024 * 1024;
    /*! \brief Time after which the owner of a claim is taken for gone; above any deadline. */
    static constexpr WallTimeMs maximumRunMs = 2 * 3'600'000;
    /*! \brief Claims that one expiry looks at. */
    static constexpr int expiryStep = 10'000;
    static constexpr std::size_t maximumFencedAttempts = 4096;

    auto claim(const RequestClaim &wanted,
               std::int64_t limit,
               const ProcessTable &processes,
               WallTimeMs nowMs) -> Utils::Result<void>;
    auto settle(const SettleClaim &command) -> Utils::Result<void>;
    /*! \brief Drops claims whose retention has ended. */
    auto expire(WallTimeMs retentionMs, const ProcessTable &processes, WallTimeMs nowMs) -> void;
    /*! \brief Forgets what was fenced of earlier incarnations, whose claims are now refused anyway. */
    auto processStarted(const std::string &process, std::int64_t incarnation) -> void;

    auto find(const std::string &customer, const std::string &key) const -> const RequestClaim *;
    /*! \brief Returns the state of \a claim, which is Unknown once its owner is gone. */
    auto stateOf(const RequestClaim &claim, const ProcessTable &processes, WallTimeMs nowMs) const
        -> ClaimState;
    auto size() const -> std::size_t { return m_claims.size(); }

    template <typename Archive>
    friend auto describe(Archive &archive, ClaimTable &table) -> void
    {
        archive.optional("claims", table.m_claims);
        archive.optional("fenced", table.m_fenced);
        archive.optional("answer_bytes", table.m_answerBytes);
        archive.optional("expiry_cursor", table.m_expiryCursor);
    }

private:
    auto refusePresent(RequestClaim &present,
                       const RequestClaim &wanted,
                       const ProcessTable &processes,
                       WallTimeMs nowMs) -> Utils::Result<void>;
    auto fence(const SettleClaim &command) -> void;
    auto isFenced(const RequestClaim &wanted) const -> bool;
    auto keepAnswer(RequestClaim &claim, const std::optional<StoredAnswer> &answer) -> void;
    auto erase(const std::string &id) -> void;

    std::map<std::string, RequestClaim> m_claims;
    std::map<std::string, FencedAttempts> m_fenced; //!< By process.
    std::int64_t m_answerBytes = 0;
    std::string m_expiryCursor;
};

template <typename Archive>
auto describe(Archive &archive, FencedAttempts &fenced) -> void
{
    archive.required("incarnation", fenced.incarnation);
    archive.required("attempts", fenced.attempts);
}

} // namespace Fleet
