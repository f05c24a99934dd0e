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

} // namespace

auto chooseRelay(std::span<const RelayView> relays,
                 std::string_view endpoint,
                 std::string_view zone) -> std::optional<std::size_t>
{
    std::vector<std::size_t> ready;
    std::vector<std::size_t> sameZone;
    for (std::size_t index = 0; index < relays.size(); ++index) {
        if (!relays[index].ready)
            continue;
        ready.push_back(index);
        if (relays[index].zone == zone)
            sameZone.push_back(index);
    }
    const auto &candidates = sameZone.empty() ? ready : sameZone;
    if (candidates.empty())
        return std::nullopt;
    return candidates[std::hash<std::string_view>()(endpoint) % candidates.size()];
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
        m_relays.push_back(std::make_shared<RelayLink>(m_loop, relay, session));
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

auto RelayedEndpoints::start(Execution::StartOrder order) -> AsyncNet::Task<Execution::StartReply>
{
    const auto relay = relayFor(order.target);
    if (!relay) {
        const auto reply = co_await m_direct.start(std::move(order));
        co_return reply;
    }
    const auto answer = co_await relay->call(toWire(order), replyTimeout);
    auto reply = answer ? startReply(*answer) : Execution::StartReply();
    recordOutcome(order.target.incarnation.id, reply.result != Execution::StartResult::Unknown);
    co_return reply;
}

auto RelayedEndpoints::stop(Execution::StopOrder order) -> AsyncNet::Task<Execution::OrderResult>
{
    const auto relay = relayFor(order.target);
    if (!relay) {
        const auto result = co_await m_direct.stop(std::move(order));
        co_return result;
    }
    const auto answer = co_await relay->call(toWire(order), replyTimeout);
    const auto result = answer ? orderResult(*answer) : Execution::OrderResult::Unknown;
    recordOutcome(order.target.incarnation.id, result != Execution::OrderResult::Unknown);
    co_return result;
}

auto RelayedEndpoints::pace(Execution::PaceOrder order) -> AsyncNet::Task<Execution::OrderResult>
{
    const auto relay = relayFor(order.target);
    if (!relay) {
        const auto result = co_await m_direct.pace(std::move(order));
        co_return result;
    }
    const auto answer = co_await relay->call(toWire(order), replyTimeout);
    const auto result = answer ? orderResult(*answer) : Execution::OrderResult::Unknown;
    recordOutcome(order.target.incarnation.id, result != Execution::OrderResult::Unknown);
    co_return result;
}

auto RelayedEndpoints::poll(Execution::PollOrder order) -> AsyncNet::Task<Execution::PollReply>
{
    const auto relay = relayFor(order.target);
    if (!relay) {
        const auto reply = co_await m_direct.poll(std::move(order));
        co_return reply;
    }
    const auto timeout = replyTimeout + Utils::Milliseconds(order.waitMs);
    const auto answer = co_await relay->call(toWire(order), timeout);
    auto reply = answer ? pollReply(*answer) : Execution::PollReply();
    recordOutcome(order.target.incarnation.id, reply.result != Execution::PollResult::Unknown);
    co_return reply;
}

} // namespace Service
