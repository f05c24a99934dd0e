// Endpoints that are removed from the state although their incarnation goes on, and announce themselves again.
#include "control/removedendpoints.h"

#include "utils/cbor.h"

#include <gtest/gtest.h>

namespace {

const Control::EndpointIncarnation incarnation{"a", 20};
constexpr std::int64_t attempts = 2;

auto recordOf(const Control::EndpointIncarnation &announced) -> Control::EndpointRecord
{
    Control::EndpointRecord record;
    record.incarnation = announced;
    return record;
}

/*! \brief A replica with one endpoint, on which the only task of a job fails. */
class RemovedEndpointTest : public testing::Test
{
protected:
    RemovedEndpointTest()
    {
        Control::Command configured;
        auto &content = configured.configuration.emplace();
        content.version = 1;
        content.queues.emplace_back().name = "queue";
        content.queues.back().maximumAttempts = attempts;
        Control::Command submitted;
        auto &job = submitted.submitJob.emplace();
        job.id = "job";
        job.queue = "queue";
        job.steps.emplace_back().count = 1;
        apply({configured, submitted});
        announce(recordOf(incarnation));
    }
    auto apply(std::vector<Control::Command> commands) -> void
    {
        apply(m_replica, std::move(commands));
    }
    auto announce(const Control::EndpointRecord &record) -> void { announce(m_replica, record); }
    static auto apply(Control::StateReplica &replica, std::vector<Control::Command> commands)
        -> void
    {
        const auto payload = Utils::toCbor(Control::CommandBatch{1, std::move(commands)});
        replica.apply({1, 1, payload, Replication::EntryKind::Command});
    }
    static auto announce(Control::StateReplica &replica, const Control::EndpointRecord &record)
        -> void
    {
        apply(replica, replica.read([&](const Control::State &state) {
            return Control::commandsToAdd(state, record);
        }));
    }
    auto remove() -> void
    {
        Control::Command removed;
        removed.removeEndpoint = incarnation;
        apply({removed});
    }
    // Records the failure with this number, which an endpoint lists until it may forget it.
    static auto recordFailure(Control::StateReplica &replica, std::int64_t number) -> void
    {
        Control::Command ended;
        ended.recordEnds = Control::RecordEnds{
            incarnation, {{number, {"job", 0, 0, 0}, Jobs::TaskOutcome::Failed}}};
        apply(replica, {ended});
    }
    static auto jobState(const Control::StateReplica &replica) -> Jobs::JobState
    {
        return replica.read(
            [](const Control::State &state) { return state.jobs.find("job")->state; });
    }
    static auto known(const Control::StateReplica &replica) -> Control::KnownEndpoint
    {
        return replica.read([](const Control::State &state) { return state.endpoints.at("a"); });
    }

    Utils::ManualClock m_clock;
    Control::StateReplica m_replica{m_clock};
};

// Guards against LOST: a failure was counted again, and the job failed before its last attempt.
TEST_F(RemovedEndpointTest, CountsAFailureOnceThatItListsAgainAfterItsReturn)
{
    recordFailure(m_replica, 7);
    remove();
    announce(recordOf(incarnation));
    EXPECT_EQ(known(m_replica).recordedEnds, 7);
    recordFailure(m_replica, 7);
    EXPECT_EQ(jobState(m_replica), Jobs::JobState::Active);
    recordFailure(m_replica, 8);
    EXPECT_EQ(jobState(m_replica), Jobs::JobState::Failed);
}

// Guards against LOST: a process that had restored a snapshot led when the endpoint returned.
TEST_F(RemovedEndpointTest, CountsAFailureOnceAfterASnapshot)
{
    recordFailure(m_replica, 7);
    remove();
    Control::StateReplica restored(m_clock);
    ASSERT_TRUE(restored.restore(m_replica.snapshot(), 1));
    announce(restored, recordOf(incarnation));
    recordFailure(restored, 7);
    EXPECT_EQ(jobState(restored), Jobs::JobState::Active);
}

// Guards against DRAIN: a late announcement from before the drain made the endpoint get tasks.
TEST_F(RemovedEndpointTest, DrainsAfterItsReturnIfItDidBefore)
{
    auto draining = recordOf(incarnation);
    draining.draining = true;
    announce(draining);
    remove();
    Control::StateReplica restored(m_clock);
    ASSERT_TRUE(restored.restore(m_replica.snapshot(), 1));
    for (auto *replica : {&m_replica, &restored}) {
        announce(*replica, recordOf(incarnation));
        EXPECT_TRUE(known(*replica).record.draining);
    }
}

// It numbers its ends anew.
TEST_F(RemovedEndpointTest, TakesNothingOverForTheNextIncarnation)
{
    auto draining = recordOf(incarnation);
    draining.draining = true;
    announce(draining);
    recordFailure(m_replica, 7);
    remove();
    announce(recordOf({"a", 21}));
    EXPECT_EQ(known(m_replica).recordedEnds, 0);
    EXPECT_FALSE(known(m_replica).record.draining);
}

TEST_F(RemovedEndpointTest, ChangeOfARecordChangesNoNumberOfEnds)
{
    recordFailure(m_replica, 7);
    remove();
    announce(recordOf(incarnation));
    recordFailure(m_replica, 8);
    auto moved = recordOf(incarnation);
    moved.address = "b:1";
    announce(moved);
    EXPECT_EQ(known(m_replica).recordedEnds, 8);
}

// Older builds apply the same commands, and skip what they do not know in a snapshot.
TEST_F(RemovedEndpointTest, IsSavedAsStartsThatChangeNothingInOlderBuilds)
{
    recordFailure(m_replica, 7);
    remove();
    std::vector<Control::RecordStarts> saved;
    m_replica.read([&](const Control::State &state) {
        Control::Internal::saveRemoved(state, saved);
        return 0;
    });
    ASSERT_EQ(saved.size(), 1U);
    // Builds that know leases take records of at most one task for those of leases.
    EXPECT_GT(saved.front().tasks.size(), 1U);
    Control::Command older;
    older.recordStarts = saved.front();
    Control::State state;
    state.apply(older, 1);
    EXPECT_TRUE(state.startedTasks.empty());
    EXPECT_TRUE(state.hostOrders.empty());
}

} // namespace
