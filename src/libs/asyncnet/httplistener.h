#pragma once

#include "httpmessage.h"
#include "task.h"

#include "utils/error.h"

#include <functional>
#include <memory>
#include <string>

namespace AsyncNet {

/*! \brief Answers one request. */
using HttpHandler = std::function<Task<HttpResponse>(HttpRequest)>;

/*! \brief Limits of a listener. They may change while it runs. */
struct HttpListenerLimits
{
    std::int64_t headerBytes = 16 * 1024;
    std::int64_t bodyBytes = 1024 * 1024;
    Utils::Milliseconds requestTimeout{5000}; //!< For reading one whole request.
    Utils::Milliseconds idleTimeout{30'000};  //!< Between two requests of a connection.
    int connections = 3000;
};

/*! \brief An HTTP/1.1 listener. Lives on one event loop. */
class HttpListener
{
public:
    HttpListener(asio::io_context &loop, std::string name, HttpHandler handler);
    ~HttpListener();
    HttpListener(const HttpListener &) = delete;
    auto operator=(const HttpListener &) -> HttpListener & = delete;

    /*! \brief Listens on HOST:PORT. */
    auto start(const std::string &address) -> Utils::Result<void>;
    auto setLimits(const HttpListenerLimits &limits) -> void;
    /*! \brief Goes on serving, but ends each connection after its next answer. */
    auto endConnections() -> void;
    /*! \brief Accepts no more connections and closes those that are idle. */
    auto stopAccepting() -> void;
    auto requestsInProgress() const -> int;
    auto port() const -> int;

private:
    class Private;
    std::shared_ptr<Private> m_d;
};

} // namespace AsyncNet
