// A control process that leads, with a log, endpoints and hosts that the test controls.
#include "service/controlservice.h"

#include "utils/cbor.h"
#include "utils/fields.h"
#include "utils/log.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <mutex>
#include <set>

namespace {

using Utils::Milliseconds;

constexpr Milliseconds longestTest{10'000};
constexpr Milliseconds conditionCheck{5};
constexpr Milliseconds accountRateWindow{60'000};
constexpr std::uint64_t firstTerm = 2;
constexpr std::int64_t firstBornMs = 1000;
constexpr std::int64_t nextBornMs = 2000;
constexpr auto anyPort = "127.0.0.1:0";
constexpr auto host = "h.example";
constexpr auto jobId = "0123456789abcdef";
constexpr auto firstKey = "key of the first account";
constexpr auto otherKey = "key of the other account";

/*! \brief The log of a leader whose contact with a majority the test controls. */
class FakeLog final : public Replication::ReplicatedLog
{
public:
    explicit FakeLog(Control::StateReplica &state)
        : m_state(state)
    {}

    auto start() -> Utils::Result<void> override { return Utils::success(); }
    auto stop() -> void override {}
    auto submit(std::string payload, Milliseconds)
        -> Utils::Result<Replication::SubmitReply> override
    {
        std::unique_lock lock(m_mutex);
        waits = m_allowed == 0;
        m_changed.wait(lock, [this] { return m_allowed > 0; });
        waits = false;
        if (failures > 0) {
            --failures;
            return Utils::failure(Utils::ErrorType::NoQuorum, "the test lets the commit fail");
        }
        --m_allowed;
        Replication::Entry entry;
        entry.revision = ++m_revision;
        entry.payload = std::move(payload);
        m_state.apply(entry);
        return Replication::SubmitReply{entry.revision, {}};
    }
    auto submitInTerm(std::uint64_t term, std::string payload, Milliseconds timeout)
        -> Utils::Result<Replication::SubmitReply> override
    {
        boundTerm = term;
        return submit(std::move(payload), timeout);
    }
    auto confirmRevision(Milliseconds) -> Utils::Result<Replication::Revision> override
    {
        return Replication::Revision(m_revision.load());
    }
    auto status() const -> Replication::LogStatus override
    {
        Replication::LogStatus status;
        status.role = Replication::Role::Leader;
        status.term = m_term;
        status.hasQuorum = hasQuorum;
        return status;
    }
    auto leadershipProof() const -> std::optional<Replication::LeadershipProof> override
    {
        return Replication::LeadershipProof{provenTerm == 0 ? m_term.load() : provenTerm.load(),
                                            Milliseconds(proofAgeMs)};
    }

    // Leads again in the next term.
    auto resign(std::uint64_t term) -> void override
    {
        if (term == m_term)
            ++m_term;
    }

    std::atomic<bool> hasQuorum = true;
    std::atomic<std::uint64_t> boundTerm = 0; //!< Term of the last entry that is bound to one.
    std::atomic<std::int64_t> proofAgeMs = 0;
    std::atomic<std::uint64_t> provenTerm = 0; //!< 0 for the term in which the log leads.
    std::atomic<bool> waits = false;           //!< A commit waits for a call of allow().
    std::atomic<int> failures = 0; //!< Number of the next entries that are not committed.

    /*! \brief Lets the next \a entries be committed, and later ones wait. */
    auto allow(int entries) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_allowed = entries;
        m_changed.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_allowed = std::numeric_limits<int>::max();
    Control::StateReplica &m_state;
    std::atomic<Replication::Revision> m_revision = 0;
    std::atomic<std::uint64_t> m_term = firstTerm;
};

/*! \brief Endpoints that reply to polls at once, list nothing, and record start orders. */
class SilentStarts final : public Execution::EndpointLink
{
public:
    auto start(Execution::StartOrder order) -> AsyncNet::Task<Execution::StartReply> override
    {
        starts.push_back(std::move(order));
        co_await AsyncNet::pause(longestTest);
        co_return Execution::StartReply();
    }
    auto stop(Execution::StopOrder) -> AsyncNet::Task<Execution::OrderResult> override
    {
        co_return Execution::OrderResult::Unknown;
    }
    auto pace(Execution::PaceOrder) -> AsyncNet::Task<Execution::OrderResult> override
    {
        co_return Execution::OrderResult::Unknown;
    }
    auto poll(Execution::PollOrder order) -> AsyncNet::Task<Execution::PollReply> override
    {
        co_await AsyncNet::pause(conditionCheck);
        Execution::PollReply reply;
        reply.result = Execution::PollResult::Seen;
        const auto restarted = restartedMs.find(order.target.incarnation.id);
        reply.bornMs =
            restarted != restartedMs.end() ? restarted->second : order.target.incarnation.bornMs;
        reply.clockMs = m_clock.now().time_since_epoch().count();
        co_return reply;
    }

    std::vector<Execution::StartOrder> starts;
    std::map<std::string, std::int64_t> restartedMs; //!< Times of the last restarts by endpoint.

private:
    Utils::SystemClock m_clock;
};

class NoHosts final : public Execution::HostProvider
{
public:
    auto list() -> AsyncNet::Task<Execution::HostList> override { co_return Execution::HostList(); }
    auto maintain(std::string, std::int64_t, std::int64_t)
        -> AsyncNet::Task<Execution::HostOrderResult> override
    {
        co_return Execution::HostOrderResult::Refused;
    }
    auto move(std::string, std::string, std::int64_t)
        -> AsyncNet::Task<Execution::HostOrderResult> override
    {
        co_return Execution::HostOrderResult::Refused;
    }
};

class ControlServiceTest : public testing::Test
{
protected:
    ControlServiceTest()
    {
        Control::Command configuration;
        auto &content = configuration.configuration.emplace();
        content.version = 1;
        content.pools.push_back({"pool", true, false});
        content.queues.push_back(queue("queue", "/a/"));
        Control::Command endpoint;
        endpoint.addEndpoint = record(firstBornMs);
        apply({configuration, endpoint});
        EXPECT_TRUE(m_service.start());
    }
    ~ControlServiceTest() override { m_service.stop(); }

    static auto record(std::int64_t bornMs) -> Control::EndpointRecord
    {
        Control::EndpointRecord record;
        record.incarnation = {"a", bornMs};
        record.pool = "pool";
        record.address = "a:1";
        record.capacity = {4000, 8000, 0};
        return record;
    }
    static auto queue(const std::string &name, const std::string &prefix) -> Control::Queue
    {
        Control::Queue queue;
        queue.name = name;
        queue.host = host;
        queue.pathPrefix = prefix;
        queue.pool = "pool";
        queue.maximumAttempts = 3;
        return queue;
    }
    static auto jobSpec() -> Jobs::JobSpec
    {
        Jobs::JobSpec spec;
        spec.id = jobId;
        spec.queue = "queue";
        spec.pool = "pool";
        auto &step = spec.steps.emplace_back();
        step.count = 1;
        step.demand = {1000, 100, 0};
        step.estimateMs = 1000;
        return spec;
    }
    // Adds a job as an older build recorded it.
    auto addJob() -> void
    {
        Control::Command job;
        job.submitJob = jobSpec();
        apply({job});
    }
    // Puts the next version of the configuration, with these queues and accounts alone, in force.
    auto configure(std::vector<Control::Queue> queues,
                   std::optional<std::vector<Accounts::ClientAccount>> accounts = {}) -> void
    {
        Control::Command configuration;
        auto &content = configuration.configuration.emplace();
        content.version = ++m_configurationVersion;
        content.pools.push_back({"pool", true, false});
        content.queues = std::move(queues);
        content.accounts = std::move(accounts);
        apply({configuration});
    }
    // Puts a configuration with an account that is owed 2 jobs in each window in force.
    auto configureAccount() -> void
    {
        auto only = queue("queue", "/a/");
        only.objectiveMs = 2000;
        const auto weight = 2.0 / double(accountRateWindow / std::chrono::seconds(1));
        configure({only}, {{{"account", {Accounts::digestOf(firstKey)}, weight, {}}}});
    }
    // Submits a job of the account that fills the endpoint for a second.
    auto submit(const std::string &id) -> Wire::ControlReply
    {
        Wire::ControlRequest request;
        request.call = Wire::ControlCall::HAND_IN;
        request.queue = "queue";
        request.jobId = id;
        auto spec = jobSpec();
        spec.id = id;
        request.keyDigest = Accounts::digestOf(firstKey);
        spec.steps.front().count = 4;
        request.job = Utils::toCbor(spec);
        std::optional<Wire::ControlReply> reply;
        AsyncNet::start(m_loop, "request", sendOne(request, reply));
        EXPECT_TRUE(runUntil([&] { return reply.has_value(); }));
        return reply.value_or(Wire::ControlReply());
    }
    // Returns whether the job is beyond its account's rate, or nothing if it is not in the state.
    auto beyondRate(const std::string &id) const -> std::optional<bool>
    {
        return m_state.read([&](const Control::State &state) {
            const auto *job = state.jobs.find(id);
            return job != nullptr ? std::optional(job->spec.beyondRate) : std::nullopt;
        });
    }
    // Puts a configuration with two accounts and with a queue that is public or not in force.
    auto configureAccounts(bool isPublic = false) -> void
    {
        auto only = queue("queue", "/a/");
        only.isPublic = isPublic;
        configure({only},
                  {{{"first", {Accounts::digestOf(firstKey)}, 0, {}},
                    {"other", {Accounts::digestOf(otherKey)}, 0, {}}}});
    }
    // Returns the outcome for a caller with this key, which is empty if the caller has none.
    auto outcomeWith(std::string_view key,
                     Wire::ControlCall::type call,
                     const std::string &prefix = "/a/") -> Wire::ControlOutcome::type
    {
        return ask(call, "queue", prefix, key.empty() ? "" : Accounts::digestOf(key)).outcome;
    }
    // Sends a request as an entry process whose route has this name and prefix does.
    auto ask(Wire::ControlCall::type call,
             const std::string &name,
             const std::string &prefix,
             const std::string &keyDigest = {}) -> Wire::ControlReply
    {
        std::optional<Wire::ControlReply> reply;
        AsyncNet::start(
            m_loop, "request", sendOne(requestFor(call, name, prefix, keyDigest), reply));
        EXPECT_TRUE(runUntil([&] { return reply.has_value(); }));
        return reply.value_or(Wire::ControlReply());
    }
    // Begins to send a request with this key. Sets the reply once it comes.
    auto startAsk(Wire::ControlCall::type call,
                  std::string_view key,
                  std::optional<Wire::ControlReply> &reply) -> void
    {
        auto request = requestFor(call, "queue", "/a/", Accounts::digestOf(key));
        AsyncNet::start(m_loop, "request", sendOne(std::move(request), reply));
    }
    static auto requestFor(Wire::ControlCall::type call,
                           const std::string &name,
                           const std::string &prefix,
                           const std::string &keyDigest) -> Wire::ControlRequest
    {
        Wire::ControlRequest request;
        request.keyDigest = keyDigest;
        request.call = call;
        request.queue = name;
        request.jobId = jobId;
        if (!prefix.empty()) {
            request.host = host;
            request.pathPrefix = prefix;
        }
        if (call == Wire::ControlCall::HAND_IN) {
            auto spec = jobSpec();
            spec.queue = name;
            request.job = Utils::toCbor(spec);
        }
        return request;
    }
    auto announce(const Control::EndpointRecord &record, std::int64_t sequence) -> void
    {
        AsyncNet::start(m_loop, "announcement", announceOne({record, sequence}));
    }
    auto metricsText() const -> std::string { return m_metrics.toPrometheusText(); }
    auto putOne(Control::Configuration configuration, bool &done) -> AsyncNet::Task<void>
    {
        co_await service().putConfiguration(std::move(configuration));
        done = true;
    }
    auto hasSealedDocument() const -> bool
    {
        return m_state.read([](const Control::State &state) {
            return state.configuration.sealedDocument && state.configuration.document.empty();
        });
    }
    auto accountOfJob() const -> std::string
    {
        return m_state.read(
            [](const Control::State &state) { return state.jobs.find(jobId)->spec.account; });
    }
    auto isKnownToDrain(const std::string &endpoint) const -> bool
    {
        return m_state.read([&](const Control::State &state) {
            return state.endpoints.at(endpoint).record.draining;
        });
    }
    auto runUntil(const std::function<bool()> &condition) -> bool
    {
        const auto deadline = m_clock.now() + longestTest;
        while (!condition() && m_clock.now() < deadline)
            m_loop.run_for(conditionCheck);
        return condition();
    }
    // Lets the leader lose and regain its contact with a majority before the log steps down.
    auto interruptContact() -> void
    {
        m_log.hasQuorum = false;
        EXPECT_TRUE(runUntil([this] { return !m_service.leads(); }));
        m_log.hasQuorum = true;
        EXPECT_TRUE(runUntil([this] { return m_service.leads(); }));
    }

    // Reads the configuration as the operator does. Returns whether it came.
    auto readConfiguration() -> bool
    {
        std::optional<bool> came;
        AsyncNet::start(m_loop, "read", readOne(came));
        EXPECT_TRUE(runUntil([&] { return came.has_value(); }));
        return came.value_or(false);
    }

    // Applies commands as if the log had committed an entry of another process.
    auto apply(std::vector<Control::Command> commands) -> void
    {
        Control::CommandBatch batch;
        batch.commands = std::move(commands);
        Replication::Entry entry;
        entry.payload = Utils::toCbor(batch);
        m_state.apply(entry);
    }

    SilentStarts m_endpoints;
    AsyncNet::asio::io_context m_loop{1};
    auto service() -> Service::ControlService & { return m_service; }
    auto log() -> FakeLog & { return m_log; }
    int m_announced = 0;    //!< Announcements that have been answered.
    std::string m_document; //!< The configuration that was read last.

private:
    auto sendOne(Wire::ControlRequest request, std::optional<Wire::ControlReply> &reply)
        -> AsyncNet::Task<void>
    {
        const auto client = std::make_shared<AsyncNet::FrameClient>(
            m_loop, "127.0.0.1:" + std::to_string(m_service.linkPort()));
        const auto connected = co_await client->connect(longestTest);
        EXPECT_TRUE(connected);
        const auto answer = co_await client->call(request, longestTest);
        EXPECT_TRUE(answer);
        reply = answer ? answer.value() : Wire::ControlReply();
        client->close();
    }
    auto announceOne(Service::Announcement announcement) -> AsyncNet::Task<void>
    {
        co_await m_service.announce(std::move(announcement));
        ++m_announced;
    }
    auto readOne(std::optional<bool> &came) -> AsyncNet::Task<void>
    {
        const auto document = co_await m_service.readConfiguration();
        came = document.has_value();
        m_document = document.value_or(std::string());
    }
    Utils::SystemClock m_clock;
    Utils::Metrics m_metrics;
    std::int64_t m_configurationVersion = 1;
    Control::StateReplica m_state{m_clock};
    FakeLog m_log{m_state};
    NoHosts m_hosts;
    Service::MemberTable m_members;
    Service::LeaderLink m_link{m_loop, {}, {}};
    Service::ControlService m_service{
        {m_loop, m_state, m_log, m_endpoints, m_hosts, m_clock, m_metrics, m_link, m_members},
        {"127.0.0.1:1", anyPort, {}, 0, accountRateWindow}};
};

/*! \brief A file that receives the log lines of this process. */
class LogFile
{
public:
    LogFile()
    {
        std::filesystem::remove(m_path);
        Utils::Log::initialize({Utils::Log::Level::Info, m_path, "c1", "z1"});
    }
    LogFile(const LogFile &) = delete;
    auto operator=(const LogFile &) -> LogFile & = delete;
    ~LogFile()
    {
        Utils::Log::initialize({});
        std::filesystem::remove(m_path);
    }
    // Returns the only line with this message, or null.
    auto line(std::string_view message) const -> Utils::Json
    {
        std::ifstream file(m_path);
        Utils::Json found;
        for (std::string text; std::getline(file, text);) {
            auto line = Utils::Json::parse(text);
            if (line["message"] != message)
                continue;
            EXPECT_TRUE(found.is_null());
            found = std::move(line);
        }
        return found;
    }

private:
    std::string m_path =
        testing::TempDir() + "tst_controlservice_" + std::to_string(getpid()) + ".jsonl";
};

// The order of the first session may still be carried out, and its run be taken for the second one.
TEST_F(ControlServiceTest, LeadingAgainAfterLostContactUsesNoRunNumberAgain)
{
    addJob();
    ASSERT_TRUE(runUntil([this] { return !m_endpoints.starts.empty(); }));
    interruptContact();
    EXPECT_TRUE(runUntil([this] { return m_endpoints.starts.size() > 1; }));
    std::set<std::int64_t> numbers;
    for (const auto &order : m_endpoints.starts)
        EXPECT_TRUE(numbers.insert(order.run).second) << order.run;
}

// A poll settles what an earlier session may have started, since its token makes those orders fail.
TEST_F(ControlServiceTest, LeadingAgainAfterLostContactRepeatsNoStartThatIsNotFenced)
{
    addJob();
    ASSERT_TRUE(runUntil([this] { return !m_endpoints.starts.empty(); }));
    interruptContact();
    EXPECT_TRUE(runUntil([this] { return m_endpoints.starts.size() > 1; }));
    for (std::size_t index = 1; index < m_endpoints.starts.size(); ++index)
        EXPECT_GT(m_endpoints.starts[index].target.fencingToken,
                  m_endpoints.starts[index - 1].target.fencingToken);
}

TEST_F(ControlServiceTest, LateAnnouncementOfTheFormerIncarnationDoesNotRemoveTheNextOne)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    m_endpoints.restartedMs["a"] = nextBornMs;
    auto late = record(firstBornMs);
    late.draining = true;
    // The first entry removes the former incarnation, the second one adds the next one.
    log().allow(1);
    announce(record(nextBornMs), 1);
    ASSERT_TRUE(runUntil([this] { return log().waits.load(); }));
    announce(late, 9);
    m_loop.run_for(conditionCheck);
    log().allow(std::numeric_limits<int>::max());
    ASSERT_TRUE(runUntil([this] { return m_announced == 2; }));
    addJob();
    announce(record(nextBornMs), 2);
    ASSERT_TRUE(runUntil([this] { return !m_endpoints.starts.empty(); }));
    EXPECT_EQ(m_endpoints.starts.front().target.incarnation.bornMs, nextBornMs);
}

// Guards against DRAIN: a message of another writer, with a high number, hid that the endpoint drains.
TEST_F(ControlServiceTest, AnnouncementForAnUnknownPoolDoesNotHideLaterOnes)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    auto foreign = record(firstBornMs);
    foreign.pool = "elsewhere";
    announce(foreign, 1000);
    auto draining = record(firstBornMs);
    draining.draining = true;
    announce(draining, 2);
    EXPECT_TRUE(runUntil([this] { return isKnownToDrain("a"); }));
}

// A former leader's commands are forwarded, and may be committed after the next one has begun.
TEST_F(ControlServiceTest, EndpointThatAFormerLeaderRecordedLateGetsTasks)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    auto late = record(nextBornMs);
    late.incarnation.id = "b";
    late.address = "b:1";
    Control::Command added;
    added.addEndpoint = late;
    auto draining = record(firstBornMs);
    draining.draining = true;
    apply({added});
    announce(draining, 1);
    announce(late, 2);
    ASSERT_TRUE(runUntil([this] { return m_announced == 2; }));
    addJob();
    EXPECT_TRUE(runUntil([this] { return !m_endpoints.starts.empty(); }));
}

