// Long-running tasks that move away because their host is to be maintained or to move to another pool.
#include "evacuationfixture.h"

#include <gtest/gtest.h>

using namespace ExecutionTest;
using Execution::ClosedFor;

namespace {

/*! \brief Two endpoints, each of which runs one task of a step that leaves too little room for another. */
class TwoFullEndpoints : public EvacuationFixture
{
public:
    TwoFullEndpoints()
    {
        addEndpoint("a");
        addEndpoint("b");
        ledger.addJob("job", lastingStep(2, {3000, 100, 0}));
        run("a", ledger.task("job", 0));
        run("b", ledger.task("job", 1));
        begin();
    }
};

// Guards against LOST: the leader stops a task for which no other endpoint has room.
TEST(Evacuation, TaskWithoutAnotherPlaceIsNotStopped)
{
    TwoFullEndpoints fixture;
    fixture.evacuate("a");
    EXPECT_TRUE(fixture.stops().empty());
    fixture.addEndpoint("c");
    fixture.pollAll();
    EXPECT_EQ(fixture.stops().size(), 1U);
}

// Guards against LOST: the endpoints that have room run as many tasks of the step as one may.
TEST(Evacuation, TaskThatNoOtherEndpointMayRunIsNotStopped)
{
    EvacuationFixture fixture;
    fixture.addEndpoint("a");
    fixture.addEndpoint("b");
    auto step = lastingStep(2, {1000, 100, 0});
    step.maximumPerHost = 1;
    fixture.ledger.addJob("job", step);
    fixture.run("a", fixture.ledger.task("job", 0));
    fixture.run("b", fixture.ledger.task("job", 1));
    fixture.begin();
    fixture.evacuate("a");
    EXPECT_TRUE(fixture.stops().empty());
}

// Guards against LOST: each of two tasks finds the same room.
TEST(Evacuation, RoomForOneTaskLetsOnlyOneBeStopped)
{
    EvacuationFixture fixture;
    fixture.addEndpoint("a");
    fixture.addEndpoint("b");
    for (const auto *job : {"first", "second", "third"})
        fixture.ledger.addJob(job, lastingStep(1, {2000, 100, 0}));
    fixture.run("a", fixture.ledger.task("first"));
    fixture.run("a", fixture.ledger.task("second"));
    fixture.run("b", fixture.ledger.task("third"));
    fixture.begin();
    fixture.evacuate("a");
    EXPECT_EQ(fixture.stops().size(), 1U);
    EXPECT_TRUE(fixture.stops().empty());
}

// Guards against LOST: short tasks take the room for a task between its stop and its next start.
TEST(Evacuation, ShortTasksDoNotTakeTheRoomOfATaskThatIsBeingStopped)
{
    EvacuationFixture fixture;
    fixture.addEndpoint("a");
    fixture.addEndpoint("b");
    fixture.ledger.addJob("job", lastingStep(1, {3000, 100, 0}));
    fixture.run("a", fixture.ledger.task("job"));
    fixture.begin();
    fixture.evacuate("a");
    ASSERT_EQ(fixture.stops().size(), 1U);
    fixture.ledger.addJob("short", plainStep(4));
    EXPECT_EQ(fixture.ledger.schedule().starts.size(), 1U);
}

TEST(Evacuation, RoomThatShortTasksLeaveGoesToATaskThatIsToMove)
{
    EvacuationFixture fixture;
    fixture.addEndpoint("a");
    fixture.addEndpoint("b");
    fixture.ledger.addJob("job", lastingStep(1, {3000, 100, 0}));
    fixture.ledger.addJob("short", plainStep(4));
    fixture.run("a", fixture.ledger.task("job"));
    for (std::int64_t task = 0; task < 4; ++task)
        fixture.run("b", fixture.ledger.task("short", task));
    fixture.begin();
    fixture.ledger.addJob("backlog", plainStep(20));
    fixture.evacuate("a");
    for (auto end = 0; end < 3; ++end) {
        const auto orders = fixture.ledger.schedule();
        EXPECT_TRUE(orders.starts.empty());
        EXPECT_TRUE(orders.stops.empty());
        fixture.endNewest("b");
    }
    const auto orders = fixture.ledger.schedule();
    EXPECT_TRUE(orders.starts.empty());
    EXPECT_EQ(orders.stops.size(), 1U);
}

TEST(Evacuation, TaskWithoutAnotherPlaceAsksForAHost)
{
    TwoFullEndpoints fixture;
    EXPECT_EQ(fixture.unplacedHosts(), 0);
    fixture.evacuate("a");
    EXPECT_EQ(fixture.unplacedHosts(), 1);
}

TEST(Evacuation, TaskStaysOnceItsEndpointIsOpenedAgain)
{
    TwoFullEndpoints fixture;
    fixture.evacuate("a");
    EXPECT_TRUE(fixture.stops().empty());
    fixture.ledger.ledger.setClosed("a", false, ClosedFor::Maintenance);
    fixture.addEndpoint("c");
    fixture.pollAll();
    EXPECT_TRUE(fixture.stops().empty());
}

// Guards against LOST: a host is asked for once the lease of a silent endpoint is over, and then takes as long to move.
TEST(Evacuation, HostForATaskOfASilentEndpointIsAskedForBeforeItsLeaseIsOver)
{
    TwoFullEndpoints fixture;
    fixture.ledger.failPoll("a");
    fixture.ledger.advance(Utils::Milliseconds(2900));
    fixture.ledger.poll("b", {{fixture.ledger.task("job", 1), 2, "", 100, 0}});
    EXPECT_EQ(fixture.unplacedHosts(), 1);
}

/*!
    \brief A pool whose few long-running tasks lie on all of its hosts, and another one with one host that is too
    small for its long-running tasks.
*/
class SpreadTasks : public EvacuationFixture
{
public:
    static constexpr std::int64_t spreadHosts = 6;

