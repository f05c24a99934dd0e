#include "routing/ejectiontable.h"
#include "routing/failedrequests.h"
#include "routing/ratelimiter.h"
#include "routing/retrybudget.h"

#include <gtest/gtest.h>

namespace {

using Routing::EjectionState;
using Utils::Instant;
using Utils::Milliseconds;

const Instant start{Milliseconds(1'000'000)};

auto failThreeTimes(Routing::EjectionTable &table, const std::string &endpoint, int poolSize)
    -> bool
{
    table.addFailure(endpoint, poolSize, start);
    table.addFailure(endpoint, poolSize, start);
    return table.addFailure(endpoint, poolSize, start);
}

} // namespace

TEST(EjectionTable, EjectsAtMostAThirdOfThePool)
{
    Routing::EjectionTable table;
    EXPECT_TRUE(failThreeTimes(table, "a", 6));
    EXPECT_TRUE(failThreeTimes(table, "b", 6));
    EXPECT_FALSE(failThreeTimes(table, "c", 6));
    EXPECT_EQ(table.state("c", start), EjectionState::Healthy);
    EXPECT_GT(table.penalty("c"), 8);
}

TEST(EjectionTable, EndpointReturnsAfterASuccessfulProbe)
{
    Routing::EjectionTable table;
    ASSERT_TRUE(failThreeTimes(table, "a", 3));
    EXPECT_EQ(table.state("a", start), EjectionState::Ejected);
    const auto first = start + Milliseconds(2000);
    EXPECT_EQ(table.state("a", first), EjectionState::Probing);
    EXPECT_TRUE(table.addFailure("a", 3, first));
    EXPECT_EQ(table.state("a", first + Milliseconds(3999)), EjectionState::Ejected);
    EXPECT_EQ(table.state("a", first + Milliseconds(4000)), EjectionState::Probing);
    EXPECT_TRUE(table.addSuccess("a"));
    EXPECT_EQ(table.state("a", first), EjectionState::Healthy);
}

TEST(EjectionTable, SuccessResetsConsecutiveFailures)
{
    Routing::EjectionTable table;
    table.addFailure("a", 3, start);
    table.addFailure("a", 3, start);
    EXPECT_FALSE(table.addSuccess("a"));
    EXPECT_FALSE(table.addFailure("a", 3, start));
}

TEST(FailedRequests, RejectsRequestsThatFailOnThreeEndpointsOfSeveralRacks)
{
    struct Case
    {
        std::vector<std::string> racks;
        int racksInPool;
        bool rejected;
    };
    const std::vector<Case> cases{
        {{"r1", "r2", "r1"}, 2, true},
        {{"r1", "r1", "r1"}, 2, false},
        {{"r1", "r1", "r1"}, 1, true},
        {{"r1", "r2"}, 2, false},
    };
    for (const auto &testCase : cases) {
        Routing::FailedRequests requests;
        auto number = 0;
        for (const auto &rack : testCase.racks)
            requests.addFailure(1, std::to_string(++number), rack, testCase.racksInPool, start);
        EXPECT_EQ(requests.isRejected(1, start), testCase.rejected);
        EXPECT_FALSE(requests.isRejected(2, start));
        EXPECT_FALSE(requests.isRejected(1, start + Milliseconds(10'000)));
    }
}

TEST(RetryBudget, AllowsATenthOfRequests)
{
    Routing::RetryBudget budget;
    while (budget.takeRetry(Routing::Priority::Urgent)) {
    }
    auto retries = 0;
    for (auto request = 0; request < 1000; ++request) {
        budget.addRequest();
        retries += budget.takeRetry(Routing::Priority::Urgent) ? 1 : 0;
    }
    EXPECT_EQ(retries, 100);
}

TEST(RateLimiter, RefillsWithTime)
{
    Utils::ManualClock clock;
    Routing::RateLimiter limiter(clock);
    auto taken = 0;
    for (auto request = 0; request < 20; ++request)
        taken += limiter.take("a", 10) ? 1 : 0;
    EXPECT_EQ(taken, 10);
    clock.advance(Milliseconds(500));
    for (auto request = 0; request < 20; ++request)
        taken += limiter.take("a", 10) ? 1 : 0;
    EXPECT_EQ(taken, 15);
    EXPECT_TRUE(limiter.take("b", 10));
}
