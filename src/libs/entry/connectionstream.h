#pragma once

#include "utils/bytebudget.h"

#include <httplib.h>

#include <chrono>
#include <string>

namespace Entry::Internal {

enum class HeadResult { Complete, Closed, TooLarge, TooSlow };

/*!
    \brief Adapts the socket of a connection to the stream interface of the HTTP library.

    The deadline for reading covers a whole request, so that a client that sends single bytes at
    intervals cannot occupy a slot for longer than a client that sends nothing.
*/
class ConnectionStream final : public httplib::Stream
{
public:
    ConnectionStream(socket_t socket,
                     std::chrono::milliseconds requestTimeout,
                     std::shared_ptr<Utils::ByteBudget> budget);

    /*! \brief Starts the deadline of the next request. */
    auto startRequest() -> void;
    /*! \brief Reads the request line and the headers of a request into the buffer. */
    auto receiveHead(std::size_t maximumBytes) -> HeadResult;
    /*! \brief Limits the bytes that read() returns for the request to \a bytes. */
    auto allowBytes(std::size_t bytes) -> void { m_allowedBytes = bytes; }
    /*!
        \brief Returns whether the body that the head announces fits into the budget, and holds it.

        A body without a length is held as it is read; a read that doesn't fit fails.
    */
    auto holdBody(std::size_t maximumBytes) -> bool;
    /*! \brief Gives back what the request held, so that an idle connection holds nothing. */
    auto releaseBody() -> void { m_held.resize(0); }
    /*! \brief Returns true if data of the next request is already buffered. */
    auto hasBufferedBytes() const -> bool { return m_begin < m_buffer.size(); }
    auto markFailed() -> void { m_failed = true; }
    /*! \brief Returns true after a failed read or markFailed(); the connection must be closed. */
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
    auto hold(std::size_t bytes) -> bool;
    auto remaining() const -> std::chrono::milliseconds;

    socket_t m_socket;
    std::chrono::milliseconds m_requestTimeout;
    std::chrono::steady_clock::time_point m_deadline;
    std::size_t m_allowedBytes = 0;
    std::string m_buffer;
    std::size_t m_begin = 0;
    Utils::HeldBytes m_held;
    std::size_t m_readBytes = 0; //!< Bytes of the request that read() has returned.
    bool m_failed = false;
};

/*! \brief Waits until \a socket is readable or closed; returns false after \a timeout. */
auto waitReadable(socket_t socket, std::chrono::milliseconds timeout) -> bool;

} // namespace Entry::Internal
