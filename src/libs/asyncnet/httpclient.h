#pragma once

#include "connectionpool.h"
#include "httpmessage.h"
#include "task.h"

#include "utils/error.h"

#include <map>
#include <memory>
#include <string>

namespace AsyncNet {

/*!
    \brief Calls HTTP/1.1 servers over kept connections. Lives on one event loop.

    A call fails with Unavailable if the server refused the connection or could not be reached, so
    that nothing was sent, and with OutcomeUnknown if the server may have received the request.
*/
class HttpClient
{
public:
    /*!
        \brief At most \a connectionsPerServer calls to one server are in progress; others wait.

        Clients that share \a connections share their limit and what is idle.
    */
    HttpClient(asio::io_context &loop,
               int connectionsPerServer,
               std::shared_ptr<ConnectionPool> connections);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /*!
        \brief Sends \a request to HOST:PORT; \a timeout covers the whole call.

        With \a repeatable set, a request that failed on a kept connection, which the server may
        have closed meanwhile, is sent once more on a new one.
    */
    auto call(std::string address,
              HttpRequest request,
              Utils::Milliseconds timeout,
              bool repeatable = true) -> Task<Utils::Result<HttpResponse>>;

private:
    struct Server;
    // With calls in progress, by address. Calls that are cut off by the loop's end may outlive the client.
    using Servers = std::map<std::string, std::weak_ptr<Server>>;
    class Slot;

    asio::io_context &m_loop;
    int m_connectionsPerServer;
    std::shared_ptr<ConnectionPool> m_connections;
    std::shared_ptr<Servers> m_servers;
};

} // namespace AsyncNet
