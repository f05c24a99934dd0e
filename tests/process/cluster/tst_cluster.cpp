#include "callers.h"

#include <gtest/gtest.h>

#include <csignal>

namespace {

constexpr auto callerThreads = 6;
constexpr auto answersBetweenFaults = 40;

class ClusterTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        ASSERT_TRUE(waitUntil([this] { return cluster.leader() >= 0; })) << "no leader";
        ASSERT_TRUE(waitUntil([this] { return putContract(0); })) << "no contract";
        for (auto zone = 0; zone < Cluster::zones; ++zone)
            endpoints.push_back(std::make_unique<ZoneEndpoint>(cluster, zone, record));
        for (auto index = 0; index < cluster.size(); ++index) {
            ASSERT_TRUE(waitUntil([&] { return servesIdempotent(index); }))
                << cluster.process(index).id << " does not answer";
        }
    }

    // Puts the next contract. Each acknowledged revision must be higher than the one before.
    auto putContract(int process) -> bool
    {
        const auto revision = cluster.putContract(process, 64 + ++m_puts);
        if (revision > 0) {
            EXPECT_GT(revision, m_acknowledged);
            m_acknowledged = revision;
        }
        return revision > 0;
    }
    auto servesIdempotent(int process) -> bool
    {
        const auto body = "read-" + std::to_string(++m_reads);
        const auto sent = sendIdempotent(cluster.process(process).callers, body);
        return sent.outcome == "ran" && sent.body == "ran " + body;
    }
    auto waitForAnswers(Callers &callers) -> bool
    {
        const auto target = callers.answered() + answersBetweenFaults;
        return waitUntil([&] { return callers.answered() >= target; });
    }
    // Waits until every process has at least the last acknowledged contract.
    auto expectContractEverywhere() -> void
    {
        for (auto index = 0; index < cluster.size(); ++index) {
            EXPECT_TRUE(waitUntil([&] {
                return cluster.contractRevision(index) >= m_acknowledged;
            })) << cluster.process(index).id
                << " lacks an acknowledged contract";
        }
    }
    // Checks that the revision at each process has not decreased since the last call.
    auto checkRevisions() -> void
    {
        for (auto index = 0; index < cluster.size(); ++index) {
            const auto revision = cluster.contractRevision(index);
            if (revision < 0)
                continue;
            EXPECT_GE(revision, m_revisions[index]) << cluster.process(index).id;
            m_revisions[index] = revision;
        }
    }
    auto check(const std::vector<Send> &sends) -> void
    {
        auto answers = 0;
        for (const auto &sent : sends) {
            EXPECT_LE(record.runsOf(sent.key), 1) << sent.key << " ran twice";
            if (sent.outcome == "ran") {
                ++answers;
                EXPECT_EQ(sent.body, "ran " + sent.key);
                EXPECT_EQ(record.runsOf(sent.key), 1);
            }
            if (sent.outcome == "not-run") {
                EXPECT_FALSE(record.reached(sent.requestId))
                    << sent.key << " got the outcome not-run, but reached an endpoint";
            }
        }
        EXPECT_GE(answers, answersBetweenFaults);
    }
    auto killAndRestart(int process) -> void
    {
        cluster.stop(process, SIGKILL);
        cluster.start(process);
    }

    Cluster cluster{testing::UnitTest::GetInstance()->current_test_info()->name()};
    RunRecord record;
    std::vector<std::unique_ptr<ZoneEndpoint>> endpoints;

private:
    std::int64_t m_acknowledged = 0;
    int m_puts = 0;
    std::atomic<int> m_reads = 0;
    std::map<int, std::int64_t> m_revisions;
};

} // namespace

TEST_F(ClusterTest, KilledLeaderAndReplicaLoseNothingAcknowledged)
{
    Callers callers(cluster, callerThreads);
    EXPECT_TRUE(waitForAnswers(callers));
    const auto leader = cluster.leader();
    ASSERT_GE(leader, 0);
    cluster.stop(leader, SIGKILL);
    const auto other = (leader + Cluster::processesPerZone) % cluster.size();
    EXPECT_TRUE(waitUntil([&] { return putContract(other); }));
    EXPECT_TRUE(waitForAnswers(callers));
    checkRevisions();
    cluster.start(leader);
    expectContractEverywhere();
    const auto newLeader = cluster.leader();
    for (auto voter = 0; voter < cluster.size(); voter += Cluster::processesPerZone) {
        if (voter != newLeader && voter != leader)
            killAndRestart(voter);
    }
    EXPECT_TRUE(waitUntil([&] { return putContract(1); }));
    EXPECT_TRUE(waitForAnswers(callers));
    expectContractEverywhere();
    checkRevisions();
    check(callers.finish());
}

