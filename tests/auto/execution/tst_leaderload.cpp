#include "execution/leaderload.h"

#include <gtest/gtest.h>

using namespace Execution;
using Utils::Milliseconds;

namespace {

constexpr Utils::Instant start{Milliseconds(1'000'000)};

TEST(LeaderLoad, KeepsTheLongestDelayOfEachPeriod)
{
    LeaderLoad load;
    load.take(start);
    load.record(LeaderDelay::Commit, Milliseconds(30));
    load.record(LeaderDelay::Commit, Milliseconds(20));
    const auto report = load.take(start + Milliseconds(2000));
    EXPECT_EQ(report.longestOf(LeaderDelay::Commit), Milliseconds(30));
    EXPECT_EQ(report.longestOf(LeaderDelay::Loop), Milliseconds(0));
    EXPECT_EQ(report.period, Milliseconds(2000));
    EXPECT_EQ(load.take(start + Milliseconds(3000)).longestOf(LeaderDelay::Commit),
              Milliseconds(0));
}

TEST(LeaderLoad, CountsEachTimedPieceOfWork)
{
    LeaderLoad load;
    load.take(start);
    for (int times = 0; times < 3; ++times)
        const LeaderLoad::Timer timer(load, LeaderWork::PollReplies);
    const auto report = load.take(start + Milliseconds(1));
    EXPECT_EQ(report.timesOf(LeaderWork::PollReplies), 3);
    EXPECT_EQ(report.timesOf(LeaderWork::Scheduling), 0);
}

TEST(LeaderLoad, MeasuresTheProcessorTimeOfTheLoopAndOfTheProcess)
{
    LeaderLoad load;
    load.take(start);
    // Computes until the clock of the thread shows that it has used processor time.
    auto loopTime = std::chrono::microseconds(0);
    auto processTime = std::chrono::microseconds(0);
    while (loopTime < Milliseconds(2)) {
        const auto report = load.take(start);
        loopTime += report.loopTime;
        processTime += report.processTime;
    }
    EXPECT_GT(processTime, std::chrono::microseconds(0));
}

} // namespace
