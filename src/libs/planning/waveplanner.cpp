#include "waveplanner.h"

#include <algorithm>
#include <tuple>

namespace Planning {
namespace {

using Fleet::Host;
using Fleet::HostState;

auto openStops(const Fleet::Wave &wave, const Fleet::State &state) -> std::int64_t
{
    return std::ranges::count_if(wave.hosts, [&](const std::string &id) {
        const auto *host = state.findHost(id);
        return host && !host->move.empty();
    });
}

auto narrow(WaveWidth &width, std::int64_t hosts, std::string rule) -> void
{
    if (hosts < width.hosts)
        width = {hosts, std::move(rule)};
}

// Returns the number of moves that will request a grant of \a contract before those proposed now.
auto waitingMoves(const Fleet::Contract &contract, const Fleet::Wave &wave, const FleetView &view)
    -> std::int64_t
{
    return std::ranges::count_if(view.openMoves(), [&](const Fleet::Move *move) {
        const auto isWaiting =
            move->state == Fleet::MoveState::Approved
            || (move->state == Fleet::MoveState::Proposed && move->wave == wave.id);
        return isWaiting && contract.usesPool(move->fromPool);
    });
}

auto stopsLeft(const Fleet::BudgetVerdict &verdict) -> std::int64_t
{
    if (!verdict.isGranted())
        return 0;
    const auto byHosts =
        verdict.terms.maxUnavailableHosts - verdict.reserveHosts - verdict.status.unavailableHosts;
    const auto freeHostS = verdict.terms.budgetHostS - verdict.status.spentHostS
                           - verdict.status.escrowHostS - verdict.reserveHostS;
    return std::min(byHosts, freeHostS / verdict.worstCaseHostS);
}

auto narrowByContracts(WaveWidth &width,
                       const Fleet::Wave &wave,
                       const FleetView &view,
                       std::int64_t open,
                       Fleet::WallTimeMs nowMs) -> void
{
    const auto &state = view.state();
    for (const auto &[customer, contract] : state.contracts()) {
        if (!contract.usesPool(wave.pool))
            continue;
        const auto verdict = state.ledger().checkStop(contract,
                                                      Fleet::plannedStopWorstCaseHostS,
                                                      view.racks().largestRack(contract, nullptr),
                                                      nowMs);
        const auto waiting = waitingMoves(contract, wave, view);
        const auto left = std::max<std::int64_t>(0, stopsLeft(verdict) - waiting);
        narrow(width,
               open + left,
               "contract of " + customer + ": " + verdict.explanation()
                   + (waiting > 0 ? "; " + std::to_string(waiting) + " moves wait already" : ""));
    }
}

auto narrowByCapacity(WaveWidth &width,
                      const Fleet::Wave &wave,
                      const WaveInput &input,
                      const FleetView::PoolView &view,
                      std::int64_t open) -> void
{
    const auto found = input.requiredSlots.find(wave.pool);
    if (found == input.requiredSlots.end() || view.largestHostSlots == 0)
        return;
    const auto spareSlots = std::max<std::int64_t>(0, view.servingSlots - found->second);
    // A pool without spare slots is still maintained, one host at a time, as far as its contracts
    // permit.
    const auto hosts = std::max<std::int64_t>(1, open + spareSlots / view.largestHostSlots);
    narrow(width,
           hosts,
           std::to_string(view.servingSlots) + " slots serve and " + std::to_string(found->second)
               + " are required in pool " + wave.pool);
}

struct Candidate
{
    const Host *host = nullptr;
    bool rackInProgress = false;
    std::int64_t rackJobs = 0;
    std::string rack;
};

auto candidatesOf(const Fleet::Wave &wave, const Fleet::State &state, const WaveInput &input)
    -> std::vector<Candidate>
{
    std::map<std::string, std::int64_t> jobsByRack;
    std::map<std::string, bool> rackStarted;
    for (const auto &id : wave.finished) {
        if (const auto *host = state.findHost(id))
            rackStarted[Fleet::rackOf(*host)] = true;
    }
    for (const auto &id : wave.hosts) {
        const auto *host = state.findHost(id);
        if (!host)
            continue;
        const auto jobs = input.jobsOnHost.find(id);
        jobsByRack[Fleet::rackOf(*host)] += jobs == input.jobsOnHost.end() ? 0 : jobs->second;
        if (!host->move.empty())
            rackStarted[Fleet::rackOf(*host)] = true;
    }
    std::vector<Candidate> candidates;
    for (const auto &id : wave.hosts) {
        const auto *host = state.findHost(id);
        if (!host || !host->move.empty() || host->state != HostState::Serving)
            continue;
        const auto rack = Fleet::rackOf(*host);
        candidates.push_back({host, rackStarted[rack], jobsByRack[rack], rack});
    }
    std::ranges::sort(candidates, [](const Candidate &left, const Candidate &right) {
        return std::tuple(!left.rackInProgress, left.rackJobs, left.rack, left.host->id)
               < std::tuple(!right.rackInProgress, right.rackJobs, right.rack, right.host->id);
    });
    return candidates;
}

auto makeMove(const Fleet::Wave &wave, const Candidate &candidate, const WaveWidth &width)
    -> Fleet::Move
{
    Fleet::Move move;
    move.host = candidate.host->id;
    move.wave = wave.id;
    move.reason = "maintenance wave " + wave.id + ", rack " + candidate.rack;
    move.cost = "at most " + std::to_string(Fleet::plannedStopWorstCaseHostS)
                + " host-seconds of each customer's budget";
    move.rule = "width " + std::to_string(width.hosts) + ": " + width.rule;
    move.alternative = "a host of another rack: rejected, so that one rack at a time is open";
    move.worstCaseHostS = Fleet::plannedStopWorstCaseHostS;
    return move;
}

} // namespace

FleetView::FleetView(const Fleet::State &state)
    : m_state(state)
    , m_racks(state.hosts())
{
    for (const auto &[id, host] : state.hosts()) {
        auto &view = m_pools[host.pool];
        view.servingSlots += host.state == HostState::Serving ? host.slots : 0;
        view.failedHosts += host.state == HostState::Failed ? 1 : 0;
        view.largestHostSlots = std::max(view.largestHostSlots, host.slots);
        if (const auto *move = host.move.empty() ? nullptr : state.findMove(host.move))
            m_openMoves.push_back(move);
    }
}

auto FleetView::pool(const std::string &pool) const -> PoolView
{
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? PoolView() : found->second;
}

auto widthOf(const Fleet::Wave &wave,
             const FleetView &view,
             const WaveInput &input,
             Fleet::WallTimeMs nowMs) -> WaveWidth
{
    const auto open = openStops(wave, view.state());
    const auto pool = view.pool(wave.pool);
    WaveWidth width{std::int64_t(wave.hosts.size()), "all hosts left in the wave"};
    narrowByContracts(width, wave, view, open, nowMs);
    narrowByCapacity(width, wave, input, pool, open);
    const auto failures = wave.recentFailures + pool.failedHosts;
    if (failures > 0 && width.hosts > 1) {
        constexpr std::int64_t maximumHalvings = 16;
        const auto halved = width.hosts >> std::min(failures, maximumHalvings);
        narrow(width,
               std::max<std::int64_t>(1, halved),
               std::to_string(failures) + " recent failures in pool " + wave.pool);
    }
    return width;
}

auto proposeWaveMoves(const FleetView &view, const WaveInput &input, Fleet::WallTimeMs nowMs)
    -> std::vector<Fleet::Move>
{
    const auto &state = view.state();
    std::vector<Fleet::Move> moves;
    for (const auto &[id, wave] : state.waves()) {
        if (wave.paused || !wave.isOpen())
            continue;
        const auto width = widthOf(wave, view, input, nowMs);
        auto left = width.hosts - openStops(wave, state);
        for (const auto &candidate : candidatesOf(wave, state, input)) {
            if (left-- <= 0)
                break;
            moves.push_back(makeMove(wave, candidate, width));
        }
    }
    return moves;
}

} // namespace Planning
