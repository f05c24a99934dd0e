#include "execution/orderbudget.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

constexpr double perSecond = 300;
constexpr Utils::Milliseconds interval{100};

// Four hundred hosts are wanted at once, as when demand comes to another pool.
TEST(OrderBudget, GivesABurstOfMovesAtNearlyTheProvidersRateAndNeverAboveIt)
{
    Execution::OrderBudget budget(perSecond);
    auto now = Utils::Instant(Utils::Milliseconds(5'000'000));
    std::int64_t wanted = 400;
    auto rounds = 0;
    for (; wanted > 0; ++rounds, now += interval) {
        const auto given = std::min(wanted, budget.available(now));
        EXPECT_LE(given, std::int64_t(perSecond * 0.15));
        budget.take(given);
        wanted -= given;
    }
    // At the full rate it takes 1.33 s.
    EXPECT_LE(rounds, 16);
    EXPECT_GE(rounds, 13);
}

TEST(OrderBudget, SavesNothingUpWhileNoOrdersAreGiven)
{
    Execution::OrderBudget budget(perSecond);
    EXPECT_LE(budget.available(Utils::Instant(Utils::Milliseconds(60'000))), 45);
    EXPECT_LE(budget.available(Utils::Instant(Utils::Milliseconds(600'000))), 45);
}

TEST(OrderBudget, GivesOrdersOneByOneToASlowProvider)
{
    Execution::OrderBudget budget(2);
    auto now = Utils::Instant(Utils::Milliseconds(1000));
    std::int64_t given = 0;
    for (auto round = 0; round < 100; ++round, now += interval) {
        const auto next = budget.available(now);
        EXPECT_LE(next, 1);
        budget.take(next);
        given += next;
    }
    EXPECT_GE(given, 17);
    EXPECT_LE(given, 20);
}

} // namespace
