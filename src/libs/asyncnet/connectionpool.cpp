#include "connectionpool.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>

namespace AsyncNet {

// Maximum idle time. Connections to servers that have shut down for good would otherwise stay
// half-closed.
constexpr std::chrono::seconds maximumIdleTime{30};

namespace {

// Returns false if the server has closed the connection, or has sent what nobody asked for.
auto isIdle(TcpStream &stream) -> bool
{
    auto &socket = stream.socket();
    boost::system::error_code error;
    socket.non_blocking(true, error);
    if (error)
        return false;
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

auto Internal::ConnectionCloser::operator()(TcpStream *stream) const -> void
{
    delete stream;
    --count->open;
    count->freed.notify();
}

ConnectionPool::ConnectionPool(asio::io_context &loop, std::size_t limit)
    : m_loop(loop)
    , m_limit(limit)
    , m_count(std::make_shared<Internal::ConnectionCount>(loop))
{}

auto ConnectionPool::takeIdle(const std::string &server, const std::string &peer) -> Connection
{
    while (auto idle = takeLastIdle(server)) {
        if (idle->peer == peer && isIdle(*idle->connection))
            return std::move(idle->connection);
    }
    return Connection(nullptr, {m_count});
}

auto ConnectionPool::takeLastIdle(const std::string &server) -> std::optional<Idle>
{
    const auto found = m_idleByServer.find(server);
    if (found == m_idleByServer.end())
        return std::nullopt;
    const auto last = found->second.back();
    auto idle = std::move(*last);
    m_idle.erase(last);
    found->second.pop_back();
    if (found->second.empty())
        m_idleByServer.erase(found);
    return idle;
}

auto ConnectionPool::makeConnection(Deadline deadline) -> Task<Connection>
{
    while (m_count->open >= m_limit) {
        if (!m_idle.empty()) {
            closeOldest();
            continue;
        }
        const auto now = std::chrono::steady_clock::now();
        if (now >= deadline)
            co_return Connection(nullptr, {m_count});
        co_await m_count->freed.waitFor(
            std::chrono::duration_cast<Utils::Milliseconds>(deadline - now)
            + Utils::Milliseconds(1));
    }
    ++m_count->open;
    co_return Connection(new TcpStream(m_loop), {m_count});
}

auto ConnectionPool::putBack(const std::string &server,
                             Connection connection,
                             const std::string &peer) -> void
{
    const auto now = std::chrono::steady_clock::now();
    while (!m_idle.empty() && now - m_idle.front().since > maximumIdleTime)
        closeOldest();
    m_idle.push_back({server, peer, std::move(connection), now});
    m_idleByServer[server].push_back(std::prev(m_idle.end()));
    // A caller that waits in makeConnection() may now close the connection that has been idle the
    // longest and open its own.
    if (m_count->open >= m_limit)
        m_count->freed.notify();
}

auto ConnectionPool::closeIdle(const std::string &server) -> void
{
    const auto found = m_idleByServer.find(server);
    if (found == m_idleByServer.end())
        return;
    for (const auto idle : found->second)
        m_idle.erase(idle);
    m_idleByServer.erase(found);
}

auto ConnectionPool::closeOldest() -> void
{
    const auto oldest = m_idle.begin();
    const auto found = m_idleByServer.find(oldest->server);
    std::erase(found->second, oldest);
    if (found->second.empty())
        m_idleByServer.erase(found);
    m_idle.erase(oldest);
}

} // namespace AsyncNet
