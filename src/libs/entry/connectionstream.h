#pragma once

#include <httplib.h>

#include <chrono>
#include <string>

namespace Entry::Internal {

enum class HeadResult { Complete, Closed, TooLarge, TooSlow };

/*!
    \brief A connection's socket as the HTTP library reads and writes it.

    The deadline covers a whole request, so that a client that sends a byte now and then
    cannot hold its task longer than a silent one.
*/
class ConnectionStream final : public httplib::Stream
{
public:
    ConnectionStream(socket_t socket, std::chrono::milliseconds requestTimeout);

    /*! \brief Starts the deadline of the next request. */
    auto startRequest() -> void;
    /*! \brief Reads a request's line and header lines into the buffer. */
    auto receiveHead(std::size_t maximumBytes) -> HeadResult;
    /*! \brief Allows \a bytes for the part of the request that is not read yet. */
    auto allowBytes(std::size_t bytes) -> void { m_allowedBytes = bytes; }
    /*! \brief Returns true if bytes of the next request are already here. */
    auto hasBufferedBytes() const -> bool { return m_begin < m_buffer.size(); }
    auto markFailed() -> void { m_failed = true; }
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
    auto append() -> bool;
    auto remaining() const -> std::chrono::milliseconds;

    socket_t m_socket;
    std::chrono::milliseconds m_requestTimeout;
    std::chrono::steady_clock::time_point m_deadline;
    std::size_t m_allowedBytes = 0;
    std::string m_buffer;
    std::size_t m_begin = 0;
    bool m_failed = false;
};

/*! \brief Waits until \a socket is readable or closed; returns false after \a timeout. */
auto waitReadable(socket_t socket, std::chrono::milliseconds timeout) -> bool;

} // namespace Entry::Internal
