#pragma once

#include "asyncnet/framelink.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Service {

/*! \brief Another control process that can carry out orders. */
struct RelayAddress
{
    std::string address; //!< Of its link listener.
    std::string zone;

    auto operator==(const RelayAddress &) const -> bool = default;
};

/*!
    \brief The leader's connection to one process that carries out orders for it.

    Orders that are given together share a message, and so do answers. Lives on one event loop.
*/
class RelayLink : public std::enable_shared_from_this<RelayLink>
{
public:
    RelayLink(AsyncNet::asio::io_context &loop, RelayAddress relay, std::string session);

    auto start() -> void;
    /*! \brief Ends the connection; what is not answered stays so. */
    auto stop() -> void;
    auto relay() const -> const RelayAddress & { return m_relay; }
    /*! \brief Returns whether orders may be given: it answered lately, and does not leave. */
    auto isReady() const -> bool { return m_ready; }
    /*! \brief Returns the answer to \a order, or nothing if it may or may not be carried out. */
    auto call(Wire::EndpointOrder order, Utils::Milliseconds timeout)
        -> AsyncNet::Task<std::optional<Wire::EndpointAnswer>>;

private:
    struct Call
    {
        explicit Call(AsyncNet::asio::io_context &loop)
            : settled(loop)
        {}
        AsyncNet::Signal settled;
        std::optional<Wire::EndpointAnswer> answer;
    };
    using Client = std::shared_ptr<AsyncNet::FrameClient>;

    auto run() -> AsyncNet::Task<void>;
    auto collectFrom(Client client) -> AsyncNet::Task<void>;
    auto sendOrders(Client client) -> AsyncNet::Task<void>;
    auto settle(std::vector<Wire::EndpointAnswer> answers) -> void;
    auto lose() -> void;

    AsyncNet::asio::io_context &m_loop;
    RelayAddress m_relay;
    std::string m_session;
    Client m_client;
    std::vector<Wire::EndpointOrder> m_unsent;
    std::map<std::int64_t, std::shared_ptr<Call>> m_calls; //!< By the order's number.
    std::int64_t m_orders = 0;
    bool m_sending = false;
    bool m_ready = false;
    bool m_stopped = false;
};

} // namespace Service