// The endpoint would be acknowledged from then on, and get no tasks.
TEST_F(ControlServiceTest, EndpointWhoseRemovalCouldNotBeCommittedAtOnceGetsTasksAgain)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    log().failures = 1;
    m_endpoints.restartedMs["a"] = nextBornMs;
    ASSERT_TRUE(runUntil([this] { return log().failures == 0; }));
    m_endpoints.restartedMs.clear();
    addJob();
    std::int64_t sequence = 0;
    EXPECT_TRUE(runUntil([&] {
        announce(record(firstBornMs), ++sequence);
        return !m_endpoints.starts.empty();
    }));
}

// Callers know a queue by host and path prefix, never by its name.
TEST_F(ControlServiceTest, JobIsKnownAtItsAddressAfterItsQueueWasRenamed)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    using Wire::ControlCall;
    using Wire::ControlOutcome;
    ASSERT_EQ(ask(ControlCall::HAND_IN, "queue", "/a/").outcome, ControlOutcome::DONE);
    configure({queue("renamed", "/a/")});
    EXPECT_EQ(ask(ControlCall::JOB_STATE, "renamed", "/a/").outcome, ControlOutcome::DONE);
    EXPECT_EQ(ask(ControlCall::HAND_IN, "renamed", "/a/").outcome, ControlOutcome::DONE);
    EXPECT_EQ(ask(ControlCall::CANCEL_JOB, "renamed", "/a/").outcome, ControlOutcome::DONE);
    const auto state = ask(ControlCall::JOB_STATE, "renamed", "/a/");
    EXPECT_EQ(state.jobState, int(Service::CallerJobState::Cancelled));
}

