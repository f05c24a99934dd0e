#pragma once

#include "asyncnet/tcpsocket.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Soak {

/*! \brief How a relay treats the bytes of its connections. */
enum class RelayMode {
    Pass,
    Delay,            //!< Forwards each chunk after a delay.
    Silent,           //!< Drops the bytes of both directions; connections stay open.
    ResponsesAreLost, //!< Drops responses, forwards requests.
    RequestsAreLost,  //!< Drops requests, forwards responses.
    Unreachable,      //!< Forwards nothing; keeps what is sent, also on new connections.
};

/*!
    \brief A TCP relay in front of a process that injects network faults.

    A stream with missing bytes cannot be continued, so the relay resets its connections when a
    mode that drops bytes ends.
*/
class FaultRelay : public std::enable_shared_from_this<FaultRelay>
{
public:
    FaultRelay(AsyncNet::asio::io_context &loop, std::string address, std::string target);

    auto start() -> void;
    auto setMode(RelayMode mode) -> void;
    /*! \brief Makes new connections, and those that have not reached the target yet, go to \a target. */
    auto setTarget(std::string target) -> void { m_target = std::move(target); }
    auto resetConnections() -> void;
    /*! \brief Resets the connections that have reached the target. */
    auto resetEstablishedConnections() -> void;
    auto address() const -> std::string;

private:
    using Socket = AsyncNet::TcpSocket;
    struct Pair
    {
        Pair(Socket acceptedSocket, AsyncNet::asio::io_context &loop)
            : caller(std::move(acceptedSocket))
            , target(loop)
        {}
        Socket caller;
        Socket target;
        bool established = false;
    };

    auto accept() -> AsyncNet::Task<void>;
    auto reach(std::shared_ptr<Pair> pair) -> AsyncNet::Task<void>;
    auto serve(std::shared_ptr<Pair> pair) -> AsyncNet::Task<void>;
    auto pump(std::shared_ptr<Pair> pair, bool requests) -> AsyncNet::Task<void>;
    auto loses(bool requests) const -> bool;
    auto waitUntilReachable() -> AsyncNet::Task<void>;
    static auto reset(Pair &pair) -> void;

    AsyncNet::asio::io_context &m_loop;
    std::string m_address;
    std::string m_target;
    AsyncNet::TcpAcceptor m_acceptor;
    RelayMode m_mode = RelayMode::Pass;
    int m_connections = 0; //!< Number of accepted connections.
    std::vector<std::weak_ptr<Pair>> m_pairs;
};

} // namespace Soak
