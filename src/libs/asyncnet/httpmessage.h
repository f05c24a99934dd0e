#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace AsyncNet {

struct HttpHeader
{
    std::string name;
    std::string value;
};

/*! \brief The parts of an HTTP request that the system uses. */
struct HttpRequest
{
    std::string method;
    std::string target; //!< Path and query.
    std::string host;   //!< Value of the Host header.
    std::string body;
    //! Additional headers. In received requests only those that the listener keeps.
    std::vector<HttpHeader> headers;
};

/*! \brief The parts of an HTTP response that the system uses. */
struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::string location; //!< Target of a redirection.
    std::optional<std::int64_t> retryAfterS;
    //! An earlier copy of the request got no response; only set in responses that are received.
    bool repeated = false;
    //! It responds to an introduction, and the request was not sent; only set in responses that are received.
    bool introductory = false;
};

/*! \brief Returns a response with a status and an empty JSON object as its body. */
inline auto plainResponse(int status) -> HttpResponse
{
    HttpResponse response;
    response.status = status;
    response.body = "{}";
    return response;
}

} // namespace AsyncNet
