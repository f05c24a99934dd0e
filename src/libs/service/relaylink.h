#pragma once

#include "asyncnet/framelink.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Service {

/*! \brief A control process that can send orders to endpoints for the leader. */
struct RelayAddress
{
    std::string address; //!< Address of its link listener.
    std::string zone;

    auto operator==(const RelayAddress &) const -> bool = default;
};

/*!
    \brief The leader's connection to a control process that relays orders to endpoints.

    Orders that are issued together share a message, and so do their replies. Must be used from one
    event loop.
*/
class RelayLink : public std::enable_shared_from_this<RelayLink>
{
public:
    RelayLink(AsyncNet::asio::io_context &loop, RelayAddress relay, std::string session);

    auto start() -> void;
    /*! \brief Closes the connection; calls in progress get no reply. */
    auto stop() -> void;
    auto relay() const -> const RelayAddress & { return m_relay; }
    /*! \brief Returns true if the relay replied to the last request and is not shutting down. */
    auto isReady() const -> bool { return m_ready; }
    /*!
        \brief Returns the reply to \a order, or std::nullopt if there is none.

        An order without a reply may or may not have been executed.
    */
    auto call(Wire::EndpointOrder order, Utils::Milliseconds timeout)
        -> AsyncNet::Task<std::optional<Wire::EndpointAnswer>>;

private:
    struct Call
    {
        explicit Call(AsyncNet::asio::io_context &loop)
            : completed(loop)
        {}
        AsyncNet::Signal completed;
        std::optional<Wire::EndpointAnswer> answer;
    };
    using Client = std::shared_ptr<AsyncNet::FrameClient>;

    auto run() -> AsyncNet::Task<void>;
    auto collectFrom(Client client) -> AsyncNet::Task<void>;
    auto sendOrders(Client client) -> AsyncNet::Task<void>;
    auto completeCalls(std::vector<Wire::EndpointAnswer> answers) -> void;
    auto abandonCalls() -> void;

    AsyncNet::asio::io_context &m_loop;
    RelayAddress m_relay;
    std::string m_session;
    Client m_client;
    std::vector<Wire::EndpointOrder> m_unsent;
    std::map<std::int64_t, std::shared_ptr<Call>> m_calls; //!< Calls in progress by order number.
    std::int64_t m_lastOrderNumber = 0;
    bool m_sending = false;
    bool m_ready = false;
    bool m_stopped = false;
};

} // namespace Service
