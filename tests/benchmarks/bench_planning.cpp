// Compares planned maintenance waves and buffers with two baselines on a virtual clock, and
// measures the time of one planning pass at three sizes. Prints CSV lines and ratios.

#include "planning/bufferplanner.h"
#include "planning/jobplacement.h"
#include "planning/waveplanner.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>

namespace {

using Fleet::HostState;
using Fleet::MoveState;

constexpr std::int64_t slotsPerHost = 8;
constexpr std::int64_t hostsPerRack = 4;
constexpr std::int64_t tickMs = 60'000;
constexpr int rebootTicks = 10;
constexpr int longestRollOutTicks = 5000;

enum class Policy { Planned, OneAtATime, Greedy };
constexpr std::array policyNames{"planned", "one-at-a-time", "greedy"};

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

// A fleet of pools spread over zones, driven by commands on a virtual clock.
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

    // Four of five hosts of each pool hold a job, so that each pool has hosts to start with.
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
    auto failAndReturn() -> void;

    std::mt19937_64 m_random;
    Fleet::Revision m_revision = 0;
};

auto Scenario::propose(Policy policy) -> void
{
    if (policy == Policy::Planned) {
        const Planning::FleetView view(state);
        for (const auto &move : Planning::proposeWaveMoves(view, {{}, jobsByHost()}, nowMs))
            apply(Fleet::ProposeMove{move, true});
        return;
    }
    auto left = policy == Policy::OneAtATime ? 1 : contract.disruption.maxUnavailableHosts;
    for (const auto &[id, host] : state.hosts())
        left -= host.move.empty() ? 0 : 1;
    for (const auto &[id, wave] : std::map(state.waves())) {
        for (const auto &name : wave.hosts) {
            const auto *host = state.findHost(name);
            if (left <= 0 || host->state != HostState::Serving || !host->move.empty())
                continue;
            Fleet::Move move;
            move.host = name;
            move.wave = id;
            move.worstCaseHostS = Fleet::plannedStopWorstCaseHostS;
            --left;
            apply(Fleet::ProposeMove{move, true});
        }
    }
}

auto Scenario::placePlanned(const Fleet::Move &move) -> bool
{
    std::vector<Planning::PlacementTarget> targets;
    const auto &ahead = state.waves().at(move.wave).hosts;
    for (const auto &[id, host] : state.hosts()) {
        if (host.pool == move.fromPool && host.state == HostState::Serving
            && std::ranges::find(ahead, id) == ahead.end())
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

auto Scenario::placeLeastLoaded(const Fleet::Move &move) -> bool
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

auto Scenario::moveJobs(const Fleet::Move &move, Policy policy) -> bool
{
    return policy == Policy::Planned ? placePlanned(move) : placeLeastLoaded(move);
}

auto Scenario::step(const Fleet::Move &move, Policy policy, WaveResult &result) -> void
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
        const auto isOver = status.unavailableHosts > terms.maxUnavailableHosts
                            || status.spentHostS + status.escrowHostS > terms.budgetHostS;
        result.overspent += isOver ? 1 : 0;
    } else if (move.state == MoveState::Draining) {
        advance(MoveState::InMaintenance);
    } else if (move.state == MoveState::InMaintenance
               && nowMs - move.changedMs >= rebootTicks * tickMs) {
        advance(MoveState::Soaking);
    } else if (move.state == MoveState::Soaking) {
        advance(MoveState::Done);
    }
}

auto Scenario::failAndReturn() -> void
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

auto Scenario::runWaves(Policy policy, bool faults) -> WaveResult
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
            failAndReturn();
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

auto compareWaves() -> void
{
    std::cout << "csv,waves,faults,seed,policy,roll_out_min,job_moves,moved_twice,overspent,"
                 "finished\n";
    for (const auto faults : {false, true}) {
        std::array<WaveResult, policyNames.size()> sums{};
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            for (std::size_t index = 0; index < policyNames.size(); ++index) {
                Scenario scenario(3, 5, 10, seed);
                scenario.addJobs();
                const auto result = scenario.runWaves(Policy(index), faults);
                std::cout << "csv,waves," << faults << ',' << seed << ',' << policyNames[index]
                          << ',' << result.rollOutTicks << ',' << result.jobMoves << ','
                          << result.movedTwice << ',' << result.overspent << ',' << result.finished
                          << '\n';
                sums[index].rollOutTicks += result.rollOutTicks;
                sums[index].jobMoves += result.jobMoves;
            }
        }
        std::cout << "waves faults=" << faults << ": job moves planned/greedy "
                  << double(sums[0].jobMoves) / sums[2].jobMoves
                  << " (goal 0.5), roll-out planned/one-at-a-time "
                  << double(sums[0].rollOutTicks) / sums[1].rollOutTicks << " (goal 0.5)\n";
    }
}

