#include "rawendpoint.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace {

constexpr std::string_view idHeader = "Trefoilshelf-Request-Id: ";
constexpr std::string_view lengthHeader = "Content-Length: ";
constexpr std::string_view headEnd = "\r\n\r\n";

auto headerValue(const std::string &head, std::string_view name) -> std::string
{
    const auto begin = head.find(name);
    if (begin == std::string::npos)
        return {};
    const auto from = begin + name.size();
    return head.substr(from, head.find("\r\n", from) - from);
}

} // namespace

auto RawEndpoint::Exchange::send(const std::string &text) const -> void
{
    [[maybe_unused]] const auto sent = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
}

auto RawEndpoint::Exchange::waitForClose() const -> void
{
    std::array<char, 256> buffer{};
    while (recv(socket, buffer.data(), buffer.size(), 0) > 0) {
    }
}

RawEndpoint::RawEndpoint(Behaviour behaviour)
    : m_behaviour(std::move(behaviour))
    , m_listener(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    [[maybe_unused]] const auto bound =
        bind(m_listener, reinterpret_cast<sockaddr *>(&address), size);
    listen(m_listener, SOMAXCONN);
    getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_acceptor = std::jthread([this] { accept(); });
}

RawEndpoint::~RawEndpoint()
{
    shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    close(m_listener);
}

auto RawEndpoint::accept() -> void
{
    std::vector<std::jthread> threads;
    std::vector<int> sockets;
    for (;;) {
        const auto socket = ::accept(m_listener, nullptr, nullptr);
        if (socket < 0)
            break;
        ++m_connections;
        sockets.push_back(socket);
        threads.emplace_back([this, socket] { serve(socket); });
    }
    for (const auto socket : sockets)
        shutdown(socket, SHUT_RDWR);
    threads.clear();
    for (const auto socket : sockets)
        close(socket);
}

auto RawEndpoint::serve(int socket) -> void
{
    std::string received;
    std::array<char, 4096> buffer{};
    for (;;) {
        auto end = received.find(headEnd);
        auto length = std::string();
        if (end != std::string::npos)
            length = headerValue(received, lengthHeader);
        const auto needed =
            end + headEnd.size() + (length.empty() ? 0 : std::size_t(std::stoul(length)));
        if (end == std::string::npos || received.size() < needed) {
            const auto count = recv(socket, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                return;
            received.append(buffer.data(), std::size_t(count));
            continue;
        }
        ++m_requests;
        const auto id = headerValue(received, idHeader);
        received.erase(0, needed);
        if (!m_behaviour({socket, id})) {
            shutdown(socket, SHUT_RDWR);
            return;
        }
    }
}

auto completeResponse(const std::string &id, const std::string &body, const std::string &status)
    -> std::string
{
    return "HTTP/1.1 " + status + "\r\nTrefoilshelf-Request-Id: " + id
           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