TEST_F(ControlServiceTest, WaitingJobsAreCountedAtTheAddressOfTheirQueue)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    using Wire::ControlCall;
    m_endpoints.restartedMs["a"] = nextBornMs; // The job finds no endpoint.
    ASSERT_EQ(ask(ControlCall::HAND_IN, "queue", "/a/").outcome, Wire::ControlOutcome::DONE);
    configure({queue("queue", "/b/"), queue("renamed", "/a/")});
    EXPECT_EQ(ask(ControlCall::COUNT_WAITING, "renamed", "/a/").count, 1);
    EXPECT_EQ(ask(ControlCall::COUNT_WAITING, "queue", "/b/").count, 0);
    // An entry process with the former configuration.
    EXPECT_EQ(ask(ControlCall::COUNT_WAITING, "queue", "/a/").count, 1);
}

TEST_F(ControlServiceTest, JobIsNotKnownAtTheAddressOfAnotherQueueThatHasItsName)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    using Wire::ControlCall;
    using Wire::ControlOutcome;
    ASSERT_EQ(ask(ControlCall::HAND_IN, "queue", "/a/").outcome, ControlOutcome::DONE);
    configure({queue("queue", "/b/"), queue("renamed", "/a/")});
    EXPECT_EQ(ask(ControlCall::JOB_STATE, "queue", "/b/").outcome, ControlOutcome::UNKNOWN_NAME);
    EXPECT_EQ(ask(ControlCall::CANCEL_JOB, "queue", "/b/").outcome, ControlOutcome::UNKNOWN_NAME);
    // The job cannot be stored there as well, so that it must not be confirmed.
    EXPECT_EQ(ask(ControlCall::HAND_IN, "queue", "/b/").outcome, ControlOutcome::REFUSED);
    EXPECT_EQ(ask(ControlCall::JOB_STATE, "renamed", "/a/").outcome, ControlOutcome::DONE);
}

