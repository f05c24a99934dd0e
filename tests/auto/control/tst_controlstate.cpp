#include "control/controlstate.h"

#include "utils/cbor.h"

#include <gtest/gtest.h>

namespace {

const Utils::ManualClock clock;

auto entry(const Control::CommandBatch &batch) -> Replication::Entry
{
    return {1, 1, Utils::toCbor(batch), Replication::EntryKind::Command};
}

auto configuration(std::int64_t version) -> Control::Command
{
    Control::Command command;
    command.configuration.emplace();
    command.configuration->version = version;
    command.configuration->document = "document " + std::to_string(version);
    return command;
}

TEST(ControlState, HighestConfigurationVersionIsInForce)
{
    Control::State state;
    state.apply(configuration(5), 1);
    state.apply(configuration(3), 1);
    EXPECT_EQ(state.configuration.version, 5);
}

TEST(ControlState, OtherContentUnderTheSameVersionChangesNothing)
{
    Control::State state;
    state.apply(configuration(5), 1);
    auto other = configuration(5);
    other.configuration->document = "other";
    state.apply(other, 1);
    EXPECT_EQ(state.configuration.document, "document 5");
}

TEST(ControlState, AnnouncementOfAnEarlierIncarnationIsIgnored)
{
    Control::State state;
    Control::Command command;
    command.addEndpoint.emplace();
    command.addEndpoint->incarnation = {"a", 20};
    state.apply(command, 1);
    command.addEndpoint->incarnation = {"a", 10};
    state.apply(command, 1);
    EXPECT_EQ(state.endpoints.at("a").record.incarnation.bornMs, 20);
}

TEST(ControlState, DrainingIsNeverReset)
{
    Control::State state;
    Control::Command command;
    command.addEndpoint.emplace();
    command.addEndpoint->incarnation = {"a", 20};
    command.addEndpoint->draining = true;
    state.apply(command, 1);
    command.addEndpoint->draining = false;
    state.apply(command, 1);
    EXPECT_TRUE(state.endpoints.at("a").record.draining);
}

auto ofLease(std::optional<std::int64_t> leftMs) -> Control::Command
{
    Control::Command command;
    command.recordLease = Control::RecordLease{{"a", 20}, leftMs};
    return command;
}

auto beginsTerm() -> Control::Command
{
    Control::Command command;
    command.beginTerm.emplace();
    return command;
}

/*! \brief A replica that is given one entry after the other. */
class LeaseFixture
{
public:
    LeaseFixture()
    {
        Control::Command endpoint;
        endpoint.addEndpoint.emplace();
        endpoint.addEndpoint->incarnation = {"a", 20};
        apply(1, {endpoint});
    }
    auto apply(std::uint64_t term, std::vector<Control::Command> commands) -> void
    {
        m_replica.apply({++m_revision,
                         term,
                         Utils::toCbor(Control::CommandBatch{1, std::move(commands)}),
                         Replication::EntryKind::Command});
    }
    auto advance(Utils::Milliseconds by) -> void { m_clock.advance(by); }
    /*! \brief Restores a snapshot that the process of \a other takes now. */
    auto restore(const LeaseFixture &other) -> void
    {
        ASSERT_TRUE(m_replica.restore(other.m_replica.snapshot(), other.m_revision));
    }
    auto now() const -> Utils::Instant { return m_clock.now(); }
    auto endingLease() const -> std::optional<Control::EndingLease>
    {
        return m_replica.read(
            [](const Control::State &state) { return state.endpoints.at("a").endingLease; });
    }

private:
    Utils::ManualClock m_clock;
    Control::StateReplica m_replica{m_clock};
    Replication::Revision m_revision = 0;
};

TEST(ControlState, LeaseThatIsNotRenewedEndsByTheTimeSinceItsRecord)
{
    LeaseFixture fixture;
    fixture.advance(Utils::Milliseconds(500));
    fixture.apply(1, {ofLease(3000)});
    const auto recordedAt = fixture.now();
    fixture.advance(Utils::Milliseconds(1000));
    ASSERT_TRUE(fixture.endingLease());
    EXPECT_EQ(fixture.endingLease()->recordedAt, recordedAt);
    EXPECT_EQ(fixture.endingLease()->endsBy, recordedAt + Utils::Milliseconds(3000));
    fixture.apply(1, {ofLease(std::nullopt)});
    EXPECT_FALSE(fixture.endingLease());
}

TEST(ControlState, LeaseIsKnownToEndInTheNextTermOfALeaderThatRecordsLeases)
{
    LeaseFixture fixture;
    fixture.apply(1, {ofLease(3000)});
    fixture.apply(2, {beginsTerm()});
    EXPECT_TRUE(fixture.endingLease());
}

// Guards against TWICE: leaders of older builds renew leases without a record.
TEST(ControlState, LeaseIsNotKnownToEndOnceALeaderOfAnOlderBuildHasLed)
{
    LeaseFixture fixture;
    fixture.apply(1, {ofLease(3000)});
    fixture.apply(2, {Control::Command()});
    fixture.apply(3, {beginsTerm()});
    EXPECT_FALSE(fixture.endingLease());
}

// Guards against LOST: a process that had been restarted led next, and held all tasks of silent endpoints anew.
TEST(ControlState, RestoredProcessKnowsHowLongLeasesThatAreNotRenewedGoOn)
{
    LeaseFixture fixture;
    fixture.apply(1, {beginsTerm()});
    fixture.apply(1, {ofLease(3000)});
    fixture.advance(Utils::Milliseconds(1000));
    LeaseFixture restored;
    restored.advance(Utils::Milliseconds(50));
    restored.restore(fixture);
    ASSERT_TRUE(restored.endingLease());
    EXPECT_EQ(restored.endingLease()->endsBy, restored.now() + Utils::Milliseconds(2000));
    // The term goes on; what follows does not begin it.
    restored.apply(1, {Control::Command()});
    EXPECT_TRUE(restored.endingLease());
    restored.apply(2, {Control::Command()});
    restored.apply(3, {beginsTerm()});
    EXPECT_FALSE(restored.endingLease());
}

// Guards against LOST: the committer puts commands that an earlier session of this process has queued before BeginTerm, into
// the same entry or an earlier one of the term. No leader of an older build has led.
TEST(ControlState, LeaseIsKnownToEndIfOtherCommandsPrecedeTheBeginningOfTheTermInItsEntry)
{
    LeaseFixture fixture;
    fixture.apply(1, {ofLease(3000)});
    fixture.apply(2, {Control::Command(), beginsTerm()});
    EXPECT_TRUE(fixture.endingLease());
}

TEST(ControlState, LeaseIsKnownToEndIfAnEntryPrecedesThatOfTheBeginningOfTheTerm)
{
    LeaseFixture fixture;
    fixture.apply(1, {ofLease(3000)});
    fixture.apply(2, {Control::Command()});
    fixture.apply(2, {beginsTerm()});
    EXPECT_TRUE(fixture.endingLease());
}

/*! \brief A command as builds without leases in the log read it. */
struct OlderCommand
{
    std::optional<Control::RecordStarts> recordStarts;
};

template <typename Archive>
auto describe(Archive &archive, OlderCommand &command) -> void
{
    archive.optional("starts", command.recordStarts);
}

TEST(ControlState, OlderBuildsReadRecordsOfLeasesAsStartsThatChangeNothing)
{
    for (const auto &command : {ofLease(3000), ofLease(std::nullopt), beginsTerm()}) {
        const auto read = Utils::fromCbor<OlderCommand>(Utils::toCbor(command));
        ASSERT_TRUE(read);
        ASSERT_TRUE(read.value().recordStarts);
        Control::Command older;
        older.recordStarts = read.value().recordStarts;
        Control::State state;
        state.apply(older, 1);
        EXPECT_TRUE(state.startedTasks.empty());
    }
}

auto ofHostOrder(std::int64_t wave, const std::string &pool) -> Control::Command
{
    Control::Command command;
    auto &order = command.recordHostOrder.emplace();
    order.host = "host";
    order.incarnation = {"endpoint", 5};
    order.wave = wave;
    order.pool = pool;
    return command;
}

TEST(ControlState, RecordedHostOrderIsReadBackFromEntriesAndSnapshots)
{
    for (const auto &command : {ofHostOrder(3, ""), ofHostOrder(0, "pool")}) {
        Control::CommandBatch batch;
        batch.commands = {command};
        Control::StateReplica replica(clock);
        replica.apply(entry(batch));
        Control::StateReplica restored(clock);
        ASSERT_TRUE(restored.restore(replica.snapshot(), 1));
        for (const auto *read : {&replica, &restored}) {
            const auto known =
                read->read([](const Control::State &state) { return state.hostOrders.at("host"); });
            EXPECT_TRUE(known.knownSince);
            EXPECT_EQ(known.order.incarnation, command.recordHostOrder->incarnation);
            EXPECT_EQ(known.order.wave, command.recordHostOrder->wave);
            EXPECT_EQ(known.order.pool, command.recordHostOrder->pool);
        }
    }
}

TEST(ControlState, OlderBuildsReadRecordsOfHostOrdersAsStartsThatChangeNothing)
{
    for (const auto &command : {ofHostOrder(3, ""), ofHostOrder(0, "pool")}) {
        const auto read = Utils::fromCbor<OlderCommand>(Utils::toCbor(command));
        ASSERT_TRUE(read);
        ASSERT_TRUE(read.value().recordStarts);
        // Builds that know leases take records of at most one task for those of leases.
        EXPECT_GT(read.value().recordStarts->tasks.size(), 1U);
        Control::Command older;
        older.recordStarts = read.value().recordStarts;
        Control::State state;
        state.apply(older, 1);
        EXPECT_TRUE(state.startedTasks.empty());
    }
}

TEST(ControlState, SnapshotRestoresTheState)
{
    Control::StateReplica replica(clock);
    Control::CommandBatch batch;
    batch.timeMs = 1000;
    batch.commands.push_back(configuration(5));
    Control::Command submission;
    submission.submitJob.emplace();
    submission.submitJob->id = "job";
    submission.submitJob->queue = "queue";
    submission.submitJob->steps.resize(1);
    submission.submitJob->steps[0].count = 2;
    batch.commands.push_back(submission);
    Control::Command endpoint;
    endpoint.addEndpoint.emplace();
    endpoint.addEndpoint->incarnation = {"a", 20};
    batch.commands.push_back(endpoint);
    Control::Command ends;
    ends.recordEnds.emplace();
    ends.recordEnds->incarnation = {"a", 20};
    ends.recordEnds->ends.push_back({4, {"job", 0, 0, 1}, Jobs::TaskOutcome::Done});
    batch.commands.push_back(ends);
    Control::Command wave;
    wave.startWave.emplace();
    wave.startWave->number = 2;
    wave.startWave->hosts = {"h1"};
    batch.commands.push_back(wave);
    replica.apply(entry(batch));

    Control::StateReplica other(clock);
    ASSERT_TRUE(other.restore(replica.snapshot(), 1));
    other.read([](const Control::State &state) {
        EXPECT_EQ(state.configuration.version, 5);
        EXPECT_TRUE(state.jobs.find("job")->progress(0).steps[0].tasks[1].done);
        EXPECT_FALSE(state.jobs.find("job")->progress(0).steps[0].tasks[0].done);
        EXPECT_TRUE(state.jobs.activeIds().contains("job"));
        EXPECT_EQ(state.endpoints.at("a").recordedEnds, 4);
        EXPECT_FALSE(state.waves.at(2).isDone());
        return 0;
    });
}

TEST(ControlState, UndecodableEntryIsSkipped)
{
    Control::StateReplica replica(clock);
    replica.apply({1, 1, "not CBOR", Replication::EntryKind::Command});
    replica.read([](const Control::State &state) {
        EXPECT_EQ(state.configuration.version, 0);
        return 0;
    });
}

TEST(ControlState, StartsAreKeptUntilTheTaskOrItsJobEnds)
{
    Control::State state;
    Control::EndpointRecord endpoint;
    endpoint.incarnation = {"e", 5};
    Control::Command added;
    added.addEndpoint = endpoint;
    state.apply(added, 1);
    Jobs::JobSpec job;
    job.id = "job";
    job.steps.emplace_back().count = 2;
    Control::Command submission;
    submission.submitJob = job;
    state.apply(submission, 1);
    const Jobs::TaskId first{"job", 0, 0, 0};
    const Jobs::TaskId second{"job", 0, 0, 1};
    Control::Command started;
    started.recordStarts = Control::RecordStarts{endpoint.incarnation, {first, second}};
    state.apply(started, 1);
    ASSERT_EQ(state.startedTasks["job"].size(), 2U);
    Control::Command ended;
    ended.recordEnds =
        Control::RecordEnds{endpoint.incarnation, {{1, first, Jobs::TaskOutcome::Done}}};
    state.apply(ended, 1);
    EXPECT_FALSE(state.startedTasks["job"].contains(first));
    EXPECT_EQ(state.startedTasks["job"].at(second).incarnation, endpoint.incarnation);
    Control::Command cancelled;
    cancelled.cancelJob = "job";
    state.apply(cancelled, 1);
    EXPECT_TRUE(state.startedTasks.empty());
    // A start that is recorded after the end of its job is ignored.
    state.apply(started, 1);
    EXPECT_TRUE(state.startedTasks.empty());
}

/*! \brief A job of a queue that allows two attempts, and an endpoint on which its task fails. */
class FailingJob : public testing::Test
{
protected:
    FailingJob()
    {
        configure({m_queue});
        Control::Command endpoint;
        endpoint.addEndpoint.emplace().incarnation = m_incarnation;
        state.apply(endpoint, 1);
        Control::Command submission;
        auto &job = submission.submitJob.emplace();
        job.id = "job";
        job.queue = m_queue.name;
        job.steps.emplace_back().count = 1;
        state.apply(submission, 1);
    }
    auto configure(std::vector<Control::Queue> queues) -> void
    {
        Control::Command command;
        auto &content = command.configuration.emplace();
        content.version = ++m_version;
        content.queues = std::move(queues);
        state.apply(command, 1);
    }
    auto fail() -> void
    {
        Control::Command ended;
        ended.recordEnds = Control::RecordEnds{
            m_incarnation, {{++m_ends, {"job", 0, 0, 0}, Jobs::TaskOutcome::Failed}}};
        state.apply(ended, 1);
    }
    static auto queue(const std::string &name, const std::string &prefix, std::int64_t attempts)
        -> Control::Queue
    {
        Control::Queue queue;
        queue.name = name;
        queue.host = "h.example";
        queue.pathPrefix = prefix;
        queue.maximumAttempts = attempts;
        return queue;
    }
    auto jobState() const -> Jobs::JobState { return state.jobs.find("job")->state; }

