#pragma once

#include "utils/error.h"
#include "utils/fields.h"
#include "utils/metrics.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

/*! HTTP interfaces for callers, endpoints and operators. */
namespace Entry {

/*! \brief Settings of one listener. */
struct HttpServerOptions
{
    std::string name;
    std::string address; //!< HOST:PORT; port 0 selects a free port.
    int connections = 64;
    std::int64_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds slowClientTimeout{5000}; //!< Time limit for receiving a request.
    std::int64_t headerBytes = 16 * 1024;
    std::chrono::milliseconds idleConnectionTimeout{30'000};
    Utils::Metrics *metrics = nullptr; //!< Receives the count of refused requests; may be nullptr.
    bool tellsOutcome = false; //!< Errors of the server carry the header Trefoilshelf-Outcome.
    //! What the requests of all connections may hold together; at least four of the largest bodies.
    std::int64_t heldBytes = 48 * 1024 * 1024;
};

/*! \brief An HTTP listener that serves its connections in a task arena of its own. */
class HttpServer
{
public:
    explicit HttpServer(HttpServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /*! \brief Returns the HTTP library's server. Handlers must be added before start(). */
    auto routes() -> httplib::Server &;
    auto start() -> Utils::Result<void>;
    /*! \brief Continues to serve, but closes each connection after its next response. */
    auto endConnections() -> void;
    auto openConnections() const -> int;
    /*! \brief Stops accepting connections and waits for requests in progress. */
    auto stop() -> void;
    auto port() const -> int;
    auto name() const -> const std::string &;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

/*! \brief Sets the JSON error body and the HTTP status that matches the error type. */
auto setError(httplib::Response &response, const Utils::Error &error) -> void;
auto setJson(httplib::Response &response, const Utils::Json &json) -> void;

} // namespace Entry
