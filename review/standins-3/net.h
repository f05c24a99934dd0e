// Plain HTTP/1.1 over loopback sockets for the stand-ins of the review's cases: a server with a thread for
// each connection, and a client that opens a connection for each call.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace Review {

struct Request
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string body;
};

struct Reply
{
    int status = 0; // 0: no answer.
    std::map<std::string, std::string> headers;
    std::string body;
};

inline auto nowMs() -> std::int64_t
{
    static const auto began = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began).count();
}

inline auto wallMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline auto sleepMs(std::int64_t ms) -> void
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline auto socketAddress(const std::string &address) -> sockaddr_in
{
    const auto colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    result.sin_port = htons(std::uint16_t(std::atoi(address.substr(colon + 1).c_str())));
    return result;
}

// Reads one message; the first line is returned in "first". Returns false at the end of the connection.
inline auto readMessage(int socket,
                        std::string &buffer,
                        std::string &first,
                        std::map<std::string, std::string> &headers,
                        std::string &body,
                        std::int64_t deadlineMs) -> bool
{
    const auto more = [&] {
        pollfd waiting{socket, POLLIN, 0};
        const auto left = deadlineMs == 0 ? 600'000 : deadlineMs - nowMs();
        if (left <= 0 || ::poll(&waiting, 1, int(left)) <= 0)
            return false;
        char bytes[16384];
        const auto read = ::recv(socket, bytes, sizeof bytes, 0);
        if (read <= 0)
            return false;
        buffer.append(bytes, std::size_t(read));
        return true;
    };
    auto end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    const auto head = buffer.substr(0, end);
    buffer.erase(0, end + 4);
    first = head.substr(0, head.find("\r\n"));
    headers.clear();
    for (auto at = head.find("\r\n"); at != std::string::npos;) {
        const auto next = head.find("\r\n", at + 2);
        const auto line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            auto name = line.substr(0, colon);
            for (auto &letter : name)
                letter = char(std::tolower(static_cast<unsigned char>(letter)));
            headers[name] = line.substr(line.find_first_not_of(' ', colon + 1));
        }
        at = next;
    }
    const auto length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (buffer.size() < length) {
        if (!more())
            return false;
    }
    body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

inline auto sendAll(int socket, const std::string &bytes) -> bool
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto step = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (step <= 0)
            return false;
        sent += std::size_t(step);
    }
    return true;
}

// Serves until the process ends. A handler that returns nothing closes the connection without an answer.
class Server
{
public:
    using Handler = std::function<std::optional<Reply>(const Request &)>;

    // Listens on IP:PORT; port 0 chooses a free one. Returns false if that fails.
    auto start(const std::string &address, Handler handler) -> bool
    {
        m_handler = std::move(handler);
        m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto local = socketAddress(address);
        if (::bind(m_socket, reinterpret_cast<sockaddr *>(&local), sizeof local) != 0
            || ::listen(m_socket, 128) != 0)
            return false;
        socklen_t length = sizeof local;
        ::getsockname(m_socket, reinterpret_cast<sockaddr *>(&local), &length);
        m_address = address.substr(0, address.rfind(':')) + ':' + std::to_string(ntohs(local.sin_port));
        std::thread([this] { accept(); }).detach();
        return true;
    }
    auto address() const -> const std::string & { return m_address; }
    // Refuses new connections from now on.
    auto stop() -> void
    {
        m_stopped = true;
        ::shutdown(m_socket, SHUT_RDWR);
        ::close(m_socket);
    }

private:
    auto accept() -> void
    {
        for (;;) {
            const auto connection = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0 && m_stopped)
                return;
            if (connection >= 0)
                std::thread([this, connection] { serve(connection); }).detach();
        }
    }
    auto serve(int connection) -> void
    {
        const int on = 1;
        ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string buffer;
        std::string first;
        Request request;
        while (readMessage(connection, buffer, first, request.headers, request.body, 0)) {
            const auto space = first.find(' ');
            request.method = first.substr(0, space);
            request.target = first.substr(space + 1, first.rfind(' ') - space - 1);
            const auto reply = m_handler(request);
            if (!reply || m_stopped)
                break;
            auto text = "HTTP/1.1 " + std::to_string(reply->status) + " X\r\nContent-Type: application/json\r\n";
            text += "Content-Length: " + std::to_string(reply->body.size()) + "\r\n\r\n" + reply->body;
            if (!sendAll(connection, text))
                break;
        }
        ::close(connection);
    }

    Handler m_handler;
    int m_socket = -1;
    std::string m_address;
    std::atomic_bool m_stopped = false;
};

// Sends a request on a new connection. The status is 0 if there is no whole answer in time.
inline auto call(const std::string &address,
                 const std::string &method,
                 const std::string &target,
                 const std::string &host,
                 const std::string &body,
                 std::int64_t timeoutMs) -> Reply
{
    const auto deadline = nowMs() + timeoutMs;
    Reply reply;
    const auto connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto remote = socketAddress(address);
    std::string buffer;
    std::string first;
    const auto request = method + ' ' + target + " HTTP/1.1\r\nHost: " + (host.empty() ? address : host)
                         + "\r\nContent-Type: application/json\r\nContent-Length: "
                         + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    if (::connect(connection, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) == 0
        && sendAll(connection, request)
        && readMessage(connection, buffer, first, reply.headers, reply.body, deadline))
        reply.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
    ::close(connection);
    return reply;
}

// Like call(), and follows redirects twice.
inline auto callFollowing(std::string address,
                          const std::string &method,
                          std::string target,
                          const std::string &body,
                          std::int64_t timeoutMs) -> Reply
{
    Reply reply;
    for (int step = 0; step < 3; ++step) {
        reply = call(address, method, target, {}, body, timeoutMs);
        if (reply.status != 307)
            return reply;
        const auto rest = reply.headers["location"].substr(std::string("http://").size());
        address = rest.substr(0, rest.find('/'));
        target = rest.substr(rest.find('/'));
    }
    return reply;
}

} // namespace Review
