#pragma once

#include "claimtypes.h"

/*! Commands on what claimtypes.h defines. */
namespace Fleet {

/*! \brief Claims the right to run a non-idempotent request. */
struct ClaimRequest
{
    static constexpr std::string_view typeName = "claim-request";
    static constexpr bool resultKept = false;
    RequestClaim claim;
};

/*! \brief Ends a claim: stores the answer, releases it after a proven not-run, or marks it unknown. */
struct SettleClaim
{
    static constexpr std::string_view typeName = "settle-claim";
    static constexpr bool resultKept = false;
    std::string customer;
    std::string key;
    std::string process;
    std::int64_t attempt = 0;
    bool notRun = false;
    std::optional<StoredAnswer> answer;
};

template <typename Archive>
auto describe(Archive &archive, ClaimRequest &command) -> void
{
    archive.required("claim", command.claim);
}

template <typename Archive>
auto describe(Archive &archive, SettleClaim &command) -> void
{
    archive.required("customer", command.customer);
    archive.required("key", command.key);
    archive.required("process", command.process);
    archive.required("attempt", command.attempt);
    archive.optional("not_run", command.notRun);
    archive.optional("answer", command.answer);
}

} // namespace Fleet