TEST_F(ControlServiceTest, EntryWithAFormerNameOfAQueueReachesIt)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    using Wire::ControlCall;
    using Wire::ControlOutcome;
    configure({queue("renamed", "/a/")});
    EXPECT_EQ(ask(ControlCall::HAND_IN, "queue", "/a/").outcome, ControlOutcome::DONE);
    EXPECT_EQ(ask(ControlCall::JOB_STATE, "queue", "/a/").outcome, ControlOutcome::DONE);
    EXPECT_EQ(ask(ControlCall::JOB_STATE, "renamed", "/a/").outcome, ControlOutcome::DONE);
    EXPECT_EQ(ask(ControlCall::HAND_IN, "queue", "/gone/").outcome, ControlOutcome::UNKNOWN_NAME);
}

TEST_F(ControlServiceTest, RequestsAndJobsOfOlderBuildsAreKnownByTheNameOfTheirQueue)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    using Wire::ControlCall;
    using Wire::ControlOutcome;
    addJob();
    EXPECT_EQ(ask(ControlCall::JOB_STATE, "queue", "").outcome, ControlOutcome::DONE);
    EXPECT_EQ(ask(ControlCall::JOB_STATE, "queue", "/a/").outcome, ControlOutcome::DONE);
    EXPECT_EQ(ask(ControlCall::JOB_STATE, "other", "").outcome, ControlOutcome::UNKNOWN_NAME);
    configure({queue("renamed", "/a/")});
    EXPECT_EQ(ask(ControlCall::JOB_STATE, "renamed", "/a/").outcome, ControlOutcome::DONE);
}

