#pragma once

#include <httplib.h>

#include <array>
#include <chrono>

namespace Entry::Internal {

/*!
    \brief A connection's socket as the HTTP library reads and writes it.

    The deadline covers a whole request, so that a client that sends a byte now and then
    cannot hold its task longer than a silent one.
*/
class ConnectionStream final : public httplib::Stream
{
public:
    ConnectionStream(socket_t socket, std::chrono::milliseconds requestTimeout);

    /*! \brief Starts the deadline and the byte count of the next request. */
    auto startRequest(std::size_t maximumBytes) -> void;
    /*! \brief Returns true if bytes of the next request are already here. */
    auto hasBufferedBytes() const -> bool { return m_begin < m_end; }
    /*! \brief Returns true once a read failed; the connection is of no further use then. */
    auto hasFailed() const -> bool { return m_failed; }

    auto is_readable() const -> bool override;
    auto is_writable() const -> bool override;
    auto read(char *data, size_t size) -> ssize_t override;
    auto write(const char *data, size_t size) -> ssize_t override;
    auto get_remote_ip_and_port(std::string &ip, int &port) const -> void override;
    auto get_local_ip_and_port(std::string &ip, int &port) const -> void override;
    auto socket() const -> socket_t override { return m_socket; }

private:
    auto fill() -> bool;
    auto remaining() const -> std::chrono::milliseconds;

    static constexpr std::size_t bufferBytes = 4096;

    socket_t m_socket;
    std::chrono::milliseconds m_requestTimeout;
    std::chrono::steady_clock::time_point m_deadline;
    std::size_t m_allowedBytes = 0;
    std::array<char, bufferBytes> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    bool m_failed = false;
};

/*! \brief Waits until \a socket is readable or closed; returns false after \a timeout. */
auto waitReadable(socket_t socket, std::chrono::milliseconds timeout) -> bool;

} // namespace Entry::Internal
