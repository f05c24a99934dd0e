#pragma once

#include "utils/bytebudget.h"

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
    std::chrono::milliseconds requestTimeout{5000}; //!< Time limit for receiving a request.
    std::chrono::milliseconds idleTimeout{60'000};  //!< Time limit between two requests.
    std::size_t headBytes = 16 * 1024;              //!< Size limit of request line and headers.
    std::size_t bodyBytes = 4 * 1024 * 1024;
    //! What the requests of all connections may hold together.
    std::int64_t heldBytes = 48 * 1024 * 1024;
};

/*! \brief Describes a request that the server refuses before a handler runs. */
struct Refusal
{
    std::string_view reason; //!< Value of the metric label "reason".
    int status = 0;          //!< HTTP status; 0 if the refusal is only counted.
};

/*!
    \brief Replaces the connection loop of the HTTP library's server.

    The library's loop wakes up every 10 ms for each keep-alive connection. This loop sleeps until
    data arrives, and idle connections can be closed to make room for others or to stop.
*/
class ConnectionServer final : public httplib::Server
{
public:
    /*! \brief Counts a refusal and returns the complete HTTP response for it. */
    using Refuse = std::function<std::string(const Refusal &)>;

    ConnectionServer(ConnectionLimits limits, Refuse refuse);

    /*! \brief Sets the function that returns whether a connection waits for a free slot. */
    auto setHasPending(std::function<bool()> hasPending) -> void;

    /*! \brief Sets whether connections that the calling thread serves are refused. */
    auto setRefusing(bool refusing) -> void;
    /*! \brief Closes each connection after its next response. */
    auto endConnections() -> void { m_endsConnections = true; }
    /*! \brief Sets a larger listen backlog than the library does. */
    auto enlargeBacklog() -> void;
    auto openConnections() const -> int { return m_open.load(); }

    /*! \brief Closes the connection that has been idle the longest, if there is one. */
    auto closeOldestIdle() -> void;
    /*! \brief Closes all idle connections, and from now on each connection that becomes idle. */
    auto closeIdle() -> void;

private:
    auto process_and_close_socket(socket_t socket) -> bool override;
    auto serve(ConnectionStream &stream) -> void;
    auto serveRequest(ConnectionStream &stream, bool closeAfter) -> bool;
    auto refuseRequest(ConnectionStream &stream, const Refusal &refusal) -> void;
    auto waitForRequest(socket_t socket) -> bool;

    ConnectionLimits m_limits;
    std::shared_ptr<Utils::ByteBudget> m_budget;
    Refuse m_refuse;
    std::atomic<std::thread::id> m_refusingThread;
    std::atomic<bool> m_endsConnections = false;
    std::atomic<int> m_open = 0;
    std::function<bool()> m_hasPending;
    std::mutex m_mutex;
    std::map<std::uint64_t, socket_t> m_idle; //!< Idle sockets, the longest idle first.
    std::uint64_t m_nextIdle = 0;
    bool m_closesIdle = false;
};

} // namespace Entry::Internal
