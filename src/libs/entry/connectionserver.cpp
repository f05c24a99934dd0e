#include "connectionserver.h"

#include "connectionstream.h"

#include <sys/socket.h>
#include <unistd.h>

namespace Entry::Internal {

ConnectionServer::ConnectionServer(ConnectionLimits limits)
    : m_limits(limits)
{}

auto ConnectionServer::setHasWaiting(std::function<bool()> hasWaiting) -> void
{
    const std::scoped_lock lock(m_mutex);
    m_hasWaiting = std::move(hasWaiting);
}

auto ConnectionServer::closeOldestIdle() -> void
{
    const std::scoped_lock lock(m_mutex);
    if (m_idle.empty())
        return;
    ::shutdown(m_idle.begin()->second, SHUT_RDWR);
    m_idle.erase(m_idle.begin());
}

auto ConnectionServer::closeIdle() -> void
{
    const std::scoped_lock lock(m_mutex);
    m_closing = true;
    for (const auto &[order, socket] : m_idle)
        ::shutdown(socket, SHUT_RDWR);
}

auto ConnectionServer::process_and_close_socket(socket_t socket) -> bool
{
    serve(socket);
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

auto ConnectionServer::serve(socket_t socket) -> void
{
    ConnectionStream stream(socket, m_limits.requestTimeout);
    for (auto left = keep_alive_max_count_; left > 0 && svr_sock_ != INVALID_SOCKET; --left) {
        if (!stream.hasBufferedBytes() && !waitForRequest(socket))
            return;
        stream.startRequest(m_limits.requestBytes);
        auto connectionClosed = false;
        const auto closeAfter = left == 1 || svr_sock_ == INVALID_SOCKET;
        const auto processed = process_request(stream, closeAfter, connectionClosed, nullptr);
        if (!processed || connectionClosed || stream.hasFailed())
            return;
    }
}

auto ConnectionServer::waitForRequest(socket_t socket) -> bool
{
    std::uint64_t order = 0;
    {
        const std::scoped_lock lock(m_mutex);
        const auto wanted = m_hasWaiting && m_hasWaiting();
        if (m_closing || wanted)
            return false;
        order = m_nextIdle++;
        m_idle.emplace(order, socket);
    }
    const auto readable = waitReadable(socket, m_limits.idleTimeout);
    const std::scoped_lock lock(m_mutex);
    m_idle.erase(order);
    return readable;
}

} // namespace Entry::Internal
