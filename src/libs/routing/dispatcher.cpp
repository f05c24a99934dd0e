#include "dispatcher.h"

#include <set>

namespace Routing {

namespace {
constexpr auto maximumAttempts = 3;
}

Dispatcher::Dispatcher(const Utils::Clock &clock,
                       const Fleet::Replica &replica,
                       const Membership::EndpointDirectory &directory)
    : m_clock(clock)
    , m_replica(replica)
    , m_directory(directory)
    , m_client(m_clock)
{}

auto Dispatcher::dispatch(const Request &request) -> Reply
{
    std::set<std::string> tried;
    auto reply =
        Reply::notRun(Utils::ErrorType::Unavailable, "no endpoint of the service is available");
    for (auto number = 1; number <= maximumAttempts; ++number) {
        auto choice = choose(request, tried);
        if (!choice)
            return reply;
        choice->attempt.number = number;
        tried.insert(choice->endpoint);
        reply = m_client.send(request, choice->attempt);
        finish(choice->endpoint);
        const auto mayRepeat = reply.outcome == Outcome::NotRun
                               || (reply.outcome == Outcome::Unknown && request.idempotent);
        if (!mayRepeat)
            return reply;
    }
    return reply;
}

auto Dispatcher::choose(const Request &request, const std::set<std::string> &excluded)
    -> std::optional<Choice>
{
    const auto endpoints = m_directory.available(request.service);
    const std::scoped_lock lock(m_mutex);
    std::optional<Choice> best;
    auto bestLoad = 0;
    for (const auto &endpoint : endpoints) {
        const auto &announcement = endpoint.announcement;
        if (excluded.contains(announcement.id))
            continue;
        const auto epoch = m_replica.read([&](const Fleet::State &state) -> std::int64_t {
            const auto *host = state.findHost(announcement.host);
            const auto serves = host
                                && (host->state == Fleet::HostState::Serving
                                    || host->state == Fleet::HostState::Soaking);
            return serves ? host->assignmentEpoch : 0;
        });
        if (epoch == 0)
            continue;
        const auto load = m_inFlight[announcement.id];
        if (!best || load < bestLoad) {
            best = Choice{announcement.id, {announcement.address, epoch, 1}};
            bestLoad = load;
        }
    }
    if (best)
        ++m_inFlight[best->endpoint];
    return best;
}

auto Dispatcher::inFlightOnHost(std::string_view host) -> int
{
    const auto endpoints = m_directory.onHost(host);
    const std::scoped_lock lock(m_mutex);
    auto inFlight = 0;
    for (const auto &endpoint : endpoints)
        inFlight += m_inFlight[endpoint.announcement.id];
    return inFlight;
}

auto Dispatcher::localLoad() -> Membership::LocalLoad
{
    const std::scoped_lock lock(m_mutex);
    return {m_inFlight, {}};
}

auto Dispatcher::finish(const std::string &endpoint) -> void
{
    const std::scoped_lock lock(m_mutex);
    --m_inFlight[endpoint];
}

} // namespace Routing
