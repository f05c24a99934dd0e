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

/*! The HTTP interfaces towards callers, endpoints and operators. */
namespace Entry {

/*! \brief Limits of one listener. */
struct HttpServerOptions
{
    std::string name;
    std::string address; //!< HOST:PORT; port 0 takes a free port.
    int connections = 64;
    std::int64_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds slowClientTimeout{5000}; //!< For reading one whole request.
    std::int64_t headerBytes = 16 * 1024;
    std::chrono::milliseconds idleConnectionTimeout{30'000};
    Utils::Metrics *metrics = nullptr; //!< Counts refused requests, if set.
    bool tellsOutcome = false;         //!< The server's own errors carry Trefoilshelf-Outcome.
};

/*! \brief One HTTP listener whose connections run as tasks in an arena of their own. */
class HttpServer
{
public:
    explicit HttpServer(HttpServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    /*! \brief Returns the library's server, to add handlers before start(). */
    auto routes() -> httplib::Server &;
    auto start() -> Utils::Result<void>;
    /*! \brief Goes on serving, but ends each connection after its next answer. */
    auto endConnections() -> void;
    auto openConnections() const -> int;
    /*! \brief Accepts no more connections and waits for requests in progress. */
    auto stop() -> void;
    auto port() const -> int;
    auto name() const -> const std::string &;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

/*! \brief Sets the typed error body and the status that belongs to the error's type. */
auto setError(httplib::Response &response, const Utils::Error &error) -> void;
auto setJson(httplib::Response &response, const Utils::Json &json) -> void;

} // namespace Entry
