#include "ledgerfixture.h"

#include <gtest/gtest.h>

using namespace ExecutionTest;
using Execution::WaitReason;

namespace {

constexpr auto lastingJob = "lasting";

/*! \brief Returns a step of long-running tasks that need these resources each. */
auto lastingStep(std::int64_t count, Jobs::Resources demand) -> Jobs::StepSpec
{
    auto step = longRunningStep(count, 1);
    step.demand = demand;
    return step;
}

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
    /*! \brief Returns what the only task that is not at work waits for. */
    auto onlyWait() -> Execution::WaitingTask
    {
        const auto waiting = ledger.ledger.waitingLongRunningTasks(ledger.now());
        EXPECT_EQ(waiting.size(), 1U);
        return waiting.empty() ? Execution::WaitingTask() : waiting.front();
    }

    LedgerFixture ledger;
};

TEST(LongRunningTasks, WaitForAnEndpointIsExplained)
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

TEST(LongRunningTasks, WaitForALimitIsExplained)
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

TEST(LongRunningTasks, WaitForARunIsExplained)
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

TEST(LongRunningTasks, WaitForAnEarlierLeadersStartIsExplained)
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

} // namespace
