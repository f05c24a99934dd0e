#include "relayedendpoints.h"

#include "orderconversion.h"

#include <algorithm>
#include <functional>

namespace Service {
namespace {

// Covers the time that a relay waits for the endpoint, and the two messages between the processes.
constexpr Utils::Milliseconds replyTimeout{1200};
// Duration of direct calls after an order without a reply, since the path through the relay may be
// broken.
constexpr Utils::Milliseconds directDuration{3000};

auto isAnswered(const Execution::StartReply &reply) -> bool
{
    return reply.result != Execution::StartResult::Unknown;
}

auto isAnswered(const Execution::PollReply &reply) -> bool
{
    return reply.result != Execution::PollResult::Unknown;
}

auto isAnswered(Execution::OrderResult result) -> bool
{
    return result != Execution::OrderResult::Unknown;
}

} // namespace

auto chooseRelay(std::span<const RelayView> relays,
                 std::string_view endpoint,
                 std::string_view zone) -> std::optional<std::size_t>
{
    const auto isNear = [zone](const RelayView &relay) {
        return relay.ready && relay.zone == zone;
    };
    const auto near = std::size_t(std::ranges::count_if(relays, isNear));
    const auto ready = std::size_t(std::ranges::count_if(relays, &RelayView::ready));
    if (ready == 0)
        return std::nullopt;
    auto skipped = std::hash<std::string_view>()(endpoint) % (near > 0 ? near : ready);
    for (std::size_t index = 0; index < relays.size(); ++index) {
        const auto fits = near > 0 ? isNear(relays[index]) : relays[index].ready;
        if (fits && skipped-- == 0)
            return index;
    }
    return std::nullopt;
}

RelayedEndpoints::RelayedEndpoints(AsyncNet::asio::io_context &loop,
                                   Execution::EndpointLink &direct,
                                   const Utils::Clock &clock)
    : m_loop(loop)
    , m_direct(direct)
    , m_clock(clock)
{}

RelayedEndpoints::~RelayedEndpoints() = default;

auto RelayedEndpoints::use(std::span<const RelayAddress> relays, const std::string &session) -> void
{
    const auto newSession = std::exchange(m_session, session) != session;
    std::erase_if(m_relays, [&](const auto &link) {
        const auto kept = !newSession && std::ranges::find(relays, link->relay()) != relays.end();
        if (!kept)
            link->stop();
        return !kept;
    });
    for (const auto &relay : relays) {
        const auto known =
            std::ranges::any_of(m_relays, [&](const auto &link) { return link->relay() == relay; });
        if (known)
            continue;
        // Each link has a session of its own. A relay that was lost may still hold answers to orders
        // of an earlier link, whose numbers are used again.
        const auto linkSession = session + '/' + std::to_string(++m_links);
        m_relays.push_back(std::make_shared<RelayLink>(m_loop, relay, linkSession));
        m_relays.back()->start();
    }
    const auto now = m_clock.now();
    std::erase_if(m_directUntil, [now](const auto &item) { return item.second < now; });
}

auto RelayedEndpoints::relayFor(const Execution::OrderTarget &target) -> std::shared_ptr<RelayLink>
{
    if (m_relays.empty())
        return nullptr;
    const auto direct = m_directUntil.find(target.incarnation.id);
    if (direct != m_directUntil.end() && m_clock.now() < direct->second)
        return nullptr;
    std::vector<RelayView> views;
    for (const auto &link : m_relays)
        views.push_back({link->relay().zone, link->isReady()});
    const auto chosen = chooseRelay(views, target.incarnation.id, target.zone);
    return chosen ? m_relays[*chosen] : nullptr;
}

auto RelayedEndpoints::recordOutcome(const std::string &endpoint, bool answered) -> void
{
    if (!answered)
        m_directUntil[endpoint] = m_clock.now() + directDuration;
}

template <typename Order, typename Reply>
auto RelayedEndpoints::send(Order order, OrderKind<Order, Reply> kind, Utils::Milliseconds timeout)
    -> AsyncNet::Task<Reply>
{
    const auto relay = relayFor(order.target);
    if (!relay) {
        auto reply = co_await (m_direct.*kind.callDirectly)(std::move(order));
        co_return reply;
    }
    const auto answer = co_await relay->call(toWire(order), timeout);
    auto reply = answer ? kind.decode(*answer) : kind.unanswered;
    recordOutcome(order.target.incarnation.id, isAnswered(reply));
    co_return reply;
}

auto RelayedEndpoints::start(Execution::StartOrder order) -> AsyncNet::Task<Execution::StartReply>
{
    return send<Execution::StartOrder, Execution::StartReply>(
        std::move(order), {&EndpointLink::start, startReply, {}}, replyTimeout);
}

auto RelayedEndpoints::stop(Execution::StopOrder order) -> AsyncNet::Task<Execution::OrderResult>
{
    return send<Execution::StopOrder, Execution::OrderResult>(
        std::move(order),
        {&EndpointLink::stop, orderResult, Execution::OrderResult::Unknown},
        replyTimeout);
}

auto RelayedEndpoints::pace(Execution::PaceOrder order) -> AsyncNet::Task<Execution::OrderResult>
{
    return send<Execution::PaceOrder, Execution::OrderResult>(
        std::move(order),
        {&EndpointLink::pace, orderResult, Execution::OrderResult::Unknown},
        replyTimeout);
}

auto RelayedEndpoints::poll(Execution::PollOrder order) -> AsyncNet::Task<Execution::PollReply>
{
    const auto timeout = replyTimeout + Utils::Milliseconds(order.waitMs);
    return send<Execution::PollOrder, Execution::PollReply>(
        std::move(order), {&EndpointLink::poll, pollReply, {}}, timeout);
}

} // namespace Service
