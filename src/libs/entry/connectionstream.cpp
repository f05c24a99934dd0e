#include "connectionstream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <cstring>

namespace Entry::Internal {
namespace {

// The library appends to a string, which grows by copies, and a handler may make one more.
constexpr std::int64_t bytesHeldPerBodyByte = 3;

auto waitFor(socket_t socket, short events, std::chrono::milliseconds timeout) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    for (;;) {
        pollfd descriptor{socket, events, 0};
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
        const auto ready = ::poll(&descriptor, 1, int(std::max<std::int64_t>(0, left.count())));
        if (ready >= 0 || errno != EINTR)
            return ready > 0;
    }
}

auto wouldBlock(ssize_t count) -> bool
{
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

using NameFunction = int (*)(int, sockaddr *, socklen_t *);

auto readName(socket_t socket, NameFunction name, std::string &ip, int &port) -> void
{
    sockaddr_storage address{};
    socklen_t length = sizeof address;
    if (name(socket, reinterpret_cast<sockaddr *>(&address), &length) != 0)
        return;
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET) {
        const auto *v4 = reinterpret_cast<const sockaddr_in *>(&address);
        ::inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
        port = ntohs(v4->sin_port);
    } else {
        const auto *v6 = reinterpret_cast<const sockaddr_in6 *>(&address);
        ::inet_ntop(AF_INET6, &v6->sin6_addr, text.data(), text.size());
        port = ntohs(v6->sin6_port);
    }
    ip = text.data();
}

} // namespace

auto waitReadable(socket_t socket, std::chrono::milliseconds timeout) -> bool
{
    return waitFor(socket, POLLIN, timeout);
}

ConnectionStream::ConnectionStream(socket_t socket,
                                   std::chrono::milliseconds requestTimeout,
                                   std::shared_ptr<Utils::ByteBudget> budget)
    : m_socket(socket)
    , m_requestTimeout(requestTimeout)
    , m_held(std::move(budget))
{}

auto ConnectionStream::startRequest() -> void
{
    m_deadline = std::chrono::steady_clock::now() + m_requestTimeout;
    m_buffer.erase(0, m_begin);
    m_begin = 0;
    m_readBytes = 0;
    m_held.resize(0);
}

auto ConnectionStream::hold(std::size_t bytes) -> bool
{
    const auto needed = std::int64_t(bytes) * bytesHeldPerBodyByte;
    return needed <= m_held.held() || m_held.resize(needed);
}

auto ConnectionStream::holdBody(std::size_t maximumBytes) -> bool
{
    constexpr std::string_view name = "\r\ncontent-length:";
    const auto head = std::string_view(m_buffer).substr(m_begin);
    const auto isSame = [](unsigned char left, char right) {
        return char(std::tolower(left)) == right;
    };
    const auto *const found =
        std::search(head.data(), head.data() + head.size(), name.begin(), name.end(), isSame);
    if (found == head.data() + head.size())
        return true;
    const auto length = std::strtoull(found + name.size(), nullptr, 10);
    // The library refuses a larger body without reading it.
    return length > maximumBytes || hold(length);
}

auto ConnectionStream::receiveHead(std::size_t maximumBytes) -> HeadResult
{
    constexpr std::string_view endOfHead = "\r\n\r\n";
    std::size_t searched = 0;
    for (;;) {
        const auto end = m_buffer.find(endOfHead, searched);
        if (end != std::string::npos && end < maximumBytes)
            return HeadResult::Complete;
        if (m_buffer.size() >= maximumBytes)
            return HeadResult::TooLarge;
        searched = m_buffer.size() - std::min(m_buffer.size(), endOfHead.size() - 1);
        if (!append())
            return remaining().count() > 0 || m_buffer.empty() ? HeadResult::Closed
                                                               : HeadResult::TooSlow;
    }
}

auto ConnectionStream::remaining() const -> std::chrono::milliseconds
{
    return std::chrono::ceil<std::chrono::milliseconds>(m_deadline
                                                        - std::chrono::steady_clock::now());
}

auto ConnectionStream::is_readable() const -> bool
{
    return hasBufferedBytes() || waitFor(m_socket, POLLIN, remaining());
}

auto ConnectionStream::is_writable() const -> bool
{
    return waitFor(m_socket, POLLOUT, m_requestTimeout);
}

auto ConnectionStream::fill() -> bool
{
    m_buffer.clear();
    m_begin = 0;
    return append();
}

auto ConnectionStream::append() -> bool
{
    constexpr std::size_t chunkBytes = 4096;
    if (remaining().count() <= 0)
        return false;
    std::array<char, chunkBytes> chunk;
    // Data has usually arrived already; waiting first would cost an additional system call.
    auto count = ::recv(m_socket, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (wouldBlock(count) && waitFor(m_socket, POLLIN, remaining()))
        count = ::recv(m_socket, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (count <= 0)
        return false;
    m_buffer.append(chunk.data(), std::size_t(count));
    return true;
}

auto ConnectionStream::read(char *data, size_t size) -> ssize_t
{
    m_failed = m_failed || (!hasBufferedBytes() && !fill());
    const auto count = std::min(size, m_buffer.size() - m_begin);
    m_failed = m_failed || count > m_allowedBytes || !hold(m_readBytes + count);
    if (m_failed)
        return -1;
    std::memcpy(data, m_buffer.data() + m_begin, count);
    m_begin += count;
    m_allowedBytes -= count;
    m_readBytes += count;
    return ssize_t(count);
}

auto ConnectionStream::write(const char *data, size_t size) -> ssize_t
{
    const auto count = ::send(m_socket, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (!wouldBlock(count))
        return count;
    if (!is_writable())
        return -1;
    return ::send(m_socket, data, size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

auto ConnectionStream::get_remote_ip_and_port(std::string &ip, int &port) const -> void
{
    readName(m_socket, ::getpeername, ip, port);
}

auto ConnectionStream::get_local_ip_and_port(std::string &ip, int &port) const -> void
{
    readName(m_socket, ::getsockname, ip, port);
}

} // namespace Entry::Internal
