#include "scheduling/poolsizing.h"

#include <gtest/gtest.h>

#include <array>

namespace {

using Scheduling::PoolLoad;

auto pool(std::string name, std::int64_t hosts, std::int64_t idle) -> PoolLoad
{
    PoolLoad load;
    load.name = std::move(name);
    load.hosts = hosts;
    load.idleHosts = idle;
    load.hostMillicores = 16000;
    return load;
}

auto spare(std::int64_t hosts) -> PoolLoad
{
    auto load = pool("spare", hosts, hosts);
    load.spare = true;
    return load;
}

TEST(PoolSizing, CountsBatchWorkAndLongRunningTasks)
{
    auto load = pool("a", 8, 0);
    EXPECT_EQ(Scheduling::wantedHosts(load), 2);
    load.batchMillicores = 128'000;
    EXPECT_EQ(Scheduling::wantedHosts(load), 10);
    load.longRunningMillicores = 12'800;
    EXPECT_EQ(Scheduling::wantedHosts(load), 11);
    load.minimumHosts = 20;
    EXPECT_EQ(Scheduling::wantedHosts(load), 20);
}

TEST(PoolSizing, TakesTurnedOffHostsBeforeIdleHostsOfOtherPools)
{
    auto busy = pool("busy", 8, 0);
    busy.batchMillicores = 128'000.0 * 1.4;
    const std::array pools{busy, pool("quiet", 8, 6), spare(3)};
    const auto transfers = Scheduling::planTransfers(pools).transfers;
    ASSERT_EQ(transfers.size(), 2U);
    EXPECT_EQ(transfers[0].from, "spare");
    EXPECT_EQ(transfers[0].count, 3);
    EXPECT_EQ(transfers[1].from, "quiet");
    EXPECT_EQ(transfers[1].count, 3);
}

TEST(PoolSizing, NeverTakesHostsThatRunTasksOrThatAPoolNeeds)
{
    auto busy = pool("busy", 8, 0);
    busy.batchMillicores = 1'000'000;
    auto needed = pool("needed", 4, 4);
    needed.minimumHosts = 4;
    const std::array pools{busy, needed, pool("working", 8, 0), spare(0)};
    EXPECT_TRUE(Scheduling::planTransfers(pools).transfers.empty());
}

TEST(PoolSizing, TurnsOffHostsAfterALongIdleTime)
{
    auto idle = pool("idle", 8, 7);
    EXPECT_TRUE(Scheduling::planTransfers(std::array{idle, spare(0)}).transfers.empty());
    idle.parkableHosts = 7;
    const auto transfers = Scheduling::planTransfers(std::array{idle, spare(0)}).transfers;
    ASSERT_EQ(transfers.size(), 1U);
    EXPECT_EQ(transfers[0].to, "spare");
    // Two hosts stay for the next burst.
    EXPECT_EQ(transfers[0].count, 6);
}

TEST(PoolSizing, KeepsIdleHostsIfThereIsNoSparePool)
{
    auto idle = pool("idle", 8, 8);
    idle.parkableHosts = 8;
    EXPECT_TRUE(Scheduling::planTransfers(std::array{idle}).transfers.empty());
}

// A burst starts in one pool while another pool still holds most hosts for its own work. Without
// releases, the new burst would wait until the other pool is done.
TEST(PoolSizing, PoolsWithMoreThanTheirShareReleaseHosts)
{
    auto hog = pool("hog", 34, 0);
    hog.batchMillicores = 700'000;
    auto burst = pool("burst", 4, 0);
    burst.batchMillicores = 700'000;
    const auto plan = Scheduling::planTransfers(std::array{hog, burst, spare(0)});
    EXPECT_TRUE(plan.transfers.empty());
    ASSERT_EQ(plan.releases.size(), 1U);
    EXPECT_EQ(plan.releases[0].pool, "hog");
    EXPECT_EQ(plan.releases[0].count, 15);
}

// Guards against LOST: the backlog of another pool took the hosts that long-running tasks need.
TEST(PoolSizing, BacklogOfAnotherPoolLeavesLongRunningTasksTheirHosts)
{
    auto lasting = pool("lasting", 4, 0);
    lasting.longRunningMillicores = 128'000;
    auto hog = pool("hog", 20, 0);
    hog.batchMillicores = 1'000'000;
    const auto plan = Scheduling::planTransfers(std::array{hog, lasting, spare(0)});
    ASSERT_EQ(plan.releases.size(), 1U);
    EXPECT_EQ(plan.releases[0].pool, "hog");
    EXPECT_EQ(plan.releases[0].count, 6);
}

// Guards against LOST: a release passes from pool to pool as their demand changes, before any host is empty.
TEST(PoolSizing, ReleaseStaysWithThePoolThatHasBegunIt)
{
    auto lacking = pool("lacking", 3, 0);
    lacking.minimumHosts = 4;
    auto former = pool("former", 6, 0);
    former.fixedHosts = 5;
    auto latter = pool("latter", 6, 0);
    latter.fixedHosts = 5;
    latter.releasingHosts = 1;
    const auto releases = Scheduling::planTransfers(std::array{lacking, former, latter}).releases;
    ASSERT_EQ(releases.size(), 1U);
    EXPECT_EQ(releases[0].pool, "latter");
    EXPECT_EQ(releases[0].count, 1);
}

// Guards against LOST: the short tasks of a pool take a host back that it releases for long-running tasks.
TEST(PoolSizing, ReleaseForLongRunningTasksGoesOnAsShortTasksOfThePoolWantMore)
{
    auto lacking = pool("lacking", 3, 0);
    lacking.minimumHosts = 4;
    auto releasing = pool("releasing", 6, 0);
    releasing.fixedHosts = 5;
    releasing.releasingHosts = 1;
    releasing.batchMillicores = 70'000;
    const auto other = pool("other", 6, 0);
    const auto releases = Scheduling::planTransfers(std::array{lacking, other, releasing}).releases;
    ASSERT_EQ(releases.size(), 1U);
    EXPECT_EQ(releases[0].pool, "releasing");
    EXPECT_EQ(releases[0].count, 1);
}

// Guards against needless stops: hosts on their way to the spare pool count for the shares of all pools, but help none yet.
TEST(PoolSizing, HostsWithoutLongRunningTasksAreReleasedBeforeOthersAreEvacuated)
{
    auto large = pool("large", 253, 0);
    large.fixedHosts = 25;
    large.minimumHosts = 18;
    large.batchMillicores = 342 * 12'800.0;
    auto lacking = pool("lacking", 9, 0);
    lacking.fixedHosts = 5;
    lacking.minimumHosts = 33;
    auto arriving = spare(16);
    arriving.idleHosts = 0;
    const auto plan = Scheduling::planTransfers(std::array{large, lacking, arriving});
    EXPECT_TRUE(plan.transfers.empty());
    ASSERT_EQ(plan.releases.size(), 1U);
    EXPECT_EQ(plan.releases[0].pool, "large");
    EXPECT_EQ(plan.releases[0].count, 24);
    EXPECT_EQ(plan.releases[0].evacuated, 0);
}

TEST(PoolSizing, ReleasesNoHostsIfNoPoolLacksHosts)
{
    auto working = pool("working", 10, 0);
    working.batchMillicores = 20'000;
    EXPECT_TRUE(Scheduling::planTransfers(std::array{working, spare(3)}).releases.empty());
}

// The demand of four pools peaks one after the other, each time above the capacity of the pool. The
// peaks could not be served if hosts did not move.
TEST(PoolSizing, MovesHostsToThePoolWithThePeak)
{
    constexpr std::size_t poolCount = 4;
    constexpr std::int64_t turns = 4;
    constexpr double peakMillicores = 200'000;
    std::vector<PoolLoad> pools;
    for (const auto *name : {"a", "b", "c", "d"})
        pools.push_back(pool(name, 10, 10));
    pools.push_back(spare(8));
    for (std::int64_t turn = 0; turn < turns; ++turn) {
        for (std::size_t index = 0; index < poolCount; ++index) {
            const auto peaks = std::int64_t(index) == turn;
            pools[index].batchMillicores = peaks ? peakMillicores : 3000;
            pools[index].idleHosts = peaks ? 0 : pools[index].hosts;
        }
        for (const auto &transfer : Scheduling::planTransfers(pools).transfers) {
            for (auto &load : pools) {
                load.hosts += load.name == transfer.to ? transfer.count : 0;
                load.hosts -= load.name == transfer.from ? transfer.count : 0;
            }
        }
        pools.back().idleHosts = pools.back().hosts;
        const auto &peaking = pools[std::size_t(turn)];
        EXPECT_GE(double(peaking.hosts * peaking.hostMillicores), peakMillicores);
    }
}

} // namespace
