#pragma once

#include <httplib.h>

#include <chrono>
#include <functional>
#include <map>
#include <mutex>

namespace Entry::Internal {

/*! \brief Limits of each connection. */
struct ConnectionLimits
{
    std::chrono::milliseconds requestTimeout{5000}; //!< For sending one whole request.
    std::chrono::milliseconds idleTimeout{60'000};  //!< Between two requests.
    std::size_t requestBytes = 4 * 1024 * 1024;     //!< Header and body together.
};

/*!
    \brief The HTTP library's server with a connection loop of its own.

    The library's loop wakes every 10 ms for each kept connection. This one sleeps until
    bytes arrive, and an idle connection can be closed to make room or to stop.
*/
class ConnectionServer final : public httplib::Server
{
public:
    explicit ConnectionServer(ConnectionLimits limits);

    /*! \brief Sets what tells whether a connection waits for a free task. */
    auto setHasWaiting(std::function<bool()> hasWaiting) -> void;

    /*! \brief Closes the connection that has been idle longest, if there is one. */
    auto closeOldestIdle() -> void;
    /*! \brief Closes all idle connections, now and from now on. */
    auto closeIdle() -> void;

private:
    auto process_and_close_socket(socket_t socket) -> bool override;
    auto serve(socket_t socket) -> void;
    auto waitForRequest(socket_t socket) -> bool;

    ConnectionLimits m_limits;
    std::function<bool()> m_hasWaiting;
    std::mutex m_mutex;
    std::map<std::uint64_t, socket_t> m_idle; //!< In the order in which they became idle.
    std::uint64_t m_nextIdle = 0;
    bool m_closing = false;
};

} // namespace Entry::Internal
