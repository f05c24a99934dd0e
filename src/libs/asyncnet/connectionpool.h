#pragma once

#include "task.h"
#include "tcpstream.h"

#include <chrono>
#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace AsyncNet {

namespace Internal {

/*! \brief Counts the open connections of a pool. The connections may outlive the pool. */
struct ConnectionCount
{
    explicit ConnectionCount(asio::io_context &loop)
        : freed(loop)
    {}

    std::size_t open = 0;
    Signal freed;
};

/*! \brief Closes a connection and decrements the count of open connections. */
struct ConnectionCloser
{
    std::shared_ptr<ConnectionCount> count;

    auto operator()(TcpStream *stream) const -> void;
};

} // namespace Internal

/*!
    \brief Limits the total number of connections to all servers and keeps idle ones for reuse.

    When the limit is reached, the connection that has been idle the longest is closed to make room.
    All calls must be made on the event loop.
*/
class ConnectionPool
{
public:
    using Connection = std::unique_ptr<TcpStream, Internal::ConnectionCloser>;
    using Deadline = std::chrono::steady_clock::time_point;

    /*! \brief Creates a pool of at most \a limit open connections, idle ones included. */
    ConnectionPool(asio::io_context &loop, std::size_t limit);

    /*!
        \brief Returns the most recently used open idle connection to \a peer at \a server, or nullptr.

        Idle connections to that server that were used later are closed: they are to other peers, or the
        server has closed them.
    */
    auto takeIdle(const std::string &server, const std::string &peer = {}) -> Connection;
    /*! \brief Returns a new connection when the limit allows it, or nullptr after \a deadline. */
    auto makeConnection(Deadline deadline) -> Task<Connection>;
    /*! \brief Keeps a connection to \a server, on which \a peer has answered; empty if that is not known. */
    auto putBack(const std::string &server, Connection connection, const std::string &peer = {})
        -> void;
    auto closeIdle(const std::string &server) -> void;
    auto openConnections() const -> std::size_t { return m_count->open; }

private:
    struct Idle
    {
        std::string server;
        std::string peer;
        Connection connection;
        std::chrono::steady_clock::time_point since;
    };
    using IdleList = std::list<Idle>;

    auto closeOldest() -> void;
    auto takeLastIdle(const std::string &server) -> std::optional<Idle>;

    asio::io_context &m_loop;
    std::size_t m_limit;
    std::shared_ptr<Internal::ConnectionCount> m_count;
    IdleList m_idle; //!< Idle connections, the longest idle first.
    std::map<std::string, std::vector<IdleList::iterator>> m_idleByServer;
};

} // namespace AsyncNet
