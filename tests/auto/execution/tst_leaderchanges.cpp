#include "ledgerfixture.h"

#include <gtest/gtest.h>

using namespace ExecutionTest;
using Execution::EndKind;

namespace {

constexpr auto lastingJob = "lasting";

/*! \brief A long-running task whose endpoint drains, and leaders that follow each other. */
class LeaderChangesFixture
{
public:
    LeaderChangesFixture()
    {
        m_ledger.addEndpoint("leaving");
        m_ledger.addJob(lastingJob, longRunningStep(1, 1));
        m_ledger.recordStart("leaving", task());
        m_ledger.begin();
        m_ledger.poll("leaving", {{task(), firstRun, "", 100, 0}});
        m_ledger.ledger.drain("leaving");
        m_ledger.schedule();
    }

    auto task() const -> Jobs::TaskId { return m_ledger.task(lastingJob); }
    /*! \brief Lets the endpoint list the end of the run, and returns what is to be recorded then. */
    auto endRun() -> std::vector<Jobs::TaskId>
    {
        const auto effects =
            m_ledger.poll("leaving", {}, {{1, task(), firstRun, EndKind::Stopped, ""}});
        m_ledger.ledger.endsRecorded(effects.record, effects.lastEnd);
        return m_ledger.schedule().gone;
    }
    /*! \brief Lets the endpoint leave, and returns what is to be recorded together with that. */
    auto leave() -> std::vector<Jobs::TaskId>
    {
        m_ledger.removeEndpoint("leaving");
        return m_ledger.ledger.takeGone(m_ledger.state);
    }
    auto record(const std::vector<Jobs::TaskId> &gone) -> void
    {
        for (const auto &task : gone)
            m_ledger.recordGone(task);
    }
    /*! \brief Begins the next term with another endpoint, and returns the starts of its first pass. */
    auto changeLeader() -> std::vector<Execution::StartOrder>
    {
        m_ledger.begin();
        addOther();
        return m_ledger.schedule().starts;
    }
    auto addOther() -> void
    {
        m_ledger.addEndpoint("other");
        m_ledger.poll("other");
    }

private:
    static constexpr std::int64_t firstRun = 1;

    LedgerFixture m_ledger;
};

TEST(LeaderChanges, StoppedTaskOfADepartedEndpointStartsAtOnceUnderTheNextLeader)
{
    LeaderChangesFixture fixture;
    fixture.record(fixture.endRun());
    fixture.record(fixture.leave());
    const auto starts = fixture.changeLeader();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts.front().task, fixture.task());
}

TEST(LeaderChanges, TaskThatLeftWithItsEndpointStartsAtOnceUnderTheNextLeader)
{
    LeaderChangesFixture fixture;
    fixture.record(fixture.leave());
    EXPECT_EQ(fixture.changeLeader().size(), 1U);
}

// The order may reach the next incarnation of its endpoint, under the same id.
TEST(LeaderChanges, TaskWhoseStartNothingSettledIsHeldUnderTheNextLeader)
{
    LedgerFixture fixture;
    fixture.addEndpoint("a");
    fixture.addJob(lastingJob, longRunningStep(1, 1));
    fixture.begin();
    fixture.poll("a");
    const auto starts = fixture.schedule().starts;
    ASSERT_EQ(starts.size(), 1U);
    fixture.recordStart("a", starts.front().task);
    ASSERT_TRUE(fixture.ledger.confirmStart(starts.front()));
    fixture.removeEndpoint("a");
    EXPECT_TRUE(fixture.ledger.takeGone(fixture.state).empty());
    EXPECT_TRUE(fixture.schedule().gone.empty());
}

// A record of the former run that is committed after that of the next one would replace it.
TEST(LeaderChanges, TaskThatStartsAgainAtOnceIsNotRecordedAsGone)
{
    LeaderChangesFixture fixture;
    fixture.addOther();
    EXPECT_TRUE(fixture.endRun().empty());
    EXPECT_TRUE(fixture.leave().empty());
}

} // namespace
