#include "service/leadershipstep.h"

#include <gtest/gtest.h>

namespace {

using Service::LeadershipStep;
using Service::nextLeadershipStep;

auto statusIn(std::uint64_t term) -> Replication::LogStatus
{
    Replication::LogStatus status;
    status.role = Replication::Role::Leader;
    status.hasQuorum = true;
    status.term = term;
    return status;
}

TEST(LeadershipStep, BeginsOneSessionForEachTerm)
{
    EXPECT_EQ(nextLeadershipStep(statusIn(1), 0), LeadershipStep::BeginSession);
    EXPECT_EQ(nextLeadershipStep(statusIn(3), 2), LeadershipStep::BeginSession);
}

// The contact with a majority may be lost and found again within a term.
TEST(LeadershipStep, BeginsNoSecondSessionInATerm)
{
    EXPECT_EQ(nextLeadershipStep(statusIn(2), 2), LeadershipStep::Resign);
}

TEST(LeadershipStep, WaitsWithoutLeadershipOrMajority)
{
    auto status = statusIn(2);
    status.hasQuorum = false;
    EXPECT_EQ(nextLeadershipStep(status, 2), LeadershipStep::Wait);
    status = statusIn(2);
    status.role = Replication::Role::Follower;
    EXPECT_EQ(nextLeadershipStep(status, 1), LeadershipStep::Wait);
}

} // namespace