// The endpoint is full after the first job; each job takes it for a second.
TEST_F(ControlServiceTest, WorkBeyondARateThatCannotBeInTimeIsRefusedAndNotRun)
{
    configureAccount();
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    const LogFile log;
    auto refused = 0;
    constexpr auto jobs = 12;
    for (auto number = 0; number < jobs; ++number) {
        const auto id = "job-" + std::to_string(number);
        const auto reply = submit(id);
        if (reply.outcome == Wire::ControlOutcome::DONE) {
            // The second copy of a submission does not count.
            EXPECT_EQ(submit(id).outcome, Wire::ControlOutcome::DONE);
            EXPECT_EQ(beyondRate(id), number >= 2) << number;
            continue;
        }
        ++refused;
        EXPECT_EQ(reply.outcome, Wire::ControlOutcome::REFUSED);
        EXPECT_GE(reply.retryAfterMs, 1000);
        EXPECT_FALSE(beyondRate(id).has_value()) << number;
    }
    EXPECT_GT(refused, 0);
    EXPECT_LE(refused, jobs - 2);
}

TEST_F(ControlServiceTest, ARefusalNamesTheAccountAndTheBacklog)
{
    configureAccount();
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    const LogFile log;
    auto number = 0;
    while (number < 20 && submit("job-" + std::to_string(number)).retryAfterMs == 0)
        ++number;
    const auto line = log.line("refused a job at its submission");
    EXPECT_EQ(line["job"], "job-" + std::to_string(number));
    EXPECT_EQ(line["account"], "account");
    EXPECT_EQ(line["queue"], "queue");
    EXPECT_EQ(line["reason"], "beyond the rate");
    EXPECT_GT(line["backlog_ms"].get<std::int64_t>(), 0);
    EXPECT_GE(line["retry_after_ms"].get<std::int64_t>(), 1000);
}