    Control::State state;

private:
    const Control::EndpointIncarnation m_incarnation{"a", 20};
    const Control::Queue m_queue = queue("queue", "/a/", 2);
    std::int64_t m_version = 0;
    std::int64_t m_ends = 0;
};

// Without a limit, the task of a job that can never be done starts without end.
TEST_F(FailingJob, FailsAfterTheAttemptsOfItsSubmissionOnceItsQueueIsGone)
{
    configure({});
    fail();
    EXPECT_EQ(jobState(), Jobs::JobState::Active);
    fail();
    EXPECT_EQ(jobState(), Jobs::JobState::Failed);
}

TEST_F(FailingJob, FailsAfterTheAttemptsOfItsQueueThatHasAnotherNameNow)
{
    configure({queue("queue", "/b/", 1), queue("renamed", "/a/", 3)});
    fail();
    fail();
    EXPECT_EQ(jobState(), Jobs::JobState::Active);
    fail();
    EXPECT_EQ(jobState(), Jobs::JobState::Failed);
}

// A group holds processes of older builds during an upgrade, and these skip entries with other keys.
TEST_F(FailingJob, IsEncodedWithoutKeysThatOlderBuildsDoNotKnow)
{
    const auto encoded = Utils::toCbor(state.jobs.find("job")->spec);
    EXPECT_EQ(encoded.find("address"), std::string::npos);
    EXPECT_EQ(encoded.find("terms"), std::string::npos);
}

TEST_F(FailingJob, KeepsItsQueueInSnapshotsAfterTheQueueWasRenamed)
{
    Control::StateReplica replica(clock);
    Control::CommandBatch batch;
    for (const auto renamed : {false, true}) {
        auto &content = batch.commands.emplace_back().configuration.emplace();
        content.version = renamed ? 2 : 1;
        content.queues = {queue(renamed ? "renamed" : "queue", "/a/", 2)};
        if (!renamed)
            batch.commands.emplace_back().submitJob = state.jobs.find("job")->spec;
    }
    replica.apply(entry(batch));
    Control::StateReplica other(clock);
    ASSERT_TRUE(other.restore(replica.snapshot(), 1));
    other.read([](const Control::State &restored) {
        const auto &spec = restored.jobs.find("job")->spec;
        EXPECT_EQ(spec.address.pathPrefix, "/a/");
        EXPECT_EQ(spec.terms.maximumAttempts, 2);
        return 0;
    });
}

TEST(ControlState, CountsChangesOfEndpointsAlone)
{
    Control::State state;
    Control::Command added;
    added.addEndpoint.emplace().incarnation = {"a", 20};
    state.apply(added, 1);
    const auto first = state.endpoints.at("a").changedIn;
    EXPECT_EQ(first, state.endpointsVersion);
    EXPECT_GT(first, 0U);
    state.apply(added, 1);
    EXPECT_EQ(state.endpointsVersion, first);
    added.addEndpoint->draining = true;
    state.apply(added, 1);
    EXPECT_GT(state.endpoints.at("a").changedIn, first);
    const auto second = state.endpointsVersion;
    Control::Command other;
    other.addEndpoint.emplace().incarnation = {"b", 20};
    state.apply(other, 1);
    EXPECT_EQ(state.endpoints.at("a").changedIn, second);
    EXPECT_GT(state.endpoints.at("b").changedIn, second);
}

TEST(ControlState, LateRecordOfAFormerLeaderDoesNotReplaceTheStartOfALaterTerm)
{
    Control::State state;
    Jobs::JobSpec job;
    job.id = "job";
    job.steps.emplace_back().count = 1;
    state.jobs.add(job);
    const Jobs::TaskId task{"job", 0, 0, 0};
    const auto recordedAfter = [&](const std::string &id, std::int64_t term) {
        Control::RecordStarts starts;
        starts.incarnation = {id, 1};
        starts.tasks = {task};
        starts.term = term;
        Control::Command command;
        command.recordStarts = starts;
        state.apply(command, 1);
        return state.startedTasks["job"].at(task).incarnation.id;
    };
    EXPECT_EQ(recordedAfter("first", 2), "first");
    EXPECT_EQ(recordedAfter("later", 3), "later");
    EXPECT_EQ(recordedAfter("late", 2), "later");
    EXPECT_EQ(recordedAfter("next", 3), "next");
    // Leaders of older builds record no term.
    EXPECT_EQ(recordedAfter("older build", 0), "older build");
}

TEST(ControlState, SnapshotContainsRecordedStarts)
{
    Control::CommandBatch batch;
    Jobs::JobSpec job;
    job.id = "job";
    job.queue = "queue";
    job.pool = "pool";
    job.steps.emplace_back().count = 1;
    batch.commands.emplace_back().submitJob = job;
    Control::RecordStarts starts;
    starts.incarnation = {"e", 5};
    starts.tasks.push_back({"job", 0, 0, 0});
    batch.commands.emplace_back().recordStarts = starts;
    Control::StateReplica replica(clock);
    replica.apply(entry(batch));
    Control::StateReplica restored(clock);
    ASSERT_TRUE(restored.restore(replica.snapshot(), 1));
    const auto incarnation = restored.read([](const Control::State &state) {
        return state.startedTasks.at("job").at(Jobs::TaskId{"job", 0, 0, 0}).incarnation;
    });
    EXPECT_EQ(incarnation, (Control::EndpointIncarnation{"e", 5}));
}

TEST(ControlState, RunThatIsRecordedAsGoneStaysGoneInASnapshot)
{
    Control::CommandBatch batch;
    auto &job = batch.commands.emplace_back().submitJob.emplace();
    job.id = "job";
    job.steps.emplace_back().count = 1;
    Control::RecordStarts starts;
    starts.incarnation = {"endpoint", 1};
    starts.tasks = {{"job", 0, 0, 0}};
    starts.term = 3;
    batch.commands.emplace_back().recordStarts = starts;
    batch.commands.emplace_back().recordStarts = Control::recordGone(starts.tasks, starts.term);
    Control::StateReplica replica(clock);
    replica.apply(entry(batch));
    Control::StateReplica restored(clock);
    ASSERT_TRUE(restored.restore(replica.snapshot(), 1));
    restored.read([&](const Control::State &state) {
        const auto &start = state.startedTasks.at("job").at(starts.tasks.front());
        EXPECT_FALSE(start.mayRun());
        EXPECT_EQ(start.term, starts.term);
    });
}

// The process that submits an entry applies the batch it has in memory, and the others decode it. A
// field that is missing from the encoding would make their states differ.
TEST(ControlState, ExpectedAndDecodedEntryGiveTheSameState)
{
    Control::CommandBatch batch;
    batch.timeMs = 17;
    batch.commands.reserve(8); // References to its elements must stay valid.
    batch.commands.push_back(configuration(5));
    auto &configured = *batch.commands.back().configuration;
    configured.queues.push_back({"q", "host", "/p/", "pool", 3000, 600, 1, 4, 1.6, {5, 6, 7}});
    configured.pools.push_back({"pool", true, true});
    configured.limits = {1, 2, 3, 4};
    auto &job = batch.commands.emplace_back().submitJob.emplace();
    job.id = "0123456789abcdef";
    job.queue = "q";
    job.pool = "pool";
    job.payload = "text";
    job.submittedMs = 12;
    job.repetition = {2, 30, 40};
    auto &step = job.steps.emplace_back();
    step.count = 2;
    step.demand = {1, 2, 3};
    step.estimateMs = 4;
    step.checkpoints = step.gang = step.rackBound = step.allowsDuplicates = true;
    step.longRunning = step.fills = true;
    step.requiredLabel = "a";
    step.dataRack = "r";
    step.image = "i";
    step.maximumPerHost = 5;
    step.latencyTargetMs = 6;
    step.mayMiss = 7;
    const Control::EndpointIncarnation incarnation{"e", 8};
    auto &endpoint = batch.commands.emplace_back().addEndpoint.emplace();
    endpoint.incarnation = incarnation;
    endpoint.pool = "pool";
    endpoint.address = "address";
    endpoint.zone = "zone";
    endpoint.rack = "rack";
    endpoint.labels = {"a"};
    endpoint.capacity = {9, 10, 11};
    endpoint.draining = true;
    auto &starts = batch.commands.emplace_back().recordStarts.emplace();
    starts.incarnation = incarnation;
    starts.tasks.push_back({job.id, 1, 0, 1});
    auto &ends = batch.commands.emplace_back().recordEnds.emplace();
    ends.incarnation = incarnation;
    ends.ends.push_back({3, {job.id, 0, 0, 0}, Jobs::TaskOutcome::Failed});
    auto &wave = batch.commands.emplace_back().startWave.emplace();
    wave.number = 4;
    wave.hosts = {"h", "i"};
    wave.durationMs = 5;
    wave.maximumAtOnce = 6;
    wave.startedMs = 7;
    auto &finish = batch.commands.emplace_back().finishWaveHost.emplace();
    finish.wave = 4;
    finish.host = "h";
    const auto encoded = entry(batch);

    Control::StateReplica decoding(clock);
    decoding.apply(encoded);
    Control::StateReplica expecting(clock);
    expecting.cacheBatch(encoded.payload, batch);
    expecting.apply(encoded);
    EXPECT_EQ(expecting.snapshot(), decoding.snapshot());
    // The expected batch is used up, so that the second application decodes the entry.
    expecting.apply(encoded);
    decoding.apply(encoded);
    EXPECT_EQ(expecting.snapshot(), decoding.snapshot());
}

// A job of two tasks, and an endpoint that has ended both of them; the record is still to be applied.
class EndsOfTwoTasks
{
public:
    EndsOfTwoTasks()
    {
        Control::Command job;
        job.submitJob.emplace();
        job.submitJob->id = "job";
        job.submitJob->steps.resize(1);
        job.submitJob->steps[0].count = 2;
        state.apply(job, 1);
        addEndpoint(20);
        record.incarnation = {"a", 20};
        record.ends.push_back({4, {"job", 0, 0, 0}, Jobs::TaskOutcome::Done});
        record.ends.push_back({5, {"job", 0, 0, 1}, Jobs::TaskOutcome::Failed});
    }
    auto addEndpoint(std::int64_t bornMs) -> void
    {
        Control::Command endpoint;
        endpoint.addEndpoint.emplace();
        endpoint.addEndpoint->incarnation = {"a", bornMs};
        state.apply(endpoint, 1);
    }
    auto applyRecord() -> void
    {
        Control::Command ends;
        ends.recordEnds = record;
        state.apply(ends, 1);
    }

