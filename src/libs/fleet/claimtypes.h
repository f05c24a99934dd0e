#pragma once

#include "contracttypes.h"

/*! Claims of non-idempotent requests. */
namespace Fleet {

enum class ClaimState {
    Claimed,         //!< It may be running.
    Answered,        //!< It ran; the answer is stored.
    AnsweredNotKept, //!< It ran; the answer was too large to store.
    Unknown,         //!< It may have run; nobody will know.
};

auto enumNames(ClaimState) -> std::span<const Utils::EnumName<ClaimState>>;

struct AnswerHeader
{
    std::string name;
    std::string value;
};

/*! \brief A whole answer as it was sent to the caller. */
struct StoredAnswer
{
    std::int64_t status = 0;
    std::string contentType;
    std::vector<AnswerHeader> headers;
    Utils::Bytes body;

    /*! \brief Returns the bytes that count against the limits of stored answers. */
    auto size() const -> std::int64_t;
};

/*! \brief The exclusive right to run one non-idempotent request. */
struct RequestClaim
{
    std::string customer;
    std::string key;
    std::string fingerprint; //!< Digest of method, path and body.
    std::string process;
    std::int64_t incarnation = 0;
    std::int64_t attempt = 0; //!< Unique within the process's incarnation.
    ClaimState state = ClaimState::Claimed;
    std::optional<StoredAnswer> answer;
    WallTimeMs createdMs = 0;
};

template <typename Archive>
auto describe(Archive &archive, AnswerHeader &header) -> void
{
    archive.required("name", header.name);
    archive.required("value", header.value);
}

template <typename Archive>
auto describe(Archive &archive, StoredAnswer &answer) -> void
{
    archive.required("status", answer.status);
    archive.optional("content_type", answer.contentType);
    archive.optional("headers", answer.headers);
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
