#include "cluster.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace Replication::Test {
namespace {

TEST(ReplicaLog, OneVoterCommitsAndRestarts)
{
    Cluster cluster(1);
    cluster.start();
    cluster.waitForLeader();
    const auto reply = cluster.log("v1").submit("a", Utils::Milliseconds(5000));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply.value().reply, "applied a");
    cluster.stopNode("v1");
    ASSERT_TRUE(cluster.startNode("v1"));
    cluster.waitForLeader();
    EXPECT_EQ(cluster.machine("v1").payloads(), std::vector<std::string>{"a"});
}

TEST(ReplicaLog, EveryProcessSubmitsAndReadsItsOwnWrite)
{
    Cluster cluster(3, 2);
    cluster.start();
    cluster.waitForLeader();
    for (const std::string id : {"v1", "v2", "v3", "o1", "o2"}) {
        const auto revision = cluster.submit(id, "from " + id);
        EXPECT_GE(cluster.machine(id).revision(), revision);
        const auto payloads = cluster.machine(id).payloads();
        EXPECT_TRUE(std::ranges::find(payloads, "from " + id) != payloads.end());
    }
    EXPECT_TRUE(eventually(
        [&] { return cluster.machine("o1").payloads() == cluster.machine("v1").payloads(); }));
}

TEST(ReplicaLog, AnotherVoterLeadsAfterTheLeaderStops)
{
    Cluster cluster(3, 1);
    cluster.start();
    const auto first = cluster.waitForLeader();
    cluster.submit("o1", "before");
    cluster.stopNode(first);
    const auto second = cluster.waitForLeader();
    EXPECT_NE(first, second);
    cluster.submit("o1", "after");
    ASSERT_TRUE(cluster.startNode(first));
    EXPECT_TRUE(eventually([&] {
        return cluster.machine(first).payloads() == std::vector<std::string>{"before", "after"};
    }));
}

} // namespace
} // namespace Replication::Test
