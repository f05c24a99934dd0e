#pragma once

#include "contracttypes.h"

/*! Claims of non-idempotent requests. */
namespace Fleet {

enum class ClaimState { Claimed, Answered, Unknown };

auto enumNames(ClaimState) -> std::span<const Utils::EnumName<ClaimState>>;

/*! \brief A whole answer as it was sent to the caller. */
struct StoredAnswer
{
    std::int64_t status = 0;
    std::string contentType;
    Utils::Bytes body;
};

/*! \brief The exclusive right to run one non-idempotent request. */
struct RequestClaim
{
    std::string customer;
    std::string key;
    std::string fingerprint; //!< Digest of method, path and body.
    std::string process;
    std::int64_t incarnation = 0;
    std::int64_t attempt = 0;
    ClaimState state = ClaimState::Claimed;
    std::optional<StoredAnswer> answer;
    WallTimeMs createdMs = 0;
};

template <typename Archive>
auto describe(Archive &archive, StoredAnswer &answer) -> void
{
    archive.required("status", answer.status);
    archive.optional("content_type", answer.contentType);
    archive.optional("body", answer.body);
}

template <typename Archive>
auto describe(Archive &archive, RequestClaim &claim) -> void
{
    archive.required("customer", claim.customer);
    archive.required("key", claim.key);
    archive.optional("fingerprint", claim.fingerprint);
    archive.optional("process", claim.process);
    archive.optional("incarnation", claim.incarnation);
    archive.optional("attempt", claim.attempt);
    archive.optional("state", claim.state);
    archive.optional("answer", claim.answer);
    archive.optional("created_ms", claim.createdMs);
}

} // namespace Fleet
