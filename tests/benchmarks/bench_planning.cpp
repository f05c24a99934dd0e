// Compares planned maintenance waves and buffers with two baselines on a virtual clock, and
// measures the time of one planning pass at three sizes. Prints CSV lines and ratios.

#include "planningscenario.h"

#include <chrono>
#include <iostream>

namespace {

using namespace PlanningScenario;

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

// Demand of five pools that peak in turn: each pool needs 25 slots for 20 s in every 1500 s, and
// 1 slot at all other times.
class RotatingDemand final : public Planning::DemandSource
{
public:
    auto at(const std::string &pool, std::int64_t atMs) const -> std::int64_t
    {
        constexpr std::int64_t peakMs = 20'000;
        constexpr std::int64_t turnMs = 300'000;
        constexpr int pools = 5;
        constexpr std::int64_t peakSlots = 25;
        const auto peakPool = (atMs / turnMs) % pools;
        const auto peaks = Scenario::poolName(int(peakPool)) == pool && atMs % turnMs < peakMs;
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
    RotatingDemand demand;
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
    const RotatingDemand demand;
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
