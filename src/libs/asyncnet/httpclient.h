#pragma once

#include "connectionpool.h"
#include "httpmessage.h"
#include "task.h"

#include "utils/error.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace AsyncNet {

/*!
    \brief Binds a request to the peer that it is for: one of the servers that have had the same address.

    The request goes only over a connection on which this peer has answered.
*/
class Introduction
{
public:
    Introduction() = default;
    virtual ~Introduction();
    Introduction(const Introduction &) = delete;
    auto operator=(const Introduction &) -> Introduction & = delete;

    /*! \brief Returns the name of the peer that the request is for. */
    virtual auto peer() const -> std::string = 0;
    /*!
        \brief Returns the request that is sent first on a new connection.

        It must do no harm to any peer. There is none if this holds for the request of the call itself.
    */
    virtual auto request() const -> std::optional<HttpRequest> = 0;
    /*!
        \brief Returns the name of the peer that has sent \a response, or an empty string.

        The connection is closed if the name is empty. \a known is the name of the peer that has
        answered on the connection before; it is empty on a new one. The function is called once for each
        response.
    */
    virtual auto identify(const HttpResponse &response, const std::string &known)
        -> std::string = 0;
};

/*!
    \brief Calls HTTP/1.1 servers over keep-alive connections, on one event loop.

    A call fails with Unavailable if the server refused the connection, and with Timeout if there
    was no free connection, or if connecting failed otherwise or the introduction got no response;
    the request was not sent in these cases. It fails with OutcomeUnknown if the server may have
    received the request.
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

        With an \a introduction, which must outlive the call, the request goes only to its peer. The
        response says that it is introductory if another one has answered on a new connection.
    */
    auto call(std::string address,
              HttpRequest request,
              Utils::Milliseconds timeout,
              bool repeatable = true,
              Introduction *introduction = nullptr) -> Task<Utils::Result<HttpResponse>>;

private:
    struct Server;
    // Servers with calls, by address. Calls may outlive the client when the event loop ends.
    using Servers = std::map<std::string, std::weak_ptr<Server>>;
    class Slot;
    struct Call;

    auto callOnNewConnection(const Call &call) -> Task<Utils::Result<HttpResponse>>;
    auto exchangeOn(ConnectionPool::Connection connection, const Call &call, std::string peer)
        -> Task<Utils::Result<HttpResponse>>;
    auto keep(ConnectionPool::Connection connection, const Call &call, const std::string &peer)
        -> void;

    asio::io_context &m_loop;
    int m_connectionsPerServer;
    std::shared_ptr<ConnectionPool> m_connections;
    std::shared_ptr<Servers> m_servers;
};

} // namespace AsyncNet