// What earlier leaders have accepted is in the log; the allowance is not.
TEST_F(ControlServiceTest, ANewTermBeginsWithTheFullAllowance)
{
    configureAccount();
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    for (const auto *id : {"first", "second", "third"})
        EXPECT_EQ(submit(id).outcome, Wire::ControlOutcome::DONE);
    EXPECT_EQ(beyondRate("third"), true);
    interruptContact();
    EXPECT_EQ(submit("fourth").outcome, Wire::ControlOutcome::DONE);
    EXPECT_EQ(beyondRate("fourth"), false);
    EXPECT_EQ(beyondRate("third"), true);
}

TEST_F(ControlServiceTest, CallsNeedAKeyOnceThereAreAccounts)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    using Wire::ControlCall;
    using Wire::ControlOutcome;
    for (const auto isPublic : {false, true}) {
        configureAccounts(isPublic);
        const auto anonymous = isPublic ? ControlOutcome::DONE : ControlOutcome::UNAUTHORIZED;
        for (const auto call : {ControlCall::HAND_IN,
                                ControlCall::JOB_STATE,
                                ControlCall::CANCEL_JOB,
                                ControlCall::COUNT_WAITING}) {
            EXPECT_EQ(outcomeWith("no key", call), ControlOutcome::UNAUTHORIZED) << call;
            EXPECT_EQ(outcomeWith("", call), anonymous) << call;
        }
        EXPECT_EQ(outcomeWith("", ControlCall::HAND_IN, "/gone/"), ControlOutcome::UNKNOWN_NAME);
        EXPECT_EQ(outcomeWith("", ControlCall::COUNT_WAITING, "/gone/"),
                  ControlOutcome::UNKNOWN_NAME);
        EXPECT_EQ(outcomeWith(firstKey, ControlCall::COUNT_WAITING), ControlOutcome::DONE);
    }
    const auto metrics = metricsText();
    EXPECT_NE(metrics.find(R"(trefoilshelf_key_refusals_total{reason="missing"} 4)"),
              std::string::npos);
    EXPECT_NE(metrics.find(R"(trefoilshelf_key_refusals_total{reason="unknown"} 8)"),
              std::string::npos);
}

