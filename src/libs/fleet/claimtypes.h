#pragma once

#include "contracttypes.h"

/*! Claims of non-idempotent requests. */
namespace Fleet {

enum class ClaimState {
    Claimed,           //!< The request may be running.
    Answered,          //!< The request ran; its response is stored.
    ResponseNotStored, //!< The request ran; the limits did not allow storing its response.
    Unknown,           //!< The request may have run; its outcome cannot be determined.
};

auto enumNames(ClaimState) -> std::span<const Utils::EnumName<ClaimState>>;

struct ResponseHeader
{
    std::string name;
    std::string value;
};

/*! \brief The complete response to a request, or the result of a job. */
struct StoredResponse
{
    std::int64_t status = 0;
    std::string contentType;
    std::vector<ResponseHeader> headers;
    Utils::Bytes body;

    /*! \brief Returns the number of bytes that count towards the limits of stored responses. */
    auto size() const -> std::int64_t;
};

/*! \brief The exclusive right to run one non-idempotent request. */
struct RequestClaim
{
    std::string customer;
    std::string key;
    std::string fingerprint; //!< Digest of the request's method, path and body.
    std::string process;
    std::int64_t incarnation = 0;
    std::int64_t attempt = 0; //!< Unique within the process's incarnation.
    ClaimState state = ClaimState::Claimed;
    std::optional<StoredResponse> answer;
    WallTimeMs createdMs = 0;
};

template <typename Archive>
auto describe(Archive &archive, ResponseHeader &header) -> void
{
    archive.required("name", header.name);
    archive.required("value", header.value);
}

template <typename Archive>
auto describe(Archive &archive, StoredResponse &answer) -> void
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
