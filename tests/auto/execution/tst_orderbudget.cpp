#include "execution/orderbudget.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace {

constexpr double perSecond = 300;
constexpr Utils::Milliseconds interval{100};

// 400 hosts have to move at once, as when demand shifts to another pool. A rate above the limit
// makes the provider refuse orders; a rate far below it delays the moves.
TEST(OrderBudget, SpreadsBurstAtNearlyTheProvidersRateAndNeverAboveIt)
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
    // At the full rate, the burst takes 1.33 s.
    EXPECT_LE(rounds, 16);
    EXPECT_GE(rounds, 13);
}

TEST(OrderBudget, AccumulatesLittleBudgetWhileNoOrdersAreSent)
{
    Execution::OrderBudget budget(perSecond);
    EXPECT_LE(budget.available(Utils::Instant(Utils::Milliseconds(60'000))), 45);
    EXPECT_LE(budget.available(Utils::Instant(Utils::Milliseconds(600'000))), 45);
}

TEST(OrderBudget, SendsOrdersOneByOneToSlowProvider)
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