TEST_F(ControlServiceTest, JobIsKnownToItsAccountAlone)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    using Wire::ControlCall;
    using Wire::ControlOutcome;
    configureAccounts(true);
    ASSERT_EQ(outcomeWith(firstKey, ControlCall::HAND_IN), ControlOutcome::DONE);
    EXPECT_EQ(accountOfJob(), "first");
    for (const auto *stranger : {otherKey, ""}) {
        EXPECT_EQ(outcomeWith(stranger, ControlCall::JOB_STATE), ControlOutcome::UNKNOWN_NAME);
        EXPECT_EQ(outcomeWith(stranger, ControlCall::CANCEL_JOB), ControlOutcome::UNKNOWN_NAME);
        EXPECT_EQ(outcomeWith(stranger, ControlCall::HAND_IN), ControlOutcome::REFUSED);
    }
    EXPECT_EQ(outcomeWith(firstKey, ControlCall::HAND_IN), ControlOutcome::DONE);
    EXPECT_EQ(outcomeWith(firstKey, ControlCall::CANCEL_JOB), ControlOutcome::DONE);
}

TEST_F(ControlServiceTest, JobFromBeforeThereWereAccountsIsKnownToAll)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    using Wire::ControlCall;
    using Wire::ControlOutcome;
    ASSERT_EQ(outcomeWith("", ControlCall::HAND_IN), ControlOutcome::DONE);
    configureAccounts();
    EXPECT_EQ(outcomeWith("", ControlCall::JOB_STATE), ControlOutcome::UNAUTHORIZED);
    for (const auto *key : {firstKey, otherKey}) {
        EXPECT_EQ(outcomeWith(key, ControlCall::JOB_STATE), ControlOutcome::DONE);
        EXPECT_EQ(outcomeWith(key, ControlCall::HAND_IN), ControlOutcome::DONE);
    }
    EXPECT_EQ(accountOfJob(), "");
}

// A process that was suspended, or is cut off, may not know of a configuration that takes a key away.
TEST_F(ControlServiceTest, LeaderThatIsNotConfirmedAnswersNoCallerWhereThereAreAccounts)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    using Wire::ControlCall;
    using Wire::ControlOutcome;
    const auto calls = {ControlCall::HAND_IN, ControlCall::JOB_STATE, ControlCall::COUNT_WAITING};
    log().proofAgeMs = 1001;
    for (const auto call : calls)
        EXPECT_EQ(outcomeWith("", call), ControlOutcome::DONE) << call;
    configureAccounts(true);
    for (const auto *key : {firstKey, "taken away", ""}) {
        for (const auto call : calls)
            EXPECT_EQ(outcomeWith(key, call), ControlOutcome::NOT_LEADER) << call;
    }
    EXPECT_NE(metricsText().find(R"(trefoilshelf_key_refusals_total{reason="not confirmed"} 9)"),
              std::string::npos);
    log().proofAgeMs = 1000;
    for (const auto call : calls)
        EXPECT_EQ(outcomeWith(firstKey, call), ControlOutcome::DONE) << call;
    log().provenTerm = firstTerm + 1;
    EXPECT_EQ(outcomeWith(firstKey, ControlCall::JOB_STATE), ControlOutcome::NOT_LEADER);
}

