#pragma once

#include "planning/bufferplanner.h"
#include "planning/jobplacement.h"
#include "planning/waveplanner.h"

#include <algorithm>
#include <array>
#include <random>

/*! Simulates maintenance waves on a virtual clock, with the planner or a baseline policy. */
namespace PlanningScenario {

using Fleet::HostState;
using Fleet::MoveState;

constexpr std::int64_t slotsPerHost = 8;
constexpr std::int64_t hostsPerRack = 4;
constexpr std::int64_t tickMs = 60'000;
constexpr int rebootTicks = 10;
constexpr int longestRollOutTicks = 5000;

enum class Policy { Planned, OneAtATime, Greedy };
inline constexpr std::array policyNames{"planned", "one-at-a-time", "greedy"};

struct Job
{
    std::string host;
    std::int64_t slots = 2;
    int moves = 0;
};

struct WaveResult
{
    int rollOutTicks = 0;
    int jobMoves = 0;
    int movedTwice = 0;
    int overspent = 0;
    std::size_t finished = 0;
};

// Simulates a fleet whose pools are spread over zones, on a virtual clock.
class Scenario
{
public:
    Scenario(int zones, int pools, int hostsPerPool, std::uint64_t seed)
        : m_random(seed)
    {
        contract.customer = "customer";
        contract.disruption = {12, 40'000'000, 2'419'200};
        for (int pool = 0; pool < pools; ++pool)
            contract.services.push_back({poolName(pool), poolName(pool), 32, 96, 0});
        apply(Fleet::PutContract{contract, true});
        apply(Fleet::PutPool{{poolName(pools - 1), true, {}, 0}});
        std::vector<int> hostsInZone(std::size_t(zones), 0);
        for (int index = 0; index < pools * hostsPerPool; ++index) {
            const auto zone = std::size_t(index % zones);
            const auto rack = hostsInZone[zone]++ / hostsPerRack;
            apply(Fleet::RegisterHost{"host-" + std::to_string(100'000 + index),
                                      poolName(index / hostsPerPool),
                                      "z" + std::to_string(zone),
                                      "r" + std::to_string(rack),
                                      slotsPerHost});
        }
    }

    static auto poolName(int pool) -> std::string { return "pool-" + std::to_string(pool); }

    auto apply(Fleet::CommandBody body) -> Fleet::CommandResult
    {
        Fleet::Command command;
        command.id = "c" + std::to_string(++m_revision);
        command.actor = "bench";
        command.timeMs = nowMs;
        command.body = std::move(body);
        return state.apply(command, m_revision);
    }

    // Places a job on four of five hosts, so that each pool has idle hosts at the start.
    auto addJobs() -> void
    {
        int index = 0;
        for (const auto &[id, host] : state.hosts()) {
            if (++index % 5 != 0)
                jobs.push_back({id, 1 + std::int64_t(m_random() % 3), 0});
        }
    }

    auto runWaves(Policy policy, bool faults) -> WaveResult;

    Fleet::State state;
    Fleet::Contract contract;
    std::vector<Job> jobs;
    std::int64_t nowMs = 1'000'000'000;

private:
    auto usedSlots(const std::string &host) const -> std::int64_t
    {
        std::int64_t used = 0;
        for (const auto &job : jobs)
            used += job.host == host ? job.slots : 0;
        return used;
    }
    auto jobsByHost() const -> std::map<std::string, std::int64_t>
    {
        std::map<std::string, std::int64_t> counts;
        for (const auto &job : jobs)
            ++counts[job.host];
        return counts;
    }
    auto propose(Policy policy) -> void;
    auto moveJobs(const Fleet::Move &move, Policy policy) -> bool;
    auto placePlanned(const Fleet::Move &move) -> bool;
    auto placeLeastLoaded(const Fleet::Move &move) -> bool;
    auto step(const Fleet::Move &move, Policy policy, WaveResult &result) -> void;
    auto injectHostFailures() -> void;

    std::mt19937_64 m_random;
    Fleet::Revision m_revision = 0;
};

inline auto Scenario::propose(Policy policy) -> void
{
    if (policy == Policy::Planned) {
        const Planning::FleetView view(state);
        for (const auto &move : Planning::proposeWaveMoves(view, {{}, jobsByHost()}, nowMs))
            apply(Fleet::ProposeMove{move, true});
        return;
    }
    auto remaining = policy == Policy::OneAtATime ? 1 : contract.disruption.maxUnavailableHosts;
    for (const auto &[id, host] : state.hosts())
        remaining -= host.move.empty() ? 0 : 1;
    for (const auto &[id, wave] : std::map(state.waves())) {
        for (const auto &name : wave.hosts) {
            const auto *host = state.findHost(name);
            if (remaining <= 0 || host->state != HostState::Serving || !host->move.empty())
                continue;
            Fleet::Move move;
            move.host = name;
            move.wave = id;
            move.worstCaseHostS = Fleet::plannedStopWorstCaseHostS;
            --remaining;
            apply(Fleet::ProposeMove{move, true});
        }
    }
}

inline auto Scenario::placePlanned(const Fleet::Move &move) -> bool
{
    std::vector<Planning::PlacementTarget> targets;
    const auto &waveHosts = state.waves().at(move.wave).hosts;
    for (const auto &[id, host] : state.hosts()) {
        if (host.pool == move.fromPool && host.state == HostState::Serving
            && std::ranges::find(waveHosts, id) == waveHosts.end())
            targets.push_back({id, host.slots - usedSlots(id)});
    }
    std::vector<Planning::Task> tasks;
    for (std::size_t index = 0; index < jobs.size(); ++index) {
        if (jobs[index].host == move.host)
            tasks.push_back({std::to_string(index), 1, jobs[index].slots, 0, true});
    }
    const auto plan = Planning::placeJobs(tasks, targets, 300);
    if (!plan.unplaced.empty())
        return false;
    for (const auto &job : plan.moves) {
        auto &moved = jobs[std::stoul(job.job)];
        moved.host = job.toHost;
        ++moved.moves;
    }
    return true;
}

inline auto Scenario::placeLeastLoaded(const Fleet::Move &move) -> bool
{
    for (auto &job : jobs) {
        if (job.host != move.host)
            continue;
        const Fleet::Host *best = nullptr;
        for (const auto &[id, host] : state.hosts()) {
            if (host.pool == move.fromPool && host.state == HostState::Serving && id != move.host
                && (!best || usedSlots(id) < usedSlots(best->id)))
                best = &host;
        }
        if (!best)
            return false;
        job.host = best->id;
        ++job.moves;
    }
    return true;
}

inline auto Scenario::moveJobs(const Fleet::Move &move, Policy policy) -> bool
{
    return policy == Policy::Planned ? placePlanned(move) : placeLeastLoaded(move);
}

inline auto Scenario::step(const Fleet::Move &move, Policy policy, WaveResult &result) -> void
{
    const auto advance = [&](MoveState to) {
        return apply(Fleet::AdvanceMove{move.id, move.state, to, {}}).accepted;
    };
    if (move.state == MoveState::Approved && state.checkGrants(move, nowMs)
        && moveJobs(move, policy)) {
        if (!advance(MoveState::Draining))
            return;
        const auto status = state.ledger().status(contract, nowMs);
        const auto &terms = contract.disruption;
        const auto isOverspent = status.unavailableHosts > terms.maxUnavailableHosts
                                 || status.spentHostS + status.escrowHostS > terms.budgetHostS;
        result.overspent += isOverspent ? 1 : 0;
    } else if (move.state == MoveState::Draining) {
        advance(MoveState::InMaintenance);
    } else if (move.state == MoveState::InMaintenance
               && nowMs - move.changedMs >= rebootTicks * tickMs) {
        advance(MoveState::Soaking);
    } else if (move.state == MoveState::Soaking) {
        advance(MoveState::Done);
    }
}

inline auto Scenario::injectHostFailures() -> void
{
    for (const auto &[id, host] : std::map(state.hosts())) {
        if (host.state == HostState::Failed) {
            if (m_random() % 30 == 0)
                apply(Fleet::ReportHost{id, false});
        } else if (m_random() % 1'000 == 0) {
            for (const auto &[other, peer] : std::map(state.hosts())) {
                if (Fleet::rackOf(peer) == Fleet::rackOf(host) && m_random() % 2 == 0)
                    apply(Fleet::ReportHost{other, true});
            }
        }
    }
}

inline auto Scenario::runWaves(Policy policy, bool faults) -> WaveResult
{
    for (const auto &[name, pool] : std::map(state.pools())) {
        Fleet::Wave wave;
        wave.id = "wave-" + name;
        wave.pool = name;
        apply(Fleet::StartWave{wave});
    }
    WaveResult result;
    const auto isOpen = [&] {
        return std::ranges::any_of(state.waves(),
                                   [](const auto &item) { return item.second.isOpen(); });
    };
    for (; isOpen() && result.rollOutTicks < longestRollOutTicks; ++result.rollOutTicks) {
        nowMs += tickMs;
        if (faults)
            injectHostFailures();
        propose(policy);
        for (const auto &[id, move] : std::map(state.moves())) {
            if (move.isOpen())
                step(move, policy, result);
        }
    }
    for (const auto &job : jobs) {
        result.jobMoves += job.moves;
        result.movedTwice += job.moves > 1 ? 1 : 0;
    }
    for (const auto &[id, wave] : state.waves())
        result.finished += wave.finished.size();
    return result;
}

} // namespace PlanningScenario
