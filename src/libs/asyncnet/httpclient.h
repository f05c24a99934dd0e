#pragma once

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
    /*! \brief At most \a connectionsPerServer calls to one server are in progress; others wait. */
    HttpClient(asio::io_context &loop, int connectionsPerServer);
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
    class Server;

    auto serverAt(const std::string &address) -> std::shared_ptr<Server>;

    asio::io_context &m_loop;
    int m_connectionsPerServer;
    std::map<std::string, std::shared_ptr<Server>> m_servers;
};

} // namespace AsyncNet
