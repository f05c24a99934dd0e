// Compares balancing strategies and admission policies on a virtual clock, with fixed seeds.

#include "../auto/routing/policymodel.h"

#include <cstdio>

namespace {

using PolicyModel::DemandOptions;
using PolicyModel::Policy;
using Routing::Strategy;

constexpr std::array strategies{
    Strategy::Random, Strategy::LeastInFlight, Strategy::TwoChoices, Strategy::ModulatedTwoChoices};
constexpr std::array<std::uint64_t, 3> seeds{1, 2, 3};

auto nameOf(Policy policy) -> const char *
{
    constexpr std::array names{"admission", "round-robin", "static-limits"};
    return names[std::size_t(policy)];
}

auto compareStrategies() -> void
{
    std::puts("balance,strategy,staleness_ms,seed,p50,p99,max,refused_share");
    for (const auto stalenessMs : {200, 1000, 2000}) {
        for (const auto strategy : strategies) {
            for (const auto seed : seeds) {
                const auto result = PolicyModel::runBalance({strategy, seed, stalenessMs});
                std::printf("balance,%s,%d,%d,%.3f,%.3f,%.3f,%.4f\n",
                            Utils::nameOf(strategy).data(),
                            stalenessMs,
                            int(seed),
                            result.p50,
                            result.p99,
                            result.highest,
                            double(result.refusals) / double(result.requests));
            }
        }
    }
}

auto print(const DemandOptions &options) -> void
{
    auto result = PolicyModel::runDemand(options);
    std::printf("demand,%s,%s,%d,%d,%.3f,%.4f,%ld,%ld\n",
                nameOf(options.policy),
                Utils::nameOf(options.strategy).data(),
                options.stalenessMs,
                int(options.seed),
                result.workDone / result.workPossible,
                double(result.retries) / double(result.requests),
                long(result.urgentFailures),
                long(result.urgentWithinGuarantee));
    for (std::size_t index = 0; index < result.priorities.size(); ++index) {
        auto &priority = result.priorities[index];
        std::ranges::sort(priority.waitsMs);
        const auto &waits = priority.waitsMs;
        std::printf("priority,%s,%s,%ld,%.4f,%.4f,%.4f,%d,%d\n",
                    nameOf(options.policy),
                    Utils::nameOf(Routing::Priority(index)).data(),
                    long(priority.offered),
                    double(priority.inDeadline) / double(priority.offered),
                    double(priority.late) / double(priority.offered),
                    double(priority.refused) / double(priority.offered),
                    waits.empty() ? 0 : waits[waits.size() / 2],
                    waits.empty() ? 0 : waits[waits.size() * 99 / 100]);
    }
}

auto comparePolicies() -> void
{
    std::puts(
        "demand,policy,strategy,staleness_ms,seed,goodput,retry_share,urgent_failures,urgent");
    std::puts("priority,policy,priority,offered,in_deadline,late,refused,wait_p50_ms,wait_p99_ms");
    for (const auto seed : seeds) {
        for (const auto policy : {Policy::Admission, Policy::RoundRobin, Policy::StaticLimits})
            print({policy, Strategy::ModulatedTwoChoices, seed});
    }
    for (const auto strategy : strategies) {
        for (const auto stalenessMs : {200, 2000})
            print({Policy::Admission, strategy, 1, stalenessMs});
    }
}

} // namespace

auto main() -> int
{
    compareStrategies();
    comparePolicies();
    return 0;
}