// The key was checked by what the process knew in the term; another one may lead since.
TEST_F(ControlServiceTest, CallsAreCommittedInTheTermAloneInWhichTheirKeyWasChecked)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    using Wire::ControlCall;
    using Wire::ControlOutcome;
    EXPECT_EQ(outcomeWith("", ControlCall::HAND_IN), ControlOutcome::DONE);
    EXPECT_EQ(log().boundTerm, 0U);
    configureAccounts();
    log().boundTerm = 0;
    EXPECT_EQ(outcomeWith(firstKey, ControlCall::CANCEL_JOB), ControlOutcome::DONE);
    EXPECT_EQ(log().boundTerm, firstTerm);
}

// Its caller sent it before the configuration was confirmed.
TEST_F(ControlServiceTest, SubmissionInFlightIsAcceptedThoughItsKeyIsTakenAwayMeanwhile)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    configureAccounts();
    log().allow(0);
    std::optional<Wire::ControlReply> reply;
    startAsk(Wire::ControlCall::HAND_IN, firstKey, reply);
    ASSERT_TRUE(runUntil([this] { return log().waits.load(); }));
    configure({queue("queue", "/a/")}, {{{"first", {Accounts::digestOf(otherKey)}, 0, {}}}});
    log().allow(std::numeric_limits<int>::max());
    ASSERT_TRUE(runUntil([&] { return reply.has_value(); }));
    EXPECT_EQ(reply->outcome, Wire::ControlOutcome::DONE);
    EXPECT_EQ(outcomeWith(firstKey, Wire::ControlCall::HAND_IN),
              Wire::ControlOutcome::UNAUTHORIZED);
    EXPECT_EQ(outcomeWith(otherKey, Wire::ControlCall::JOB_STATE), Wire::ControlOutcome::DONE);
}

TEST_F(ControlServiceTest, DocumentWithKeysIsSealedBeforeTheCommitAndReadBackAsItWasSent)
{
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    Control::Configuration configuration;
    configuration.version = 9;
    configuration.accounts.emplace();
    configuration.document = "{ \"version\": 9 }\n";
    auto put = false;
    AsyncNet::start(m_loop, "put", putOne(configuration, put));
    ASSERT_TRUE(runUntil([&] { return put; }));
    EXPECT_TRUE(hasSealedDocument());
    EXPECT_TRUE(readConfiguration());
    EXPECT_EQ(m_document, configuration.document);
}

TEST_F(ControlServiceTest, LineOfARefusedKeyHasTheBeginningOfItsDigestAlone)
{
    const LogFile file;
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    configureAccounts();
    EXPECT_EQ(outcomeWith("taken away", Wire::ControlCall::JOB_STATE),
              Wire::ControlOutcome::UNAUTHORIZED);
    const auto line = file.line("refused the key of a request");
    ASSERT_TRUE(line.is_object());
    EXPECT_EQ(line["key_digest"], Accounts::digestOf("taken away").substr(0, 8));
    EXPECT_EQ(line["reason"], "unknown");
    EXPECT_EQ(line["queue"], "queue");
}

TEST_F(ControlServiceTest, AnsweredReadOfTheConfigurationIsLogged)
{
    const LogFile file;
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    EXPECT_TRUE(readConfiguration());
    const auto line = file.line("answered a read of the configuration");
    ASSERT_TRUE(line.is_object());
    EXPECT_EQ(line["term"], firstTerm);
    EXPECT_TRUE(line["took_ms"].is_number_integer());
    EXPECT_TRUE(line["bytes"].is_number_integer());
}

TEST_F(ControlServiceTest, ReadOfTheConfigurationAtAProcessThatDoesNotLeadIsLoggedAsRefused)
{
    const LogFile file;
    log().hasQuorum = false;
    EXPECT_FALSE(readConfiguration());
    const auto line = file.line("refused a read of the configuration");
    ASSERT_TRUE(line.is_object());
    EXPECT_EQ(line["reason"], "does not lead");
    EXPECT_EQ(line["leads"], false);
    EXPECT_EQ(line["has_quorum"], false);
    EXPECT_EQ(line["term"], firstTerm);
}

TEST_F(ControlServiceTest, ReadOfTheConfigurationThatCannotBeConfirmedIsLoggedAsRefused)
{
    const LogFile file;
    ASSERT_TRUE(runUntil([this] { return service().leads(); }));
    log().failures = 1;
    EXPECT_FALSE(readConfiguration());
    const auto line = file.line("refused a read of the configuration");
    ASSERT_TRUE(line.is_object());
    EXPECT_EQ(line["reason"], "lost the leadership while it confirmed it");
    EXPECT_EQ(line["leads"], true);
}

} // namespace
