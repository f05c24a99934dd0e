#pragma once

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string_view>
#include <thread>

namespace Entry::Internal {

class ConnectionStream;

/*! \brief Limits of each connection. */
struct ConnectionLimits
{
    std::chrono::milliseconds requestTimeout{5000}; //!< For sending one whole request.
    std::chrono::milliseconds idleTimeout{60'000};  //!< Between two requests.
    std::size_t headBytes = 16 * 1024;              //!< Request line and header lines.
    std::size_t bodyBytes = 4 * 1024 * 1024;
};

/*! \brief A request that the server answers by itself, since it cannot be read or served. */
struct Refusal
{
    std::string_view reason; //!< The value of the metric's label.
    int status = 0;          //!< 0: the connection is closed without an answer.
};

/*!
    \brief The HTTP library's server with a connection loop of its own.

    The library's loop wakes every 10 ms for each kept connection. This one sleeps until
    bytes arrive, and an idle connection can be closed to make room or to stop.
*/
class ConnectionServer final : public httplib::Server
{
public:
    /*! \brief Counts a refusal and returns the whole HTTP answer to it. */
    using Refuse = std::function<std::string(const Refusal &)>;

    ConnectionServer(ConnectionLimits limits, Refuse refuse);

    /*! \brief Sets what tells whether a connection waits for a free task. */
    auto setHasWaiting(std::function<bool()> hasWaiting) -> void;

    /*! \brief Refuses all connections that the calling thread serves from now on, or no more. */
    auto setRefusing(bool refusing) -> void;
    /*! \brief Ends each connection after its next answer. */
    auto setClosing() -> void { m_endsConnections = true; }
    /*! \brief Lets more connections wait to be accepted than the library does. */
    auto enlargeBacklog() -> void;
    auto openConnections() const -> int { return m_open.load(); }

    /*! \brief Closes the connection that has been idle longest, if there is one. */
    auto closeOldestIdle() -> void;
    /*! \brief Closes all idle connections, now and from now on. */
    auto closeIdle() -> void;

private:
    auto process_and_close_socket(socket_t socket) -> bool override;
    auto serve(ConnectionStream &stream) -> void;
    auto serveRequest(ConnectionStream &stream, bool closeAfter) -> bool;
    auto refuseRequest(ConnectionStream &stream, const Refusal &refusal) -> void;
    auto waitForRequest(socket_t socket) -> bool;

    ConnectionLimits m_limits;
    Refuse m_refuse;
    std::atomic<std::thread::id> m_refusingThread;
    std::atomic<bool> m_endsConnections = false;
    std::atomic<int> m_open = 0;
    std::function<bool()> m_hasWaiting;
    std::mutex m_mutex;
    std::map<std::uint64_t, socket_t> m_idle; //!< In the order in which they became idle.
    std::uint64_t m_nextIdle = 0;
    bool m_closing = false;
};

} // namespace Entry::Internal
