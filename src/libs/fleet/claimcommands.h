#pragma once

#include "claimtypes.h"

/*! Commands that change the claims of non-idempotent requests. */
namespace Fleet {

/*!
    \brief Claims the right to run a non-idempotent request.

    A resend by the same attempt is accepted.
*/
struct ClaimRequest
{
    static constexpr std::string_view typeName = "claim-request";
    static constexpr bool resultKept = false;
    RequestClaim claim;
    std::int64_t limit = 1'000'000; //!< Maximum number of claims; further claims are refused.
};

/*! \brief What the owner of a claim knows about the execution of the request. */
enum class ClaimOutcome { Answered, NotRun, Unknown };

auto enumNames(ClaimOutcome) -> std::span<const Utils::EnumName<ClaimOutcome>>;

/*!
    \brief Ends a claim as \c outcome requires.

    Answered stores the response if the limits permit it. NotRun releases the claim. Unknown
    records that the outcome is unknown.
*/
struct SettleClaim
{
    static constexpr std::string_view typeName = "settle-claim";
    static constexpr bool resultKept = false;
    std::string customer;
    std::string key;
    std::string process;
    std::int64_t incarnation = 0;
    std::int64_t attempt = 0;
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    bool fence = false; //!< Whether to refuse a claim of this attempt that is committed later.
    std::optional<StoredResponse> answer; //!< Not set if the response is too large to store.
};

/*! \brief Removes claims after their retention; each command checks a bounded number of claims. */
struct ExpireClaims
{
    static constexpr std::string_view typeName = "expire-claims";
    static constexpr bool resultKept = false;
    std::int64_t retentionMs = 0;
};

template <typename Archive>
auto describe(Archive &archive, ClaimRequest &command) -> void
{
    archive.required("claim", command.claim);
    archive.optional("limit", command.limit, Utils::Range{0, 100'000'000});
}

template <typename Archive>
auto describe(Archive &archive, SettleClaim &command) -> void
{
    archive.required("customer", command.customer);
    archive.required("key", command.key);
    archive.required("process", command.process);
    archive.required("incarnation", command.incarnation);
    archive.required("attempt", command.attempt);
    archive.required("outcome", command.outcome);
    archive.optional("fence", command.fence);
    archive.optional("answer", command.answer);
}

template <typename Archive>
auto describe(Archive &archive, ExpireClaims &command) -> void
{
    archive.required("retention_ms", command.retentionMs, Utils::Range{0, INT64_MAX});
}

} // namespace Fleet
