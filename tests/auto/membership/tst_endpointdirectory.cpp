#include "membership/endpointdirectory.h"

#include <gtest/gtest.h>

namespace {

using Membership::Announcement;
using Membership::EndpointDirectory;
using Membership::EndpointState;
using Utils::Milliseconds;

constexpr Milliseconds lease{3000};

auto announcement(const std::string &id, std::int64_t sequence) -> Announcement
{
    Announcement result;
    result.id = id;
    result.service = "dispatch";
    result.address = "127.0.0.1:9";
    result.host = "host-" + id;
    result.rack = "rack-1";
    result.zone = "z1";
    result.slots = 8;
    result.incarnation = 1;
    result.sequence = sequence;
    return result;
}

// The directories of two processes; push() sends the changes of the owner to the peer.
struct Pair
{
    auto push() -> bool
    {
        auto delta = owner.changesSince(acknowledged);
        delta.process = "owner";
        delta.incarnation = 1;
        const auto applied = peer.applyPeer(delta);
        acknowledged = applied ? delta.version : 0;
        return applied;
    }

    Utils::ManualClock clock;
    EndpointDirectory owner{clock, lease};
    EndpointDirectory peer{clock, lease};
    std::int64_t acknowledged = 0;
};

} // namespace

TEST(EndpointDirectory, IgnoresOlderAnnouncements)
{
    struct Case
    {
        std::int64_t incarnation;
        std::int64_t sequence;
        bool accepted;
    };
    const std::vector<Case> cases{{1, 4, false}, {1, 5, false}, {1, 6, true}, {2, 1, true}};
    for (const auto &testCase : cases) {
        Utils::ManualClock clock;
        EndpointDirectory directory(clock, lease);
        ASSERT_TRUE(directory.announce(announcement("a", 5)));
        auto next = announcement("a", testCase.sequence);
        next.incarnation = testCase.incarnation;
        EXPECT_EQ(directory.announce(next), testCase.accepted);
    }
}

TEST(EndpointDirectory, ExcludesDrainingLeavingAndExpiredEndpoints)
{
    for (const auto state : {EndpointState::Draining, EndpointState::Leaving}) {
        Utils::ManualClock clock;
        EndpointDirectory directory(clock, lease);
        directory.announce(announcement("a", 1));
        ASSERT_EQ(directory.serving("dispatch")->size(), 1U);
        auto next = announcement("a", 2);
        next.state = state;
        directory.announce(next);
        EXPECT_TRUE(directory.serving("dispatch")->empty());
        EXPECT_TRUE(directory.available("dispatch").empty());
    }
    Utils::ManualClock clock;
    EndpointDirectory directory(clock, lease);
    directory.announce(announcement("a", 1));
    clock.advance(lease);
    EXPECT_TRUE(directory.available("dispatch").empty());
    EXPECT_FALSE(directory.serving("dispatch")->front()->hasLease(clock.now()));
    EXPECT_EQ(directory.onHost("host-a").size(), 1U);
}

TEST(EndpointDirectory, PeerLeaseFollowsOnlyTheOwner)
{
    Pair pair;
    pair.owner.announce(announcement("a", 1));
    pair.clock.advance(Milliseconds(1000));
    ASSERT_TRUE(pair.push());
    pair.clock.advance(Milliseconds(1999));
    EXPECT_EQ(pair.peer.available("dispatch").size(), 1U);
    // Updates do not extend the lease if the endpoint does not renew it at the owner.
    ASSERT_TRUE(pair.push());
    pair.clock.advance(Milliseconds(1));
    EXPECT_TRUE(pair.peer.available("dispatch").empty());
}

TEST(EndpointDirectory, UpdatesWithoutRecordsRenewUnchangedRecords)
{
    Pair pair;
    pair.owner.announce(announcement("a", 1));
    ASSERT_TRUE(pair.push());
    for (auto sequence = 2; sequence < 10; ++sequence) {
        pair.clock.advance(Milliseconds(1000));
        pair.owner.announce(announcement("a", sequence));
        EXPECT_TRUE(pair.owner.changesSince(pair.acknowledged).changed.empty());
        ASSERT_TRUE(pair.push());
        EXPECT_EQ(pair.peer.available("dispatch").size(), 1U);
    }
    // The records become available again after a gap in the updates of more than a lease.
    pair.clock.advance(2 * lease);
    EXPECT_TRUE(pair.peer.available("dispatch").empty());
    pair.owner.announce(announcement("a", 10));
    ASSERT_TRUE(pair.push());
    EXPECT_EQ(pair.peer.available("dispatch").size(), 1U);
}

TEST(EndpointDirectory, PeerRequestsTheWholeSetAfterAGap)
{
    Pair pair;
    pair.owner.announce(announcement("a", 1));
    ASSERT_TRUE(pair.push());
    pair.acknowledged += 1;
    pair.owner.announce(announcement("b", 1));
    pair.owner.announce(announcement("c", 1));
    EXPECT_FALSE(pair.push());
    EXPECT_TRUE(pair.push());
    EXPECT_EQ(pair.peer.available("dispatch").size(), 3U);
}

TEST(EndpointDirectory, LeavingIsSentToThePeerWithTheNextUpdate)
{
    Pair pair;
    pair.owner.announce(announcement("a", 1));
    ASSERT_TRUE(pair.push());
    auto leaving = announcement("a", 2);
    leaving.state = EndpointState::Leaving;
    pair.owner.announce(leaving);
    ASSERT_TRUE(pair.push());
    EXPECT_TRUE(pair.peer.available("dispatch").empty());
}

TEST(EndpointDirectory, EndpointIsOwnedByTheProcessThatItAnnouncesTo)
{
    Pair pair;
    pair.owner.announce(announcement("a", 1));
    ASSERT_TRUE(pair.push());
    pair.peer.announce(announcement("a", 2));
    // Updates of the previous owner do not change the record of the new owner.
    pair.clock.advance(Milliseconds(2000));
    ASSERT_TRUE(pair.push());
    EXPECT_EQ(pair.peer.onHost("host-a").front().owner, "");
    pair.clock.advance(Milliseconds(1000));
    pair.owner.removeExpired();
    ASSERT_TRUE(pair.push());
    pair.peer.announce(announcement("a", 3));
    EXPECT_EQ(pair.peer.available("dispatch").size(), 1U);
    auto delta = pair.peer.changesSince(0);
    delta.process = "peer";
    delta.incarnation = 1;
    ASSERT_TRUE(pair.owner.applyPeer(delta));
    EXPECT_EQ(pair.owner.onHost("host-a").front().owner, "peer");
}

TEST(EndpointDirectory, SumsInFlightOfPeersThatReportedWithinALease)
{
    Utils::ManualClock clock;
    EndpointDirectory directory(clock, lease);
    directory.announce(announcement("a", 1));
    directory.setPeerInFlight("p1", {{"a", 3}});
    directory.setPeerInFlight("p2", {{"a", 2}});
    EXPECT_EQ(directory.serving("dispatch")->front()->peersInFlight, 5);
    directory.setPeerInFlight("p1", {});
    EXPECT_EQ(directory.serving("dispatch")->front()->peersInFlight, 2);
    clock.advance(lease);
    directory.removeExpired();
    EXPECT_EQ(directory.serving("dispatch")->front()->peersInFlight, 0);
}
