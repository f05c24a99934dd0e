#include "relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace {

constexpr std::size_t bufferBytes = 16 * 1024;

auto loopback(int port) -> sockaddr_in
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

auto listenOnFreePort() -> int
{
    const auto listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(0);
    [[maybe_unused]] const auto bound =
        ::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    ::listen(listener, SOMAXCONN);
    return listener;
}

auto portOf(int socket) -> int
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

} // namespace

auto freePort() -> int
{
    // The ports lie below the kernel's ephemeral range, which connections and relays use.
    constexpr auto firstPort = 20'000;
    constexpr auto portCount = 12'000;
    constexpr auto portsPerTest = 64;
    static std::atomic<int> next = ::getpid() * portsPerTest;
    for (;;) {
        const auto port = firstPort + next++ % portCount;
        const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        const auto isFree =
            ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        ::close(socket);
        if (isFree)
            return port;
    }
}

Relay::Relay(int targetPort)
    : m_targetPort(targetPort)
    , m_listener(listenOnFreePort())
    , m_port(portOf(m_listener))
    , m_acceptor([this] { acceptConnections(); })
{}

Relay::~Relay()
{
    m_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    closeConnections();
    m_threads.clear();
    for (const auto socket : m_sockets)
        ::close(socket);
    ::close(m_listener);
}

auto Relay::heal() -> void
{
    m_cut = false;
    closeConnections();
}

auto Relay::closeConnections() -> void
{
    const std::scoped_lock lock(m_mutex);
    for (const auto socket : m_sockets)
        ::shutdown(socket, SHUT_RDWR);
}

auto Relay::acceptConnections() -> void
{
    while (!m_stopping) {
        const auto caller = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (caller >= 0)
            serve(caller);
    }
}

auto Relay::serve(int caller) -> void
{
    const auto target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(m_targetPort);
    const auto connected =
        ::connect(target, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    const std::scoped_lock lock(m_mutex);
    // Only the destructor closes sockets, so that no descriptor number is reused before.
    m_sockets.push_back(caller);
    m_sockets.push_back(target);
    if (!connected) {
        ::shutdown(caller, SHUT_RDWR);
        return;
    }
    m_threads.emplace_back([=, this] { pump(caller, target); });
    m_threads.emplace_back([=, this] { pump(target, caller); });
}

auto Relay::pump(int from, int to) -> void
{
    std::array<char, bufferBytes> buffer{};
    for (;;) {
        const auto received = ::recv(from, buffer.data(), buffer.size(), 0);
        if (received <= 0)
            break;
        if (m_cut)
            continue;
        if (::send(to, buffer.data(), std::size_t(received), MSG_NOSIGNAL) != received)
            break;
    }
    ::shutdown(from, SHUT_RDWR);
    ::shutdown(to, SHUT_RDWR);
}