    Control::State state;
    Control::RecordEnds record;
};

// The endpoint has been replaced or removed before the record.
class IgnoredEndsTest
    : public testing::TestWithParam<bool>
    , public EndsOfTwoTasks
{};

TEST_P(IgnoredEndsTest, AreRecordedOnceTheyAreKnownToBeIgnored)
{
    Control::Command removed;
    removed.removeEndpoint = record.incarnation;
    if (GetParam())
        state.apply(removed, 1);
    else
        addEndpoint(30);
    const auto endpoints = state.endpoints.size();
    applyRecord();
    EXPECT_TRUE(state.jobs.isUndone({"job", 0, 0, 0}));
    for (const auto &command : Control::recordIgnoredEnds(state, record))
        state.apply(command, 1);
    EXPECT_FALSE(state.jobs.isUndone({"job", 0, 0, 0}));
    EXPECT_TRUE(state.jobs.isUndone({"job", 0, 0, 1}));
    EXPECT_EQ(state.jobs.find("job")->progress(0).steps[0].tasks[1].failures, 0);
    EXPECT_EQ(state.endpoints.size(), endpoints);
    EXPECT_TRUE(GetParam() || state.endpoints.at("a").recordedEnds == 0);
    EXPECT_TRUE(Control::recordIgnoredEnds(state, record).empty());
}

INSTANTIATE_TEST_SUITE_P(ReplacedOrRemoved, IgnoredEndsTest, testing::Bool());

TEST(ControlState, EndsThatWereTakenInAreNotRecordedAgain)
{
    EndsOfTwoTasks fixture;
    fixture.record.ends = {{4, {"job", 0, 0, 1}, Jobs::TaskOutcome::Done}};
    fixture.applyRecord();
    EXPECT_TRUE(Control::recordIgnoredEnds(fixture.state, fixture.record).empty());
    // Jobs that are not known, and tasks that a job does not have.
    fixture.record.ends.push_back({5, {"other", 0, 0, 0}, Jobs::TaskOutcome::Done});
    fixture.record.ends.push_back({6, {"job", 0, 0, 2}, Jobs::TaskOutcome::Done});
    EXPECT_TRUE(Control::recordIgnoredEnds(fixture.state, fixture.record).empty());
}

} // namespace