// Five pools whose demand peaks in turn at five times the mean and is low in between.
class TurnDemand final : public Planning::DemandSource
{
public:
    auto at(const std::string &pool, std::int64_t atMs) const -> std::int64_t
    {
        constexpr std::int64_t peakMs = 20'000;
        constexpr std::int64_t turnMs = 300'000;
        constexpr int pools = 5;
        constexpr std::int64_t peakSlots = 25;
        const auto turn = (atMs / turnMs) % pools;
        const auto peaks = Scenario::poolName(int(turn)) == pool && atMs % turnMs < peakMs;
        return peaks ? peakSlots : 1;
    }
    auto series(const Planning::PoolZone &cell) const
        -> std::vector<Planning::DemandSample> override
    {
        constexpr std::int64_t lagMs = 5'000;
        constexpr std::int64_t historyMs = 600'000;
        std::vector<Planning::DemandSample> samples;
        for (auto atMs = nowMs - historyMs; atMs <= nowMs - lagMs; atMs += lagMs)
            samples.push_back({atMs, at(cell.pool, atMs)});
        return samples;
    }
    std::int64_t nowMs = 0;
};

auto compareBuffers() -> void
{
    std::cout << "csv,buffer,planned_slot_h,fixed_slot_h\n";
    Scenario scenario(4, 5, 10, 1);
    TurnDemand demand;
    constexpr std::int64_t stepMs = 5'000;
    constexpr std::int64_t steps = 360;
    double planned = 0;
    double fixed = 0;
    for (std::int64_t step = 0; step < steps; ++step) {
        demand.nowMs = scenario.nowMs += stepMs;
        const auto plan = Planning::planBuffers(scenario.state, demand, {}, demand.nowMs);
        for (const auto &zone : plan.zones) {
            planned += double(zone.reserveSlots);
            for (const auto &pool : zone.pools) {
                const auto used = demand.at(pool.pool, demand.nowMs);
                const auto held = std::min(pool.requiredSlots, pool.servingSlots);
                // A pool of two or three hosts in a zone has at most one rack there.
                const auto fixedSlots =
                    std::min(pool.servingSlots, pool.guaranteedSlots + hostsPerRack * slotsPerHost);
                planned += double(std::max<std::int64_t>(0, held - used));
                fixed += double(std::max<std::int64_t>(0, fixedSlots - used));
            }
        }
    }
    constexpr double stepsPerHour = 720;
    std::cout << "csv,buffer," << planned / stepsPerHour << ',' << fixed / stepsPerHour << '\n';
    std::cout << "buffer cost planned/fixed " << planned / fixed << " (goal 0.6)\n";
}

auto measurePlanning() -> void
{
    std::cout << "csv,scale,hosts,buffer_ms,waves_ms\n";
    const TurnDemand demand;
    for (const auto hostsPerPool : {12, 77, 846}) {
        const auto pools = hostsPerPool == 12 ? 5 : 26;
        Scenario scenario(hostsPerPool == 12 ? 4 : 11, pools, hostsPerPool, 1);
        for (const auto &[name, pool] : std::map(scenario.state.pools())) {
            Fleet::Wave wave;
            wave.id = "wave-" + name;
            wave.pool = name;
            scenario.apply(Fleet::StartWave{wave});
        }
        using Clock = std::chrono::steady_clock;
        const auto start = Clock::now();
        const auto plan = Planning::planBuffers(scenario.state, demand, {}, scenario.nowMs);
        const auto middle = Clock::now();
        const Planning::FleetView view(scenario.state);
        const auto moves =
            Planning::proposeWaveMoves(view, {plan.requiredSlots(), {}}, scenario.nowMs);
        const auto end = Clock::now();
        using Ms = std::chrono::duration<double, std::milli>;
        std::cout << "csv,scale," << scenario.state.hosts().size() << ','
                  << Ms(middle - start).count() << ',' << Ms(end - middle).count() << '\n';
        std::cout << scenario.state.hosts().size() << " hosts: one pass " << Ms(end - start).count()
                  << " ms (goal 1000), " << moves.size() << " moves\n";
    }
}

} // namespace

auto main() -> int
{
    compareWaves();
    compareBuffers();
    measurePlanning();
    return 0;
}
