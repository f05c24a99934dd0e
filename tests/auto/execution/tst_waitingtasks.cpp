// What is told of long-running tasks that are not at work.
#include "ledgerfixture.h"

#include <gtest/gtest.h>

using namespace ExecutionTest;
using Execution::WaitReason;

namespace {

constexpr auto lastingJob = "lasting";

/*! \brief One endpoint and a job of one or more long-running tasks. */
class WaitFixture
{
public:
    explicit WaitFixture(const Jobs::StepSpec &step)
    {
        ledger.addEndpoint("a");
        ledger.addJob(lastingJob, step);
        ledger.begin();
    }
    auto waits() -> std::vector<Execution::WaitingTask>
    {
        return ledger.ledger.waitingLongRunningTasks(ledger.now());
    }
    /*! \brief Returns what the only task that is not at work waits for. */
    auto onlyWait() -> Execution::WaitingTask
    {
        const auto waiting = waits();
        EXPECT_EQ(waiting.size(), 1U);
        return waiting.empty() ? Execution::WaitingTask() : waiting.front();
    }

    LedgerFixture ledger;
};

TEST(WaitingTasks, WaitForAnEndpointIsExplained)
{
    WaitFixture fixture(lastingStep(1, {5000, 100, 0}));
    EXPECT_EQ(fixture.onlyWait().reason, WaitReason::NoOpenEndpoint);
    fixture.ledger.poll("a");
    const auto waiting = fixture.onlyWait();
    EXPECT_EQ(waiting.reason, WaitReason::NoRoom);
    EXPECT_EQ(waiting.openEndpoints, 1);
    EXPECT_EQ(waiting.mostFree, LedgerFixture::capacity);
    EXPECT_EQ(waiting.demand.cpuMillicores, 5000);
    fixture.ledger.ledger.setClosed("a", true);
    EXPECT_EQ(fixture.onlyWait().reason, WaitReason::NoOpenEndpoint);
}

TEST(WaitingTasks, WaitForALimitIsExplained)
{
    auto step = lastingStep(2, {1000, 100, 0});
    step.maximumPerHost = 1;
    WaitFixture fixture(step);
    fixture.ledger.poll("a");
    fixture.ledger.confirm(fixture.ledger.schedule().starts.at(0));
    EXPECT_EQ(fixture.onlyWait().reason, WaitReason::HostLimit);
    step.count = 1;
    step.requiredLabel = "other";
    WaitFixture labelled(step);
    labelled.ledger.poll("a");
    EXPECT_EQ(labelled.onlyWait().reason, WaitReason::Label);
}

TEST(WaitingTasks, WaitForARunIsExplained)
{
    WaitFixture fixture(lastingStep(1, {1000, 100, 0}));
    fixture.ledger.poll("a");
    EXPECT_EQ(fixture.onlyWait().reason, WaitReason::NextPass);
    const auto order = fixture.ledger.schedule().starts.at(0);
    EXPECT_EQ(fixture.onlyWait().reason, WaitReason::Starting);
    EXPECT_EQ(fixture.onlyWait().endpoint, "a");
    fixture.ledger.ledger.startAnswered(order, {}, fixture.ledger.now());
    EXPECT_EQ(fixture.onlyWait().reason, WaitReason::StartUnanswered);
    fixture.ledger.confirm(order);
    EXPECT_TRUE(fixture.ledger.ledger.waitingLongRunningTasks(fixture.ledger.now()).empty());
}

// Guards against a wait that nothing shows: a run that was once confirmed counted as at work.
TEST(WaitingTasks, WaitForARunThatIsNotListedIsExplained)
{
    WaitFixture fixture(lastingStep(1, {1000, 100, 0}));
    fixture.ledger.poll("a");
    const auto order = fixture.ledger.schedule().starts.at(0);
    fixture.ledger.confirm(order);
    fixture.ledger.addEndpoint("b");
    fixture.ledger.poll("b");
    fixture.ledger.ledger.evacuate("a");
    ASSERT_EQ(fixture.ledger.schedule().stops.size(), 1U);
    EXPECT_TRUE(fixture.waits().empty());
    fixture.ledger.advance(Utils::Milliseconds(1));
    fixture.ledger.poll("a");
    EXPECT_EQ(fixture.onlyWait().reason, WaitReason::NotListed);
    EXPECT_EQ(fixture.onlyWait().endpoint, "a");
    fixture.ledger.pollTruncated("a");
    EXPECT_EQ(fixture.onlyWait().reason, WaitReason::NotListed);
    fixture.ledger.poll("a", {{order.task, order.run, "", 100, 0}});
    EXPECT_TRUE(fixture.waits().empty());
}

// Guards against a wait that nothing shows: the users may miss the task of an endpoint that is gone.
TEST(WaitingTasks, WaitForAnEndpointThatDoesNotAnswerIsExplained)
{
    WaitFixture fixture(lastingStep(1, {1000, 100, 0}));
    fixture.ledger.poll("a");
    const auto order = fixture.ledger.schedule().starts.at(0);
    fixture.ledger.confirm(order);
    fixture.ledger.failPoll("a");
    EXPECT_EQ(fixture.onlyWait().reason, WaitReason::EndpointSilent);
    EXPECT_EQ(fixture.onlyWait().endpoint, "a");
    fixture.ledger.poll("a", {{order.task, order.run, "", 100, 0}});
    EXPECT_TRUE(fixture.waits().empty());
}

TEST(WaitingTasks, WaitForAnEarlierLeadersStartIsExplained)
{
    LedgerFixture fixture;
    fixture.addEndpoint("a");
    fixture.addJob(lastingJob, lastingStep(1, {1000, 100, 0}));
    fixture.recordStart("a", fixture.task(lastingJob));
    fixture.begin();
    const auto waiting = fixture.ledger.waitingLongRunningTasks(fixture.now());
    ASSERT_EQ(waiting.size(), 1U);
    EXPECT_EQ(waiting.front().reason, WaitReason::EarlierRun);
    EXPECT_EQ(waiting.front().endpoint, "a");
}

// The line that tells how long the task is held said 2.5 s where the order carried a lease of 5 s.
TEST(WaitingTasks, StartWithoutAnswerOnANewEndpointIsShownAsHeldForItsLease)
{
    LedgerFixture fixture;
    fixture.addEndpoint("a");
    fixture.addJob("job", longRunningStep(1, 1));
    fixture.begin();
    fixture.poll("a");
    const auto order = fixture.schedule().starts.at(0);
    fixture.ledger.startAnswered(order, {}, fixture.now());
    const auto waiting = fixture.ledger.waitingLongRunningTasks(fixture.now());
    ASSERT_EQ(waiting.size(), 1U);
    ASSERT_TRUE(waiting.front().heldUntil);
    const auto leaseLeft = Utils::Milliseconds(order.leaseEndMs - fixture.clockMs());
    EXPECT_GE(*waiting.front().heldUntil - fixture.now(), leaseLeft);
}

} // namespace
