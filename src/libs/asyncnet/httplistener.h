#pragma once

#include "httpmessage.h"
#include "task.h"

#include "utils/bytebudget.h"
#include "utils/error.h"
#include "utils/metrics.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace AsyncNet {

/*! \brief Handles one request and returns the response. */
using HttpHandler = std::function<Task<HttpResponse>(HttpRequest)>;

/*! \brief Limits of a listener. They may be changed while it runs. */
struct HttpListenerLimits
{
    std::int64_t headerBytes = 16 * 1024;
    std::int64_t bodyBytes = 1024 * 1024;
    Utils::Milliseconds requestTimeout{5000}; //!< Time limit to read a request or send a response.
    Utils::Milliseconds idleTimeout{30'000};  //!< Maximum time until a request begins.
    int connections = 3000;
};

/*! \brief An HTTP/1.1 listener on one event loop. */
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
    /*!
        \brief Sets the names of the headers that requests pass on to the handler.

        A header that a request has several times is passed on as often.
    */
    auto keepHeaders(std::vector<std::string> names) -> void;
    /*! \brief Makes requests and responses count against \a budget. Must be called before start(). */
    auto shareBudget(std::shared_ptr<Utils::ByteBudget> budget) -> void;
    /*! \brief Counts refused requests and connections by reason; \a metrics must outlive this. */
    auto countRefusals(Utils::Metrics &metrics) -> void;
    /*! \brief Continues to serve, but closes each connection after its next response. */
    auto endConnections() -> void;
    /*! \brief Stops accepting connections and closes idle ones. */
    auto stopAccepting() -> void;
    auto requestsInProgress() const -> int;
    auto port() const -> int;

private:
    class Private;
    std::shared_ptr<Private> m_d;
};

} // namespace AsyncNet
