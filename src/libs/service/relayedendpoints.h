#pragma once

#include "relaylink.h"

#include "execution/ports.h"
#include "utils/clock.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Service {

/*! \brief What the choice of a relay needs to know of one. */
struct RelayView
{
    std::string_view zone;
    bool ready = false;
};

/*!
    \brief Returns the index of the relay for an endpoint, if one is ready: one of its own zone, or else
    any. An endpoint keeps its relay as long as the same ones are ready.
*/
auto chooseRelay(std::span<const RelayView> relays,
                 std::string_view endpoint,
                 std::string_view zone) -> std::optional<std::size_t>;

/*!
    \brief Sends a leader's orders to endpoints through other control processes.

    Answers fleets with more endpoints than one process's processor can call. Without a ready relay,
    and for a while after an order that was not answered, the leader calls the endpoint itself.
*/
class RelayedEndpoints final : public Execution::EndpointLink
{
public:
    RelayedEndpoints(AsyncNet::asio::io_context &loop,
                     Execution::EndpointLink &direct,
                     const Utils::Clock &clock);
    ~RelayedEndpoints() override;

    /*! \brief Uses \a relays, and no others, for orders of \a session. */
    auto use(std::span<const RelayAddress> relays, const std::string &session) -> void;
    auto usesRelays() const -> bool { return !m_relays.empty(); }

    auto start(Execution::StartOrder order) -> AsyncNet::Task<Execution::StartReply> override;
    auto stop(Execution::StopOrder order) -> AsyncNet::Task<Execution::OrderResult> override;
    auto pace(Execution::PaceOrder order) -> AsyncNet::Task<Execution::OrderResult> override;
    auto look(Execution::LookOrder order) -> AsyncNet::Task<Execution::LookReply> override;

private:
    auto relayFor(const Execution::OrderTarget &target) -> std::shared_ptr<RelayLink>;
    auto noteAnswer(const std::string &endpoint, bool answered) -> void;

    AsyncNet::asio::io_context &m_loop;
    Execution::EndpointLink &m_direct;
    const Utils::Clock &m_clock;
    std::string m_session;
    std::vector<std::shared_ptr<RelayLink>> m_relays;
    std::map<std::string, Utils::Instant> m_directUntil; //!< By endpoint.
};

} // namespace Service
