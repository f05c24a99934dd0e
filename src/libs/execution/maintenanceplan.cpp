#include "maintenanceplan.h"

#include <algorithm>

namespace Execution {
namespace {

// Tasks get this long to end by themselves before maintenance ends them.
constexpr Utils::Milliseconds longestEmptying{3000};
// A host counts as away for this long after its order, until the list shows it.
constexpr Utils::Milliseconds orderSettles{1500};

auto isFinished(const Control::Wave &wave, const std::string &host) -> bool
{
    return std::ranges::find(wave.finishedHosts, host) != wave.finishedHosts.end();
}

auto runsOn(const RunLedger &ledger, const std::string &endpoint) -> std::size_t
{
    const auto found = ledger.endpoints().find(endpoint);
    return found != ledger.endpoints().end() ? found->second.runs.size() : 0;
}

auto holdsLongRunning(const RunLedger &ledger, const std::string &endpoint) -> bool
{
    const auto found = ledger.endpoints().find(endpoint);
    return found != ledger.endpoints().end() && found->second.holdsLongRunning();
}

auto lifeOf(const RunLedger &ledger, const std::string &endpoint) -> Control::EndpointLife
{
    const auto found = ledger.endpoints().find(endpoint);
    return found != ledger.endpoints().end() ? found->second.record.life : Control::EndpointLife{};
}

} // namespace

auto MaintenancePlan::next(const Control::State &state,
                           const RunLedger &ledger,
                           const HostList &hosts,
                           Utils::Instant now) -> MaintenanceWork
{
    MaintenanceWork work;
    if (!hosts.complete)
        return work;
    for (const auto &[number, wave] : state.waves) {
        if (!wave.isDone())
            prepare(wave, ledger, hosts, now, work);
    }
    return work;
}

auto MaintenancePlan::prepare(const Control::Wave &wave,
                              const RunLedger &ledger,
                              const HostList &hosts,
                              Utils::Instant now,
                              MaintenanceWork &work) -> void
{
    std::int64_t away = 0;
    std::vector<const HostInfo *> candidates;
    for (const auto &name : wave.hosts) {
        const auto host = std::ranges::find(hosts.hosts, name, &HostInfo::name);
        const auto finished = isFinished(wave, name);
        if (host == hosts.hosts.end()) {
            if (!finished)
                work.left.push_back({wave.number, name});
            continue;
        }
        const auto ordered = m_away.find(name);
        const auto settling = ordered != m_away.end() && now - ordered->second < orderSettles;
        if (host->state != HostState::Up || settling)
            ++away;
        else if (!finished)
            candidates.push_back(&*host);
    }
    std::ranges::stable_sort(candidates, {}, [&](const HostInfo *host) {
        return std::pair(!m_preparing.contains(host->name), runsOn(ledger, host->endpoint));
    });
    for (const auto *host : candidates) {
        if (away >= wave.maximumAtOnce)
            return;
        ++away;
        const auto [since, fresh] = m_preparing.try_emplace(host->name, now);
        if (fresh && !host->endpoint.empty())
            work.close.push_back(host->endpoint);
        const auto empty = runsOn(ledger, host->endpoint) == 0;
        const auto due = now - since->second > longestEmptying;
        const auto longRunning = holdsLongRunning(ledger, host->endpoint);
        if (longRunning)
            work.evacuate.push_back(host->endpoint);
        if (empty || (due && ledger.canLose(host->endpoint)))
            work.begin.push_back({wave.number, host->name, lifeOf(ledger, host->endpoint)});
    }
}

auto MaintenancePlan::ordered(const MaintenanceStep &step,
                              HostOrderResult result,
                              Utils::Instant now) -> void
{
    if (result == HostOrderResult::Accepted)
        m_preparing.erase(step.host);
    m_away[step.host] = now;
}

} // namespace Execution
