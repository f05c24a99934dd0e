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
    \brief Calls HTTP/1.1 servers over keep-alive connections, on one event loop.

    A call fails with Unavailable if the server refused the connection, and with Timeout if there
    was no free connection or connecting failed otherwise; nothing was sent in these cases. It
    fails with OutcomeUnknown if the server may have received the request.
*/
class HttpClient
{
public:
    /*!
        \brief Creates a client with at most \a connectionsPerServer calls to a server at once.

        Further calls wait. Clients that use the same \a connections share its limit and its idle
        connections.
    */
    HttpClient(asio::io_context &loop,
               int connectionsPerServer,
               std::shared_ptr<ConnectionPool> connections);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    auto operator=(const HttpClient &) -> HttpClient & = delete;

    /*!
        \brief Sends \a request to HOST:PORT; \a timeout covers the whole call.

        If \a repeatable is true, a request that failed on an idle connection, which the server may
        have closed meanwhile, is sent once more on a new connection. The response then says that
        it is repeated: the server may also process the first copy, at any later time.
    */
    auto call(std::string address,
              HttpRequest request,
              Utils::Milliseconds timeout,
              bool repeatable = true) -> Task<Utils::Result<HttpResponse>>;

private:
    struct Server;
    // Servers with calls, by address. Calls may outlive the client when the event loop ends.
    using Servers = std::map<std::string, std::weak_ptr<Server>>;
    class Slot;

    asio::io_context &m_loop;
    int m_connectionsPerServer;
    std::shared_ptr<ConnectionPool> m_connections;
    std::shared_ptr<Servers> m_servers;
};

} // namespace AsyncNet