TEST_F(ClusterTest, AResumedLeaderNeitherCommitsNorRevertsRevisions)
{
    Callers callers(cluster, callerThreads);
    EXPECT_TRUE(waitForAnswers(callers));
    const auto paused = cluster.leader();
    ASSERT_GE(paused, 0);
    ASSERT_EQ(::kill(cluster.process(paused).pid, SIGSTOP), 0);
    const auto other = (paused + Cluster::processesPerZone) % cluster.size();
    EXPECT_TRUE(waitUntil([&] { return putContract(other); }));
    ASSERT_EQ(::kill(cluster.process(paused).pid, SIGCONT), 0);
    expectContractEverywhere();
    EXPECT_TRUE(waitForAnswers(callers));
    checkRevisions();
    check(callers.finish());
}

TEST_F(ClusterTest, ACutZoneAnswersIdempotentRequestsAndRunsNoClaims)
{
    Callers callers(cluster, callerThreads);
    const auto zone = cluster.process(cluster.leader()).zone;
    const auto inside = zone * Cluster::processesPerZone + 1;
    const auto outside = (inside + Cluster::processesPerZone) % cluster.size();
    EXPECT_TRUE(waitForAnswers(callers));
    cluster.cutFrom(zone);
    cluster.cutTo(zone);
    EXPECT_TRUE(waitUntil([&] { return putContract(outside); }));
    for (auto count = 0; count < 20; ++count)
        EXPECT_TRUE(servesIdempotent(inside))
            << "a zone that is cut off must serve idempotent requests";
    const auto claimed = sendClaimed(cluster.process(inside).callers, "claimed-in-cut-zone");
    EXPECT_EQ(claimed.outcome, "not-run");
    EXPECT_EQ(record.runsOf("claimed-in-cut-zone"), 0);
    checkRevisions();
    cluster.heal();
    expectContractEverywhere();
    // A request with the outcome not-run must be able to run when it is sent again.
    EXPECT_TRUE(waitUntil([&] {
        const auto &process = cluster.process(outside);
        return sendClaimed(process.callers, "claimed-in-cut-zone").outcome == "ran";
    }));
    EXPECT_EQ(record.runsOf("claimed-in-cut-zone"), 1);
    cluster.cutFrom(cluster.process(cluster.leader()).zone);
    EXPECT_TRUE(waitUntil(
        [&] { return putContract(outside) || putContract((outside + 3) % cluster.size()); }));
    cluster.heal();
    EXPECT_TRUE(waitForAnswers(callers));
    expectContractEverywhere();
    checkRevisions();
    check(callers.finish());
}

TEST_F(ClusterTest, ARollingRestartOfAllProcessesIsGraceful)
{
    Callers callers(cluster, callerThreads);
    EXPECT_TRUE(waitForAnswers(callers));
    for (auto index = 0; index < cluster.size(); ++index) {
        EXPECT_EQ(cluster.stop(index, SIGTERM), 0) << cluster.process(index).id;
        cluster.start(index);
        EXPECT_TRUE(waitUntil([&] { return servesIdempotent(index); }));
        EXPECT_TRUE(waitUntil([&] { return putContract(index); }));
        checkRevisions();
    }
    EXPECT_TRUE(waitForAnswers(callers));
    expectContractEverywhere();
    check(callers.finish());
}

TEST_F(ClusterTest, EntryProcessesRestartedInACutZoneNeverRevertRevisions)
{
    Callers callers(cluster, callerThreads);
    EXPECT_TRUE(waitForAnswers(callers));
    constexpr auto zone = 2;
    constexpr auto first = zone * Cluster::processesPerZone;
    checkRevisions();
    cluster.cutFrom(zone);
    cluster.cutTo(zone);
    EXPECT_TRUE(waitUntil([&] { return putContract(0); }));
    killAndRestart(first + 1);
    killAndRestart(first + 2);
    EXPECT_TRUE(waitUntil([&] { return servesIdempotent(first + 1); }))
        << "a restarted process must take the contract from its zone";
    checkRevisions();
    cluster.heal();
    expectContractEverywhere();
    EXPECT_TRUE(waitForAnswers(callers));
    checkRevisions();
    check(callers.finish());
}
