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

/*! \brief A request, as far as the system uses it. */
struct HttpRequest
{
    std::string method;
    std::string target; //!< Path and query.
    std::string host;   //!< Host header.
    std::string body;
    std::vector<HttpHeader> headers; //!< Further ones, of requests that this process sends.
};

/*! \brief An answer. */
struct HttpResponse
{
    int status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::string location; //!< Of a redirection.
    std::optional<std::int64_t> retryAfterS;
};

/*! \brief Returns an answer that tells no more than its status. */
inline auto plainResponse(int status) -> HttpResponse
{
    HttpResponse response;
    response.status = status;
    response.body = "{}";
    return response;
}

} // namespace AsyncNet
