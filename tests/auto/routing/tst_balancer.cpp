#include "routing/balancer.h"

#include <gtest/gtest.h>

#include <array>

namespace {

using Routing::Balancer;
using Routing::Strategy;

// Returns how often each index is chosen in 10000 picks.
auto histogram(Strategy strategy, std::span<const int> loads, int capacity) -> std::vector<int>
{
    constexpr auto picks = 10'000;
    Balancer balancer(strategy, 7);
    std::vector<int> counts(loads.size());
    for (auto pick = 0; pick < picks; ++pick)
        ++counts[balancer.pick(loads, capacity)];
    return counts;
}

} // namespace

TEST(Balancer, PrefersLowLoadsAsFarAsTheStrategyDoes)
{
    constexpr std::array loads{0, 8};
    struct Case
    {
        Strategy strategy;
        int leastForFirst;
        int mostForFirst;
    };
    const std::vector<Case> cases{
        {Strategy::Random, 4500, 5500},
        {Strategy::RoundRobin, 5000, 5000},
        {Strategy::LeastInFlight, 10'000, 10'000},
        {Strategy::TwoChoices, 7000, 8000},
    };
    for (const auto &testCase : cases) {
        const auto first = histogram(testCase.strategy, loads, 16)[0];
        EXPECT_GE(first, testCase.leastForFirst) << Utils::nameOf(testCase.strategy);
        EXPECT_LE(first, testCase.mostForFirst) << Utils::nameOf(testCase.strategy);
    }
}

TEST(Balancer, ModulationGrowsWithTheDifferenceOfTheLoads)
{
    // With two endpoints and a capacity of 16 the range is 8 + ln 16 - mean.
    constexpr std::array near{4, 5};
    constexpr std::array far{0, 9};
    const auto weak = histogram(Strategy::ModulatedTwoChoices, near, 16)[0];
    const auto strong = histogram(Strategy::ModulatedTwoChoices, far, 16)[0];
    EXPECT_GT(weak, 5000);
    EXPECT_LT(weak, 5800);
    EXPECT_GT(strong, 7000);
}

TEST(Balancer, LoadsBeyondTheModulationRangeChooseTheLowerLoad)
{
    // The mean load of 50 makes the range negative, so the choice is the same as with two choices.
    constexpr std::array loads{0, 100};
    const auto first = histogram(Strategy::ModulatedTwoChoices, loads, 16)[0];
    EXPECT_NEAR(first, 7500, 200);
}
