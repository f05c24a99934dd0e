// Random faults in several pools between which hosts move (rules LOST, AVAIL and TWICE).
#include "modelpools.h"

#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <iostream>

using namespace ExecutionTest;

namespace {

constexpr std::int64_t defaultSeeds = 120;
constexpr std::array<std::uint64_t, 2> seedsOfStuckEvacuations{1120, 2655};

auto numberFrom(const char *variable, std::int64_t otherwise) -> std::int64_t
{
    const auto *text = std::getenv(variable);
    return text != nullptr ? std::atoll(text) : otherwise;
}

auto expectNothingSeen(std::int64_t seed, const PoolResult &result) -> void
{
    EXPECT_EQ(result.late, "") << "seed " << seed << ", sizes then:\n" << result.loads;
    EXPECT_EQ(result.missed, "") << "seed " << seed;
    EXPECT_EQ(result.restless, "") << "seed " << seed << ", sizes then:\n" << result.loads;
    EXPECT_EQ(result.breach, "") << "seed " << seed;
}

/*! \brief The seeds that RANDOMPOOLS_FIRST and RANDOMPOOLS_SEEDS name, by default a fixed set. */
struct Seeds
{
    std::int64_t first = numberFrom("RANDOMPOOLS_FIRST", 1);
    std::int64_t count = numberFrom("RANDOMPOOLS_SEEDS", defaultSeeds);
};

// With RANDOMPOOLS_TRACE, all events of the tasks that failed are shown.
TEST(RandomPools, LongRunningTasksFindRoomWhereverTheFleetHasHosts)
{
    const Seeds seeds;
    const auto traces = numberFrom("RANDOMPOOLS_TRACE", 0) != 0;
    PoolResult sum;
    std::int64_t longestSeed = seeds.first;
    for (auto seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
        const auto result = ModelPools(std::uint64_t(seed)).play();
        expectNothingSeen(seed, result);
        sum.starts += result.starts;
        sum.moves += result.moves;
        sum.evacuations += result.evacuations;
        sum.crashes += result.crashes;
        if (result.longestMissingUs > sum.longestMissingUs) {
            sum.longestMissingUs = result.longestMissingUs;
            longestSeed = seed;
        }
        if (traces && result.task)
            std::cout << ModelPools(std::uint64_t(seed), result.task).play().trace;
    }
    std::cout << seeds.count << " plays from seed " << seeds.first << ": " << sum.crashes
              << " crashes, " << sum.moves << " moves, " << sum.evacuations
              << " endpoints evacuated for a move, " << sum.starts
              << " runs, a task was missing for " << sum.longestMissingUs / usPerMs
              << " ms at most (seed " << longestSeed << ")\n";
}

// Guards against LOST: the long-running task of an endpoint that is being released has no other place (each other one runs one
// of its step or is full), and the pool whose tasks could move releases none meanwhile.
TEST(RandomPools, EndpointWhoseTasksHaveNoOtherPlaceMakesWayForAnotherOne)
{
    for (const auto seed : seedsOfStuckEvacuations)
        EXPECT_EQ(ModelPools(seed).play().late, "") << "seed " << seed;
}

// The demand of short tasks varies all the time; hosts that are to move must nevertheless get empty.
TEST(RandomPools, EndpointsAreNotClosedAndOpenedInTurnWithoutEnd)
{
    const Seeds seeds;
    for (auto seed = seeds.first; seed < seeds.first + seeds.count; ++seed)
        EXPECT_EQ(ModelPools(std::uint64_t(seed)).play().wavering, "") << "seed " << seed;
}

} // namespace
