#include "connectionserver.h"

#include "connectionstream.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace Entry::Internal {
namespace {

constexpr auto requestTimeout = 408;
constexpr auto headerTooLarge = 431;
constexpr auto serviceUnavailable = 503;
// A budget smaller than this number of the largest bodies would refuse a single request.
constexpr std::int64_t heldBodies = 4;
constexpr std::size_t chunkOverheadBytes = 64 * 1024;
constexpr std::chrono::milliseconds lingerTimeout{500};

// Discards data that the client still sends, so that closing the socket does not reset the
// connection before the client has read the response.
auto discardUnread(socket_t socket, std::chrono::milliseconds timeout) -> void
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    ::shutdown(socket, SHUT_WR);
    std::array<char, 4096> bytes{};
    for (;;) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
        if (left.count() <= 0 || !waitReadable(socket, left))
            return;
        if (::recv(socket, bytes.data(), bytes.size(), 0) <= 0)
            return;
    }
}

} // namespace

ConnectionServer::ConnectionServer(ConnectionLimits limits, Refuse refuse)
    : m_limits(limits)
    , m_budget(std::make_shared<Utils::ByteBudget>(
          std::max(limits.heldBytes, std::int64_t(limits.bodyBytes) * heldBodies)))
    , m_refuse(std::move(refuse))
{}

auto ConnectionServer::setHasPending(std::function<bool()> hasPending) -> void
{
    const std::scoped_lock lock(m_mutex);
    m_hasPending = std::move(hasPending);
}

auto ConnectionServer::closeOldestIdle() -> void
{
    const std::scoped_lock lock(m_mutex);
    if (m_idle.empty())
        return;
    // Only the read side is shut down, so that a request that has already arrived is still served.
    ::shutdown(m_idle.begin()->second, SHUT_RD);
    m_idle.erase(m_idle.begin());
}

auto ConnectionServer::closeIdle() -> void
{
    const std::scoped_lock lock(m_mutex);
    m_closesIdle = true;
    for (const auto &[order, socket] : m_idle)
        ::shutdown(socket, SHUT_RD);
}

auto ConnectionServer::setRefusing(bool refusing) -> void
{
    m_refusingThread = refusing ? std::this_thread::get_id() : std::thread::id();
}

auto ConnectionServer::enlargeBacklog() -> void
{
    constexpr auto backlog = 1024;
    ::listen(svr_sock_, backlog);
}

auto ConnectionServer::process_and_close_socket(socket_t socket) -> bool
{
    ConnectionStream stream(socket, m_limits.requestTimeout, m_budget);
    if (m_refusingThread.load() == std::this_thread::get_id()) {
        stream.startRequest();
        refuseRequest(stream, {"connections", serviceUnavailable});
    } else {
        ++m_open;
        serve(stream);
        --m_open;
        if (stream.hasFailed())
            discardUnread(socket, lingerTimeout);
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

auto ConnectionServer::serve(ConnectionStream &stream) -> void
{
    for (auto left = keep_alive_max_count_; left > 0; --left) {
        if (!stream.hasBufferedBytes() && !waitForRequest(stream.socket()))
            return;
        const auto closeAfter = left == 1 || m_endsConnections || svr_sock_ == INVALID_SOCKET;
        if (!serveRequest(stream, closeAfter) || closeAfter)
            return;
    }
}

auto ConnectionServer::serveRequest(ConnectionStream &stream, bool closeAfter) -> bool
{
    stream.startRequest();
    const auto head = stream.receiveHead(m_limits.headBytes);
    if (head == HeadResult::TooLarge)
        refuseRequest(stream, {"header-bytes", headerTooLarge});
    if (head == HeadResult::TooSlow)
        refuseRequest(stream, {"slow-client", requestTimeout});
    if (head != HeadResult::Complete)
        return false;
    if (!stream.holdBody(m_limits.bodyBytes)) {
        refuseRequest(stream, {"memory", serviceUnavailable});
        return false;
    }
    stream.allowBytes(m_limits.headBytes + m_limits.bodyBytes + chunkOverheadBytes);
    auto connectionClosed = false;
    const auto processed =
        process_request(stream, closeAfter, connectionClosed, [](httplib::Request &request) {
            // Without a length, the library would read the body until the connection is closed.
            if (!request.has_header("Content-Length") && !request.has_header("Transfer-Encoding"))
                request.set_header("Content-Length", "0");
        });
    stream.releaseBody();
    if (stream.hasFailed())
        m_refuse({"incomplete-request", 0});
    return processed && !connectionClosed && !stream.hasFailed();
}

auto ConnectionServer::refuseRequest(ConnectionStream &stream, const Refusal &refusal) -> void
{
    stream.markFailed();
    const auto response = m_refuse(refusal);
    stream.write(response.data(), response.size());
}

auto ConnectionServer::waitForRequest(socket_t socket) -> bool
{
    std::uint64_t order = 0;
    {
        const std::scoped_lock lock(m_mutex);
        const auto makeRoom = m_hasPending && m_hasPending();
        // The connection stays open only if data of the next request has already arrived.
        if (m_closesIdle || makeRoom)
            return waitReadable(socket, std::chrono::milliseconds(0));
        order = m_nextIdle++;
        m_idle.emplace(order, socket);
    }
    const auto readable = waitReadable(socket, m_limits.idleTimeout);
    const std::scoped_lock lock(m_mutex);
    m_idle.erase(order);
    return readable;
}

} // namespace Entry::Internal
