#include "endpointselector.h"

#include <algorithm>

namespace Routing {
namespace {

// Removes the items that do not fulfil \a predicate, unless none does.
template <typename Item, typename Predicate>
auto prefer(std::vector<Item> &items, Predicate predicate) -> void
{
    if (std::ranges::any_of(items, predicate))
        std::erase_if(items, [&](const Item &item) { return !predicate(item); });
}

auto acceptsWork(const Fleet::Host &host) -> bool
{
    return host.state == Fleet::HostState::Serving || host.state == Fleet::HostState::Soaking;
}

} // namespace

EndpointSelector::EndpointSelector(const Utils::Clock &clock,
                                   const Fleet::Replica &replica,
                                   const Membership::EndpointDirectory &directory,
                                   SelectorOptions options)
    : m_clock(clock)
    , m_replica(replica)
    , m_directory(directory)
    , m_options(std::move(options))
    , m_balancer(m_options.strategy, m_options.seed)
{}

auto EndpointSelector::ownInFlight(const std::string &endpoint) const -> int
{
    const auto found = m_inFlight.find(endpoint);
    return found == m_inFlight.end() ? 0 : found->second.requests;
}

// Returns the endpoints that are able to take a request now.
auto EndpointSelector::candidates(const Membership::EndpointList &endpoints, const SlotRange &range)
    -> std::vector<Candidate>
{
    const auto now = m_clock.now();
    std::vector<Candidate> found;
    found.reserve(endpoints.size());
    m_replica.read([&](const Fleet::State &state) {
        for (const auto &entry : endpoints) {
            const auto *host = state.findHost(entry->announcement.host);
            if (!host || !acceptsWork(*host) || !entry->hasLease(now))
                continue;
            found.push_back({entry.get(), host->assignmentEpoch});
        }
    });
    setLocalAndFree(found, range);
    std::erase_if(found, [&](Candidate &candidate) {
        const auto &announcement = candidate.entry->announcement;
        const auto own = ownInFlight(announcement.id);
        candidate.load = own + candidate.entry->peersInFlight.load();
        if (m_ejections.isEmpty())
            return own >= announcement.slots;
        const auto ejection = m_ejections.state(announcement.id, now);
        candidate.isProbe = ejection == EjectionState::Probing;
        const auto penalty = m_ejections.penalty(announcement.id);
        candidate.isHealthy = penalty == 0;
        candidate.load += penalty;
        return ejection == EjectionState::Ejected || own >= announcement.slots
               || (candidate.isProbe && own > 0);
    });
    return found;
}

// Sets isLocal and isFree. A local endpoint is free while this process uses fewer slots than its
// range grants there; a remote one while the known requests in flight leave a slot unused.
auto EndpointSelector::setLocalAndFree(std::vector<Candidate> &found, const SlotRange &range) const
    -> void
{
    std::vector<int> slots;
    for (auto &candidate : found) {
        const auto &announcement = candidate.entry->announcement;
        candidate.isLocal = m_options.zone.empty() || announcement.zone == m_options.zone;
        slots.push_back(candidate.isLocal ? int(announcement.slots) : 0);
    }
    const auto allowances = slotAllowances(range, slots);
    for (std::size_t index = 0; index < found.size(); ++index) {
        const auto &announcement = found[index].entry->announcement;
        const auto own = ownInFlight(announcement.id);
        const auto total = own + found[index].entry->peersInFlight.load();
        found[index].isFree =
            found[index].isLocal ? own < allowances[index] : total < announcement.slots;
    }
}

auto EndpointSelector::choose(const Request &request,
                              const TriedTargets &tried,
                              const SlotRange &range) -> std::optional<Choice>
{
    const auto endpoints = m_directory.serving(request.service);
    const auto maySpill = !m_options.maySpill || m_options.maySpill();
    const std::scoped_lock lock(m_mutex);
    auto all = candidates(*endpoints, range);
    auto capacity = 0;
    for (auto &candidate : all) {
        const auto &announcement = candidate.entry->announcement;
        candidate.isNewRack = !tried.racks.contains(announcement.rack);
        capacity += int(announcement.slots);
    }
    std::erase_if(all, [&](const Candidate &candidate) {
        return (!maySpill && !candidate.isLocal) || (candidate.isProbe && !request.idempotent)
               || tried.endpoints.contains(candidate.entry->announcement.id);
    });
    const auto group = preferredCandidates(std::move(all));
    if (group.empty())
        return std::nullopt;
    const auto probe = std::ranges::find_if(group, &Candidate::isProbe);
    if (probe != group.end())
        return countRequest(*probe);
    std::vector<int> loads;
    for (const auto &candidate : group)
        loads.push_back(candidate.load);
    return countRequest(group[m_balancer.pick(loads, capacity)]);
}

// Prefers free local endpoints, then free remote ones, then busy local ones; among those of the
// preferred kind, it prefers endpoints in racks that were not tried yet.
auto EndpointSelector::preferredCandidates(std::vector<Candidate> all) -> std::vector<Candidate>
{
    prefer(all, [](const Candidate &candidate) { return candidate.isFree && candidate.isLocal; });
    prefer(all, [](const Candidate &candidate) { return candidate.isFree; });
    prefer(all, [](const Candidate &candidate) { return candidate.isLocal; });
    prefer(all, [](const Candidate &candidate) { return candidate.isNewRack; });
    return all;
}

auto EndpointSelector::countRequest(const Candidate &candidate) -> Choice
{
    const auto &announcement = candidate.entry->announcement;
    auto &inFlight = m_inFlight[announcement.id];
    ++inFlight.requests;
    inFlight.host = announcement.host;
    return {announcement.id,
            announcement.rack,
            announcement.host,
            {announcement.address, candidate.epoch, 1},
            !candidate.isLocal,
            candidate.isHealthy};
}

auto EndpointSelector::finish(const Choice &choice) -> void
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_inFlight.find(choice.endpoint);
    if (--found->second.requests == 0)
        m_inFlight.erase(found);
}

