#pragma once

#include "routing/balancer.h"
#include "utils/clock.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <numeric>
#include <random>

/*! Simulates balancing strategies with small fake workers on a virtual clock. */
namespace PolicyModel {

using Utils::Instant;
using Utils::Milliseconds;

constexpr auto entries = 8;
constexpr auto workers = 12;
constexpr auto workersPerRack = 4;
constexpr auto slotsPerWorker = 8;
constexpr auto poolSlots = workers * slotsPerWorker;

/*! \brief Quantiles of the highest load divided by the mean load, over a simulation run. */
struct BalanceResult
{
    double p50 = 0;
    double p99 = 0;
    double highest = 0;
    std::int64_t requests = 0;
    std::int64_t refusals = 0;
};

struct BalanceOptions
{
    Routing::Strategy strategy = Routing::Strategy::ModulatedTwoChoices;
    std::uint64_t seed = 1;
    int stalenessMs = 1000;
    int durationMs = 60'000;
};

/*!
    \brief Simulates eight entries that balance requests over one pool at 0.75 of its slots.

    Each entry knows the load caused by the others only as they last reported it. Every two
    seconds all work of a random rack, or the newer half of all work, is cancelled.
*/
inline auto runBalance(const BalanceOptions &options) -> BalanceResult
{
    struct Running
    {
        int worker = 0;
        int entry = 0;
        int endMs = 0;
    };
    constexpr auto meanRunMs = 100.0;
    constexpr auto utilization = 0.75;
    constexpr auto burstIntervalMs = 2000;
    std::mt19937_64 random(options.seed);
    std::vector<Routing::Balancer> balancers;
    for (auto entry = 0; entry < entries; ++entry)
        balancers.emplace_back(options.strategy, random());
    std::array<std::array<int, workers>, entries> own{};
    std::array<std::array<int, workers>, entries> reported{};
    std::array<int, workers> load{};
    std::vector<Running> running;
    std::vector<double> ratios;
    BalanceResult result;
    std::poisson_distribution<> arrivals(utilization * poolSlots / meanRunMs);
    std::exponential_distribution<> runTime(1 / meanRunMs);
    const auto end = [&](const Running &work) {
        --load[work.worker];
        --own[work.entry][work.worker];
    };
    for (auto now = 0; now < options.durationMs; ++now) {
        for (auto entry = 0; entry < entries; ++entry) {
            if ((now + entry * options.stalenessMs / entries) % options.stalenessMs == 0)
                reported[entry] = own[entry];
        }
        std::erase_if(running, [&](const Running &work) {
            if (work.endMs <= now)
                end(work);
            return work.endMs <= now;
        });
        if (now > 0 && now % burstIntervalMs == 0) {
            const auto rack = int(random() % (workers / workersPerRack));
            const auto byRack = random() % 2 == 0;
            const auto half = running.size() / 2;
            std::size_t index = 0;
            std::erase_if(running, [&](const Running &work) {
                const auto newer = index++ >= half;
                const auto cancelled = byRack ? work.worker / workersPerRack == rack : newer;
                if (cancelled)
                    end(work);
                return cancelled;
            });
        }
        for (auto count = arrivals(random); count > 0; --count) {
            const auto entry = int(random() % entries);
            std::array<int, workers> view = own[entry];
            for (auto other = 0; other < entries; ++other) {
                for (auto worker = 0; other != entry && worker < workers; ++worker)
                    view[worker] += reported[other][worker];
            }
            const auto worker = int(balancers[entry].pick(view, poolSlots));
            ++result.requests;
            if (load[worker] >= slotsPerWorker) {
                ++result.refusals;
                continue;
            }
            ++load[worker];
            ++own[entry][worker];
            running.push_back({worker, entry, now + 1 + int(runTime(random))});
        }
        const auto sum = std::accumulate(load.begin(), load.end(), 0);
        if (now % 10 == 0 && sum >= workers)
            ratios.push_back(*std::ranges::max_element(load) * double(workers) / sum);
    }
    std::ranges::sort(ratios);
    result.p50 = ratios[ratios.size() / 2];
    result.p99 = ratios[ratios.size() * 99 / 100];
    result.highest = ratios.back();
    return result;
}

} // namespace PolicyModel