    SpreadTasks()
    {
        ledger.state.configuration.pools.push_back({otherPool, true, false});
        ledger.addJob("spread", lastingStep(spreadHosts, {1000, 100, 0}), otherPool);
        for (std::int64_t host = 0; host < spreadHosts; ++host) {
            const auto id = "spread-" + std::to_string(host);
            addEndpoint(id, otherPool);
            run(id, ledger.task("spread", host));
        }
        addEndpoint("full");
        ledger.addJob("job", lastingStep(2, {3000, 100, 0}));
        run("full", ledger.task("job", 0));
        begin();
    }
};

// Guards against LOST: a pool releases no host as long as each one runs a long-running task.
TEST(Evacuation, PoolReleasesAHostWhoseTasksHaveAnotherPlaceToAPoolWithoutRoom)
{
    SpreadTasks fixture;
    const auto moves = fixture.planMoves();
    ASSERT_EQ(moves.close.size(), 1U);
    const auto stops = fixture.stops();
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops.front().target.incarnation.id, moves.close.front());
    EXPECT_EQ(stops.front().task.job, "spread");
}

// Guards against LOST: a host that is maintained counts as released, and no other one is.
TEST(Evacuation, HostThatIsMaintainedDoesNotStandInForOneThatIsReleased)
{
    SpreadTasks fixture;
    fixture.addHostInMaintenance(EvacuationFixture::otherPool);
    EXPECT_EQ(fixture.planMoves().close.size(), 1U);
}

// Guards against LOST: an endpoint is closed and opened in turn, and never empty.
TEST(Evacuation, EndpointThatIsBeingEvacuatedStaysClosed)
{
    SpreadTasks fixture;
    ASSERT_EQ(fixture.planMoves().close.size(), 1U);
    fixture.ledger.schedule();
    const auto again = fixture.planMoves();
    EXPECT_TRUE(again.open.empty());
    EXPECT_TRUE(again.close.empty());
    EXPECT_EQ(again.evacuate.size(), 1U);
}

TEST(Evacuation, PoolKeepsTheHostsThatItsOwnLongRunningTasksNeed)
{
    SpreadTasks fixture;
    auto step = lastingStep(SpreadTasks::spreadHosts, {100, 100, 0});
    step.maximumPerHost = 1;
    fixture.ledger.addJob("apart", step, EvacuationFixture::otherPool);
    fixture.ledger.schedule();
    EXPECT_TRUE(fixture.planMoves().close.empty());
}

TEST(Evacuation, ReleasedHostIsOpenedAgainOnceThePoolHasRoom)
{
    SpreadTasks fixture;
    const auto closed = fixture.planMoves().close;
    ASSERT_EQ(closed.size(), 1U);
    fixture.addEndpoint("added");
    fixture.pollAll();
    fixture.ledger.schedule();
    EXPECT_EQ(fixture.planMoves().open, closed);
}

} // namespace