auto EndpointSelector::slots(const std::string &service) -> ServiceSlots
{
    const auto endpoints = m_directory.serving(service);
    const auto maySpill = !m_options.maySpill || m_options.maySpill();
    const auto now = m_clock.now();
    ServiceSlots slots;
    std::set<std::string_view> racks;
    const std::scoped_lock lock(m_mutex);
    m_replica.read([&](const Fleet::State &state) {
        for (const auto &entry : *endpoints) {
            const auto &announcement = entry->announcement;
            const auto *host = state.findHost(announcement.host);
            if (!host || !acceptsWork(*host) || !entry->hasLease(now))
                continue;
            ++slots.endpoints;
            racks.insert(announcement.rack);
            if (m_ejections.state(announcement.id, now) == EjectionState::Ejected)
                continue;
            const auto isLocal = m_options.zone.empty() || announcement.zone == m_options.zone;
            if (isLocal) {
                slots.ownZone += int(announcement.slots);
            } else if (maySpill) {
                const auto used = ownInFlight(announcement.id) + entry->peersInFlight.load();
                slots.otherZonesFree += std::max(0, int(announcement.slots) - used);
            }
        }
    });
    slots.racks = int(racks.size());
    return slots;
}

auto EndpointSelector::inFlightOnHost(std::string_view host) -> int
{
    const std::scoped_lock lock(m_mutex);
    auto sum = 0;
    for (const auto &[endpoint, inFlight] : m_inFlight)
        sum += inFlight.host == host ? inFlight.requests : 0;
    return sum;
}

auto EndpointSelector::inFlight() -> std::map<std::string, int>
{
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, int> counts;
    for (const auto &[endpoint, inFlight] : m_inFlight)
        counts.emplace(endpoint, inFlight.requests);
    return counts;
}

auto EndpointSelector::addFailure(const Choice &choice, int poolSize) -> bool
{
    const std::scoped_lock lock(m_mutex);
    return m_ejections.addFailure(choice.endpoint, poolSize, m_clock.now());
}

auto EndpointSelector::addSuccess(const Choice &choice) -> bool
{
    const std::scoped_lock lock(m_mutex);
    return !m_ejections.isEmpty() && m_ejections.addSuccess(choice.endpoint);
}

} // namespace Routing
