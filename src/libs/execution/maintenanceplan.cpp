#include "maintenanceplan.h"

#include <algorithm>
#include <tuple>

namespace Execution {
namespace {

// Time that tasks get to end by themselves before maintenance ends them.
constexpr Utils::Milliseconds maximumDrainTime{3000};
// A list of hosts that was requested within this time of an order may not reflect the order yet.
constexpr Utils::Milliseconds listLag{300};
// An order that got no reply may still be carried out within this time.
constexpr Utils::Milliseconds longestUncertain{13'000};
// A host whose maintenance is not recorded as finished may be ordered again after this time, even
// if there is no newer list of hosts yet.
constexpr Utils::Milliseconds orderRetry{1500};
// Time to drain a host, maintain it and see it in service again.
constexpr std::int64_t hostCycleMs = 8000;
// A host has left the fleet if all lists of this time lack it. An entry that cannot be read may be that of
// the host.
constexpr Utils::Milliseconds departedAfter{3000};
constexpr Utils::Milliseconds departedAfterWithUnreadable{10'000};
// Reserve at the end of a wave for leader changes and host failures.
constexpr std::int64_t reserveMs = 8000;

// Returns the number of hosts that have to be unavailable at once to finish the wave in time.
auto neededAtOnce(const Control::Wave &wave, std::int64_t wallMs) -> std::int64_t
{
    const auto hostsLeft = std::int64_t(wave.hosts.size() - wave.finishedHosts.size());
    const auto leftMs = wave.durationMs - (wallMs - wave.startedMs) - reserveMs;
    if (leftMs <= hostCycleMs)
        return wave.maximumAtOnce;
    return std::min(wave.maximumAtOnce, (hostsLeft * hostCycleMs + leftMs - 1) / leftMs);
}

auto isFinished(const Control::Wave &wave, const std::string &host) -> bool
{
    return std::ranges::find(wave.finishedHosts, host) != wave.finishedHosts.end();
}

auto runsOn(const RunLedger &ledger, const std::string &endpoint) -> std::size_t
{
    const auto found = ledger.endpoints().find(endpoint);
    return found != ledger.endpoints().end() ? found->second.possibleRuns() : 0;
}

auto holdsLongRunning(const RunLedger &ledger, const std::string &endpoint) -> bool
{
    const auto found = ledger.endpoints().find(endpoint);
    return found != ledger.endpoints().end() && found->second.holdsLongRunning();
}

auto incarnationOf(const RunLedger &ledger, const std::string &endpoint)
    -> Control::EndpointIncarnation
{
    const auto found = ledger.endpoints().find(endpoint);
    return found != ledger.endpoints().end() ? found->second.record.incarnation
                                             : Control::EndpointIncarnation{};
}

} // namespace

auto MaintenancePlan::begin(const Control::State &state) -> void
{
    m_inheritedWaves.clear();
    m_maybeMaintained.clear();
    m_unanswered.clear();
    m_missingSince.clear();
    for (const auto &[number, wave] : state.waves)
        m_inheritedWaves.insert(number);
    for (const auto &[host, known] : state.hostOrders) {
        const auto wave = state.waves.find(known.order.wave);
        const auto open = wave != state.waves.end() && !isFinished(wave->second, host);
        if (!known.order.isMove() && open && known.knownSince)
            m_unanswered[host] = *known.knownSince + longestInheritedOrder - longestUncertain;
    }
}

auto MaintenancePlan::next(const Control::State &state, const MaintenanceView &view)
    -> MaintenanceWork
{
    MaintenanceWork work;
    if (!view.hosts.complete)
        return work;
    HostsByName byName;
    for (const auto &host : view.hosts.hosts)
        byName[host.name] = &host;
    confirmOrders(view, byName, work);
    const HostOccupancy occupancy(view.ledger, view.hosts);
    for (const auto &[number, wave] : state.waves) {
        if (!wave.isDone())
            planWave(wave, view, occupancy, byName, work);
    }
    return work;
}

// Decides whether an accepted order was carried out now or before, by a list requested afterwards.
auto MaintenancePlan::confirmOrders(const MaintenanceView &view,
                                    const HostsByName &hosts,
                                    MaintenanceWork &work) -> void
{
    std::erase_if(m_unconfirmed, [&](const auto &item) {
        const auto &[name, order] = item;
        const auto found = hosts.find(name);
        if (view.listedAt <= order.at || found == hosts.end())
            return false;
        const auto &host = *found->second;
        if (host.state == HostState::Maintenance || host.state == HostState::Moving) {
            work.ended.push_back(order.incarnation);
            return true;
        }
        // The list does not show yet what runs there.
        if (host.state == HostState::Down || host.endpoint.empty())
            return false;
        if (host.endpoint == order.incarnation.id)
            work.open.push_back(order.incarnation.id);
        else
            work.ended.push_back(order.incarnation);
        return true;
    });
}

// Returns true if the host was refused after the list was requested. The list does not show why.
auto MaintenancePlan::waitsForNewerList(const std::string &host, const MaintenanceView &view) const
    -> bool
{
    const auto refused = m_refused.find(host);
    return refused != m_refused.end() && view.listedAt <= refused->second;
}

auto MaintenancePlan::mayBeCarriedOut(const std::string &host, Utils::Instant now) const -> bool
{
    const auto found = m_unanswered.find(host);
    return found != m_unanswered.end() && now - found->second < longestUncertain;
}

auto MaintenancePlan::isPreparing(const HostInfo &host) const -> bool
{
    const auto found = m_preparing.find(host.name);
    return found != m_preparing.end() && found->second.endpoint == host.endpoint;
}

// One list may leave out a host that is still there.
auto MaintenancePlan::hasDeparted(const std::string &host, const MaintenanceView &view) -> bool
{
    const auto since = m_missingSince.try_emplace(host, view.listedAt).first->second;
    const auto least = view.hosts.hasUnreadable ? departedAfterWithUnreadable : departedAfter;
    return view.listedAt - since >= least;
}

auto MaintenancePlan::planWave(const Control::Wave &wave,
                               const MaintenanceView &view,
                               const HostOccupancy &occupancy,
                               const HostsByName &hosts,
                               MaintenanceWork &work) -> void
{
    std::int64_t unavailable = 0;
    std::vector<Candidate> candidates;
    for (const auto &name : wave.hosts) {
        const auto finished = isFinished(wave, name);
        const auto found = hosts.find(name);
        if (found == hosts.end()) {
            if (!finished && hasDeparted(name, view))
                work.departed.push_back({wave.number, name});
            continue;
        }
        m_missingSince.erase(name);
        const auto &host = *found->second;
        const auto order = m_orders.find(name);
        const auto ordered = order != m_orders.end();
        const auto settling = ordered && view.listedAt < order->second.at + listLag;
        const auto uncertain =
            (ordered && order->second.uncertain && view.now - order->second.at < longestUncertain)
            || mayBeCarriedOut(name, view.now);
        const auto countsAsUnavailable =
            host.state == HostState::Maintenance || settling || uncertain;
        unavailable += countsAsUnavailable ? 1 : 0;
        const auto waits = settling && view.now - order->second.at < orderRetry;
        if (finished || host.state != HostState::Up || waits || view.moving.contains(name)
            || waitsForNewerList(name, view))
            continue;
        candidates.push_back({&host,
                              occupancy.isEmpty(host),
                              runsOn(view.ledger, host.endpoint),
                              isPreparing(host),
                              countsAsUnavailable});
    }
    prepare(wave, view, std::move(candidates), unavailable, work);
}

auto MaintenancePlan::prepare(const Control::Wave &wave,
                              const MaintenanceView &view,
                              std::vector<Candidate> candidates,
                              std::int64_t unavailable,
                              MaintenanceWork &work) -> void
{
    // A host that counts as unavailable anyway takes no other host's place. An endpoint that is kept free
    // for a long-running task soon runs the fewest tasks. Closing it would make that task wait for another
    // one.
    std::ranges::stable_sort(candidates, {}, [&view](const Candidate &candidate) {
        return std::tuple(!candidate.countsAsUnavailable,
                          !candidate.preparing,
                          view.ledger.isKeptFree(candidate.host->endpoint),
                          !candidate.empty,
                          candidate.runs);
    });
    const auto needed = neededAtOnce(wave, view.wallMs);
    for (const auto &candidate : candidates) {
        const auto &host = *candidate.host;
        const auto busy = !candidate.empty && !candidate.preparing;
        const auto limit = busy ? needed : wave.maximumAtOnce;
        if (unavailable >= limit && !candidate.countsAsUnavailable)
            return;
        const auto mayOrder = std::int64_t(work.begin.size()) < view.maximumOrders;
        // An empty host that waits for its order stays open for tasks and moves.
        if (candidate.empty && !candidate.preparing && !mayOrder)
            continue;
        unavailable += candidate.countsAsUnavailable ? 0 : 1;
        if (!isPreparing(host)) {
            m_preparing[host.name] = {view.now, host.endpoint};
            if (!host.endpoint.empty())
                work.close.push_back(host.endpoint);
        }
        const auto due = view.now - m_preparing.at(host.name).since > maximumDrainTime
                         && view.ledger.endpoints().contains(host.endpoint);
        if (holdsLongRunning(view.ledger, host.endpoint))
            work.evacuate.push_back(host.endpoint);
        if (mayOrder && (candidate.empty || (due && view.ledger.canLose(host.endpoint)))) {
            const auto repeated = m_orders.contains(host.name)
                                  || m_maybeMaintained.contains({wave.number, host.name})
                                  || m_inheritedWaves.contains(wave.number);
            m_orders[host.name] = {view.now, true};
            work.begin.push_back(
                {wave.number, host.name, incarnationOf(view.ledger, host.endpoint), repeated});
        }
    }
}

auto MaintenancePlan::withdraw(const MaintenanceStep &step) -> void
{
    m_orders.erase(step.host);
}

auto MaintenancePlan::ordered(const MaintenanceStep &step,
                              HostOrderResult result,
                              Utils::Instant now) -> void
{
    if (result == HostOrderResult::Accepted)
        m_preparing.erase(step.host);
    if (result == HostOrderResult::Accepted || result == HostOrderResult::Unknown) {
        m_orders[step.host] = {now, result == HostOrderResult::Unknown};
        m_maybeMaintained.insert({step.wave, step.host});
        if (result == HostOrderResult::Unknown)
            m_unanswered[step.host] = now;
        else
            m_unanswered.erase(step.host);
        m_refused.erase(step.host);
        if (result == HostOrderResult::Accepted && step.repeated && !step.incarnation.id.empty())
            m_unconfirmed[step.host] = {step.incarnation, now};
        return;
    }
    m_orders.erase(step.host);
    m_refused[step.host] = now;
}

} // namespace Execution
