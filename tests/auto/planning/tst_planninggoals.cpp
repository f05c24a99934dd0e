#include "../../benchmarks/planningscenario.h"

#include <gtest/gtest.h>

using namespace PlanningScenario;

// Checks the goals for waves in a fleet of 3 zones, 5 pools and 10 hosts per pool, with and without
// failures of hosts and racks.
TEST(PlanningGoals, WavesMoveHalfTheJobsOfGreedyInHalfTheTimeOfOneAtATime)
{
    for (const auto faults : {false, true}) {
        std::array<WaveResult, policyNames.size()> sums{};
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            for (std::size_t index = 0; index < policyNames.size(); ++index) {
                Scenario scenario(3, 5, 10, seed);
                scenario.addJobs();
                const auto result = scenario.runWaves(Policy(index), faults);
                sums[index].jobMoves += result.jobMoves;
                sums[index].rollOutTicks += result.rollOutTicks;
                EXPECT_EQ(result.overspent, 0) << policyNames[index] << " seed " << seed;
                EXPECT_LT(result.rollOutTicks, longestRollOutTicks);
                if (Policy(index) == Policy::Planned) {
                    EXPECT_EQ(result.movedTwice, 0) << "seed " << seed;
                }
            }
        }
        const auto &[planned, oneAtATime, greedy] = sums;
        EXPECT_LE(2 * planned.jobMoves, greedy.jobMoves) << "faults " << faults;
        EXPECT_LE(2 * planned.rollOutTicks, oneAtATime.rollOutTicks) << "faults " << faults;
    }
}

TEST(PlanningGoals, ClosedMovesBeyondTheLimitAreRemoved)
{
    Scenario scenario(1, 1, 1, 1);
    constexpr std::size_t limit = 4096;
    for (std::size_t round = 0; round < limit + 10; ++round) {
        Fleet::Move move;
        move.host = scenario.state.hosts().begin()->first;
        const auto proposed = scenario.apply(Fleet::ProposeMove{move});
        ASSERT_TRUE(scenario.apply(Fleet::DecideMove{proposed.subject, false}).accepted);
    }
    EXPECT_EQ(scenario.state.moves().size(), limit);
}
