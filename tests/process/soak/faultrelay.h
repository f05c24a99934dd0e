#pragma once

#include "asyncnet/task.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Soak {

/*! \brief What a relay does to the bytes of its connections. */
enum class RelayMode {
    Pass,
    Delay,           //!< Each piece arrives later.
    Silent,          //!< Nothing arrives in either direction; connections stay open.
    AnswersAreLost,  //!< Requests arrive, answers do not.
    RequestsAreLost, //!< Requests do not arrive.
};

/*!
    \brief A TCP relay between a process and those that connect to it, with faults.

    Bytes that are lost leave a stream that is of no use, so its connections are reset when the
    relay passes bytes again.
*/
class FaultRelay : public std::enable_shared_from_this<FaultRelay>
{
public:
    FaultRelay(AsyncNet::asio::io_context &loop, std::string address, std::string target);

    auto start() -> void;
    auto setMode(RelayMode mode) -> void;
    auto resetConnections() -> void;

private:
    using Socket = AsyncNet::asio::ip::tcp::socket;
    struct Pair
    {
        Socket caller;
        Socket target;
    };

    auto accept() -> AsyncNet::Task<void>;
    auto serve(std::shared_ptr<Pair> pair) -> AsyncNet::Task<void>;
    auto pump(std::shared_ptr<Pair> pair, bool requests) -> AsyncNet::Task<void>;
    auto loses(bool requests) const -> bool;

    AsyncNet::asio::io_context &m_loop;
    std::string m_address;
    std::string m_target;
    AsyncNet::asio::ip::tcp::acceptor m_acceptor;
    RelayMode m_mode = RelayMode::Pass;
    std::vector<std::weak_ptr<Pair>> m_pairs;
};

} // namespace Soak
