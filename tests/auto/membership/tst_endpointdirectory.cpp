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
    Announcement made;
    made.id = id;
    made.service = "dispatch";
    made.address = "127.0.0.1:9";
    made.host = "host-" + id;
    made.rack = "rack-1";
    made.zone = "z1";
    made.slots = 8;
    made.incarnation = 1;
    made.sequence = sequence;
    return made;
}

// Two processes' directories with the delta between them.
struct Pair
{
    auto push() -> bool
    {
        auto delta = owner.changesSince(acknowledged);
        delta.process = "owner";
        delta.incarnation = 1;
        const auto taken = peer.applyPeer(delta);
        acknowledged = taken ? delta.version : 0;
        return taken;
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
        bool taken;
    };
    const std::vector<Case> cases{{1, 4, false}, {1, 5, false}, {1, 6, true}, {2, 1, true}};
    for (const auto &testCase : cases) {
        Utils::ManualClock clock;
        EndpointDirectory directory(clock, lease);
        ASSERT_TRUE(directory.announce(announcement("a", 5)));
        auto next = announcement("a", testCase.sequence);
        next.incarnation = testCase.incarnation;
        EXPECT_EQ(directory.announce(next), testCase.taken);
    }
}

TEST(EndpointDirectory, GivesNoWorkToDrainingLeavingAndExpired)
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
    // Without renewals at the owner, updates do not extend the lease.
    ASSERT_TRUE(pair.push());
    pair.clock.advance(Milliseconds(1));
    EXPECT_TRUE(pair.peer.available("dispatch").empty());
}

TEST(EndpointDirectory, SetVersionAloneRenewsUnchangedRecords)
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
    // A peer that missed updates for longer than a lease gets its records back.
    pair.clock.advance(2 * lease);
    EXPECT_TRUE(pair.peer.available("dispatch").empty());
    pair.owner.announce(announcement("a", 10));
    ASSERT_TRUE(pair.push());
    EXPECT_EQ(pair.peer.available("dispatch").size(), 1U);
}

TEST(EndpointDirectory, PeerAsksForTheWholeSetAfterAGap)
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

TEST(EndpointDirectory, LeavingReachesThePeerWithTheNextUpdate)
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

TEST(EndpointDirectory, EndpointMovesToTheProcessThatItAnnouncesTo)
{
    Pair pair;
    pair.owner.announce(announcement("a", 1));
    ASSERT_TRUE(pair.push());
    pair.peer.announce(announcement("a", 2));
    // The former owner's renewals do not touch the new owner's record.
    pair.clock.advance(Milliseconds(2000));
    ASSERT_TRUE(pair.push());
    EXPECT_EQ(pair.peer.onHost("host-a").front().owner, "");
    pair.clock.advance(Milliseconds(1000));
    pair.owner.sweep();
    ASSERT_TRUE(pair.push());
    pair.peer.announce(announcement("a", 3));
    EXPECT_EQ(pair.peer.available("dispatch").size(), 1U);
    auto taken = pair.peer.changesSince(0);
    taken.process = "peer";
    taken.incarnation = 1;
    ASSERT_TRUE(pair.owner.applyPeer(taken));
    EXPECT_EQ(pair.owner.onHost("host-a").front().owner, "peer");
}

TEST(EndpointDirectory, SumsPeersInFlightUntilTheyFallSilent)
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
    directory.sweep();
    EXPECT_EQ(directory.serving("dispatch")->front()->peersInFlight, 0);
}
