#pragma once

#include "relaylink.h"

#include "execution/ports.h"
#include "utils/clock.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace Service {

/*! \brief Properties of a relay that chooseRelay() takes into account. */
struct RelayView
{
    std::string_view zone;
    bool ready = false;
};

/*!
    \brief Returns the index of the relay to use for \a endpoint, or std::nullopt if none is ready.

    Prefers the ready relays in \a zone and otherwise chooses among all ready relays. The choice for
    an endpoint stays the same as long as the set of ready relays does.
*/
auto chooseRelay(std::span<const RelayView> relays,
                 std::string_view endpoint,
                 std::string_view zone) -> std::optional<std::size_t>;

/*!
    \brief Sends a leader's orders to endpoints through other control processes.

    Spreads the load of fleets with more endpoints than the CPU of one process can call. The leader
    calls an endpoint directly if no relay is ready, and for 3 s after an order to that endpoint
    got no reply through a relay.
*/
class RelayedEndpoints final : public Execution::EndpointLink
{
public:
    RelayedEndpoints(AsyncNet::asio::io_context &loop,
                     Execution::EndpointLink &direct,
                     const Utils::Clock &clock);
    ~RelayedEndpoints() override;

    /*! \brief Replaces the relays in use by \a relays; \a session identifies the leader's term. */
    auto use(std::span<const RelayAddress> relays, const std::string &session) -> void;
    auto usesRelays() const -> bool { return !m_relays.empty(); }

    auto start(Execution::StartOrder order) -> AsyncNet::Task<Execution::StartReply> override;
    auto stop(Execution::StopOrder order) -> AsyncNet::Task<Execution::OrderResult> override;
    auto pace(Execution::PaceOrder order) -> AsyncNet::Task<Execution::OrderResult> override;
    auto poll(Execution::PollOrder order) -> AsyncNet::Task<Execution::PollReply> override;

private:
    /*! \brief How one kind of order is sent, and what its answer means. */
    template <typename Order, typename Reply>
    struct OrderKind
    {
        AsyncNet::Task<Reply> (Execution::EndpointLink::*callDirectly)(Order);
        Reply (*decode)(const Wire::EndpointAnswer &);
        Reply unanswered;
    };

    template <typename Order, typename Reply>
    auto send(Order order, OrderKind<Order, Reply> kind, Utils::Milliseconds timeout)
        -> AsyncNet::Task<Reply>;
    auto relayFor(const Execution::OrderTarget &target) -> std::shared_ptr<RelayLink>;
    auto recordOutcome(const std::string &endpoint, bool answered) -> void;

    AsyncNet::asio::io_context &m_loop;
    Execution::EndpointLink &m_direct;
    const Utils::Clock &m_clock;
    std::string m_session;
    std::int64_t m_links = 0; //!< Number of links that were created.
    std::vector<std::shared_ptr<RelayLink>> m_relays;
    std::map<std::string, Utils::Instant> m_directUntil; //!< End of direct calls by endpoint id.
};

} // namespace Service
