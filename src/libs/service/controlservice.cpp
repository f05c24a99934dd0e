#include "controlservice.h"

#include "addresses.h"
#include "leadershipstep.h"

#include "utils/cbor.h"
#include "utils/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>
#include <string_view>

namespace Service {
namespace {

constexpr Utils::Milliseconds leadershipCheck{30};
constexpr Utils::Milliseconds relayInterval{200};
// Control processes send a hello request to the leader every 500 ms.
constexpr Utils::Milliseconds relayAge{5000};
// With fewer endpoints, the extra messages cost the leader more than the calls that relays save.
constexpr std::size_t minimumEndpointsForRelays = 64;
// Relays in use are kept until the number of endpoints falls below this one.
constexpr std::size_t minimumEndpointsToKeepRelays = 40;
constexpr std::int64_t submissionLinesPerSecond = 40;
constexpr std::int64_t readLinesPerSecond = 40;
// Maximum time for which the reply to a request for a newer configuration is delayed. Must be
// shorter than the 6 s that entry processes wait for the reply.
constexpr Utils::Milliseconds configurationWait{4000};
// Maximum age of the number of waiting jobs that is reported to callers.
constexpr Utils::Milliseconds countAge{250};
// Replies list the control processes whose last hello request is at most this old.
constexpr Utils::Milliseconds memberAge{30'000};

auto reply(Wire::ControlOutcome::type outcome) -> Wire::ControlReply
{
    Wire::ControlReply reply;
    reply.outcome = outcome;
    return reply;
}

auto addressIn(const Wire::ControlRequest &request) -> Jobs::QueueAddress
{
    return {request.host, request.pathPrefix};
}

// Returns the job of the request, or nullptr if callers do not find it at the queue that they name.
auto findJob(const Control::State &state, const Wire::ControlRequest &request) -> const Jobs::Job *
{
    const auto *job = state.jobs.find(request.jobId);
    const auto found =
        job != nullptr
        && state.configuration.holdsJob(addressIn(request), request.queue, job->spec);
    return found ? job : nullptr;
}

// Returns the name that the queue has now, or its former one if there is no such queue any more.
auto nameOfQueue(const Control::Configuration &configuration,
                 const Jobs::QueueAddress &address,
                 const std::string &name) -> std::string
{
    const auto *queue = configuration.findQueue(address, name);
    return queue != nullptr ? queue->name : name;
}

// Sets the name and the pool of the job's queue as they are in force here: the configuration of the
// entry process may be older. Returns false if there is no such queue.
auto takeQueue(const Control::Configuration &configuration,
               const Wire::ControlRequest &request,
               Jobs::JobSpec &job) -> bool
{
    const auto *queue = configuration.findQueue(addressIn(request), job.queue);
    if (queue == nullptr)
        return false;
    job.queue = queue->name;
    job.pool = queue->pool;
    return true;
}

// Returns the outcome of a submission that needs no commit. Otherwise completes the job.
auto answerKnown(const Control::State &state,
                 const Wire::ControlRequest &request,
                 Jobs::JobSpec &job) -> std::optional<Wire::ControlOutcome::type>
{
    if (findJob(state, request) != nullptr)
        return Wire::ControlOutcome::DONE;
    if (!takeQueue(state.configuration, request, job))
        return Wire::ControlOutcome::UNKNOWN_NAME;
    // Tasks are named after their job, so that two queues cannot have jobs with the same id.
    if (state.jobs.find(job.id) != nullptr)
        return Wire::ControlOutcome::REFUSED;
    return std::nullopt;
}

auto outcomeFor(Execution::CommitResult result) -> Outcome
{
    switch (result) {
    case Execution::CommitResult::Committed:
        return Outcome::Done;
    case Execution::CommitResult::NotCommitted:
        return Outcome::NotLeader;
    case Execution::CommitResult::Unknown:
        break;
    }
    return Outcome::Unknown;
}

// Returns why a read of the configuration is refused after a commit with this result.
auto refusalFor(Execution::CommitResult result) -> std::string_view
{
    switch (result) {
    case Execution::CommitResult::Committed:
        return "there is no configuration";
    case Execution::CommitResult::NotCommitted:
        return "lost the leadership while it confirmed it";
    case Execution::CommitResult::Unknown:
        break;
    }
    return "could not confirm its leadership in time";
}

auto documentOf(const Control::State &state) -> std::optional<std::string>
{
    if (state.configuration.version == 0)
        return std::nullopt;
    return state.configuration.document;
}

auto callerJobState(const Jobs::Job &job, bool started) -> CallerJobState
{
    switch (job.state) {
    case Jobs::JobState::Done:
        return CallerJobState::Done;
    case Jobs::JobState::Failed:
        return CallerJobState::Failed;
    case Jobs::JobState::Cancelled:
        return CallerJobState::Cancelled;
    case Jobs::JobState::Active:
        break;
    }
    return started || !job.occurrences.empty() ? CallerJobState::Running : CallerJobState::Queued;
}

} // namespace

ControlService::ControlService(ControlParts parts, ControlOptions options)
    : m_parts(parts)
    , m_options(std::move(options))
    , m_committer(parts.loop, parts.log, parts.state, parts.clock)
    , m_relay(parts.loop, parts.endpoints, parts.clock)
    , m_endpoints(parts.loop, parts.endpoints, parts.clock)
    , m_server(parts.loop, [this](Wire::ControlRequest request) { return handle(request); })
    , m_configurationChanged(parts.loop)
    , m_submissionLogBudget("hand-ins", submissionLinesPerSecond)
    , m_readLines("reads of the configuration", readLinesPerSecond)
    , m_refusedReadLines("refused reads of the configuration", readLinesPerSecond)
{}

ControlService::~ControlService() = default;

auto ControlService::start() -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(m_server.start(m_options.listenAddress));
    AsyncNet::start(m_parts.loop, "leadership", watchLeadership());
    return Utils::success();
}

auto ControlService::stop() -> void
{
    m_stopped = true;
    m_relay.leave();
    if (m_session)
        m_session->end();
    m_session.reset();
}

auto ControlService::stateChanged() -> void
{
    const auto version =
        m_parts.state.read([](const Control::State &state) { return state.configuration.version; });
    if (std::exchange(m_notifiedVersion, version) != version)
        m_configurationChanged.notify();
    if (m_session)
        m_session->stateChanged();
}

auto ControlService::session() const -> Execution::LeaderSession *
{
    return m_session && m_session->isActive() ? m_session.get() : nullptr;
}

auto ControlService::linkPort() const -> int
{
    return m_server.port();
}

auto ControlService::leads() const -> bool
{
    return session() != nullptr;
}

auto ControlService::leaderAddress() const -> std::string
{
    if (leads())
        return m_options.linkAddress;
    const auto found = m_parts.link.leader();
    return found.empty() ? logLeaderAddress() : found;
}

auto ControlService::watchLeadership() -> AsyncNet::Task<void>
{
    while (!m_stopped) {
        const auto status = m_parts.log.status();
        const auto leads = status.role == Replication::Role::Leader && status.hasQuorum;
        const auto term = std::int64_t(status.term);
        if (m_session && (!leads || m_session->term() != term || !m_session->isActive())) {
            m_session->end();
            m_session.reset();
        }
        if (!m_session) {
            const auto step = nextLeadershipStep(status, m_lastSessionTerm);
            if (step == LeadershipStep::BeginSession)
                co_await beginSession(status.term);
            else if (step == LeadershipStep::Resign)
                m_parts.log.resign(status.term);
        }
        if (m_stopped)
            co_return;
        updateRelays();
        co_await AsyncNet::pause(leadershipCheck);
    }
}

auto ControlService::beginSession(std::uint64_t term) -> AsyncNet::Task<void>
{
    // After this commit, all entries that earlier leaders committed are applied here.
    Control::Command beginTerm;
    beginTerm.beginTerm.emplace();
    const auto ready = co_await commit(std::move(beginTerm));
    const auto current = m_parts.log.status();
    if (m_stopped || ready != Execution::CommitResult::Committed
        || current.role != Replication::Role::Leader || current.term != term)
        co_return;
    m_session =
        std::make_shared<Execution::LeaderSession>(Execution::LeaderParts{m_parts.loop,
                                                                          m_parts.state,
                                                                          m_endpoints,
                                                                          m_committer,
                                                                          m_parts.hosts,
                                                                          m_parts.clock,
                                                                          m_parts.metrics,
                                                                          m_options.hostOrdersPerS},
                                                   m_options.timing,
                                                   std::int64_t(term));
    m_lastSessionTerm = term;
    m_sequences.clear();
    m_session->start();
}

// Lets other control processes call the endpoints if there are too many for the leader alone.
auto ControlService::updateRelays() -> void
{
    const auto now = m_parts.clock.now();
    if (now - m_relaysUpdatedAt < relayInterval)
        return;
    m_relaysUpdatedAt = now;
    std::vector<RelayAddress> relays;
    const auto needed =
        m_endpoints.usesRelays() ? minimumEndpointsToKeepRelays : minimumEndpointsForRelays;
    if (leads() && m_session->ledger().endpoints().size() >= needed) {
        for (const auto &member : m_parts.members.recent(now, relayAge)) {
            const auto address = linkAddressOf(member.identity.address);
            if (address != m_options.linkAddress)
                relays.push_back({address, member.identity.zone});
        }
    }
    const auto term = m_session ? m_session->term() : 0;
    m_endpoints.use(relays, m_options.linkAddress + '/' + std::to_string(term));
}

auto ControlService::commit(Control::Command command) -> AsyncNet::Task<Execution::CommitResult>
{
    std::vector<Control::Command> commands;
    commands.push_back(std::move(command));
    co_return co_await m_committer.commit(std::move(commands));
}

auto ControlService::commitNoOp() -> AsyncNet::Task<Execution::CommitResult>
{
    Control::Command noOp;
    co_return co_await commit(std::move(noOp));
}

auto ControlService::notLeader() const -> Wire::ControlReply
{
    auto answer = reply(Wire::ControlOutcome::NOT_LEADER);
    answer.leaderAddress = leaderAddress();
    return answer;
}

// The entry process sends a request that was not committed to the next leader.
auto ControlService::replyFor(Execution::CommitResult result) const -> Wire::ControlReply
{
    switch (result) {
    case Execution::CommitResult::Committed:
        return reply(Wire::ControlOutcome::DONE);
    case Execution::CommitResult::NotCommitted:
        return notLeader();
    case Execution::CommitResult::Unknown:
        break;
    }
    return reply(Wire::ControlOutcome::OUTCOME_UNKNOWN);
}

// Returns the link address of the leader that the replicated log reports, or an empty string.
auto ControlService::logLeaderAddress() const -> std::string
{
    const auto status = m_parts.log.status();
    const auto leader = std::ranges::find(status.voters, status.leaderId, &Replication::Voter::id);
    return leader != status.voters.end() ? linkAddressOf(leader->address) : std::string();
}

// Returns the addresses that the link knows, and those of voters and recent members, since the
// seeds may be incomplete or all be down.
auto ControlService::knownMembers() const -> std::vector<std::string>
{
    std::set<std::string> addresses(m_parts.link.members());
    addresses.insert(m_options.linkAddress);
    for (const auto &voter : m_parts.log.status().voters)
        addresses.insert(linkAddressOf(voter.address));
    for (const auto &member : m_parts.members.recent(m_parts.clock.now(), memberAge))
        addresses.insert(linkAddressOf(member.identity.address));
    return {addresses.begin(), addresses.end()};
}

auto ControlService::handle(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>
{
    if (request.call == Wire::ControlCall::HELLO)
        co_return hello(request);
    if (request.call == Wire::ControlCall::CARRY_OUT) {
        m_relay.carryOut(request);
        co_return reply(Wire::ControlOutcome::DONE);
    }
    if (request.call == Wire::ControlCall::COLLECT_ANSWERS) {
        auto answers = co_await m_relay.collect(std::move(request));
        co_return answers;
    }
    if (!leads())
        co_return notLeader();
    switch (request.call) {
    case Wire::ControlCall::HAND_IN:
        co_return co_await submitJob(std::move(request));
    case Wire::ControlCall::JOB_STATE:
        co_return jobState(request);
    case Wire::ControlCall::CANCEL_JOB:
        co_return co_await cancel(std::move(request));
    case Wire::ControlCall::COUNT_WAITING:
        co_return countWaiting(request);
    case Wire::ControlCall::AWAIT_CONFIGURATION:
        co_return co_await awaitConfiguration(std::move(request));
    case Wire::ControlCall::HELLO:
    case Wire::ControlCall::CARRY_OUT:
    case Wire::ControlCall::COLLECT_ANSWERS:
        break;
    }
    co_return reply(Wire::ControlOutcome::REFUSED);
}

auto ControlService::hello(const Wire::ControlRequest &request) -> Wire::ControlReply
{
    const auto now = m_parts.clock.now();
    if (!request.processId.empty())
        m_parts.members.update({request.processId, request.zone, request.address}, now);
    auto answer = leads() ? reply(Wire::ControlOutcome::DONE) : notLeader();
    answer.members = knownMembers();
    if (leads())
        answer.leaderAddress = m_options.linkAddress;
    return answer;
}

auto ControlService::submitJob(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>
{
    auto job = Utils::fromCbor<Jobs::JobSpec>(request.job);
    if (!job) {
        Utils::Log::warning(
            "service", "cannot decode a submitted job", {{"reason", job.error().details}});
        co_return reply(Wire::ControlOutcome::REFUSED);
    }
    auto &spec = job.value();
    const auto answer = m_parts.state.read(
        [&](const Control::State &state) { return answerKnown(state, request, spec); });
    if (answer)
        co_return reply(*answer);
    spec.submittedMs = m_parts.clock.wallTime();
    const auto id = spec.id;
    const auto queue = spec.queue;
    Control::Command command;
    command.submitJob = std::move(spec);
    const auto result = co_await commit(std::move(command));
    const auto committed = result == Execution::CommitResult::Committed;
    m_parts.metrics.count("trefoilshelf_hand_ins_total",
                          {{"result", committed ? "accepted" : "not confirmed"}});
    if (m_submissionLogBudget.allow(m_parts.clock.now()))
        Utils::Log::info("service",
                         "a job was handed in",
                         {{"job", id}, {"queue", queue}, {"committed", committed}});
    if (auto *active = session())
        active->wake();
    co_return replyFor(result);
}

auto ControlService::jobState(const Wire::ControlRequest &request) -> Wire::ControlReply
{
    const auto started = m_session->ledger().hasStarted(request.jobId);
    return m_parts.state.read([&](const Control::State &state) {
        const auto *job = findJob(state, request);
        if (job == nullptr)
            return reply(Wire::ControlOutcome::UNKNOWN_NAME);
        auto answer = reply(Wire::ControlOutcome::DONE);
        answer.jobState = int(callerJobState(*job, started));
        return answer;
    });
}

auto ControlService::cancel(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>
{
    const auto known = m_parts.state.read(
        [&](const Control::State &state) { return findJob(state, request) != nullptr; });
    if (!known)
        co_return reply(Wire::ControlOutcome::UNKNOWN_NAME);
    Control::Command command;
    command.cancelJob = request.jobId;
    const auto result = co_await commit(std::move(command));
    Utils::Log::info(
        "service",
        "processed a job cancellation",
        {{"job", request.jobId}, {"committed", result == Execution::CommitResult::Committed}});
    if (auto *active = session())
        active->wake();
    co_return replyFor(result);
}

auto ControlService::countWaiting(const Wire::ControlRequest &request) -> Wire::ControlReply
{
    if (m_parts.clock.now() - m_waitingJobsCountedAt > countAge)
        countWaitingJobs();
    auto answer = reply(Wire::ControlOutcome::DONE);
    const auto queue = m_parts.state.read([&](const Control::State &state) {
        return nameOfQueue(state.configuration, addressIn(request), request.queue);
    });
    if (const auto waiting = m_waitingJobs.find(queue); waiting != m_waitingJobs.end())
        answer.count = waiting->second;
    return answer;
}

auto ControlService::countWaitingJobs() -> void
{
    m_waitingJobsCountedAt = m_parts.clock.now();
    m_waitingJobs.clear();
    m_parts.state.read([this](const Control::State &state) {
        for (const auto &id : state.jobs.activeIds()) {
            const auto *job = state.jobs.find(id);
            if (job->occurrences.empty() && !m_session->ledger().hasStarted(id))
                ++m_waitingJobs[nameOfQueue(
                    state.configuration, job->spec.address, job->spec.queue)];
        }
    });
}

auto ControlService::routesNewerThan(std::int64_t version) -> std::string
{
    m_parts.state.read([this](const Control::State &state) { m_routes.add(state.configuration); });
    if (m_routes.newestVersion() <= version)
        return {};
    if (std::exchange(m_encodedVersion, m_routes.newestVersion()) != m_routes.newestVersion())
        m_encodedUpdates.clear();
    // Many entry processes request the same update at the same time, so its encoding is cached.
    auto &encoded = m_encodedUpdates[version];
    if (encoded.empty())
        encoded = Utils::toCbor(m_routes.updateFrom(version));
    return encoded;
}

auto ControlService::awaitConfiguration(Wire::ControlRequest request)
    -> AsyncNet::Task<Wire::ControlReply>
{
    auto answer = reply(Wire::ControlOutcome::DONE);
    answer.configuration = routesNewerThan(request.version);
    if (answer.configuration.empty()) {
        co_await m_configurationChanged.waitFor(configurationWait);
        if (!leads())
            co_return notLeader();
        answer.configuration = routesNewerThan(request.version);
    }
    co_return answer;
}

// An address belongs to one process, so an earlier incarnation at the address has ended.
auto ControlService::removeReplacedIncarnations(const Control::EndpointRecord &record)
    -> AsyncNet::Task<bool>
{
    std::vector<Control::EndpointIncarnation> replaced;
    const auto stale = m_parts.state.read([&](const Control::State &state) {
        for (const auto &[id, known] : state.endpoints) {
            if (known.record.address != record.address
                || known.record.incarnation == record.incarnation)
                continue;
            if (known.record.incarnation.bornMs > record.incarnation.bornMs)
                return true;
            replaced.push_back(known.record.incarnation);
        }
        return false;
    });
    if (stale)
        co_return false;
    std::vector<Control::Command> commands;
    for (const auto &incarnation : replaced) {
        Control::Command command;
        command.removeEndpoint = incarnation;
        commands.push_back(std::move(command));
        if (auto *active = session())
            active->endpointReplaced(incarnation);
    }
    if (!commands.empty())
        co_await m_committer.commit(std::move(commands));
    co_return true;
}

auto ControlService::announce(Announcement announcement) -> AsyncNet::Task<Outcome>
{
    if (!leads())
        co_return Outcome::NotLeader;
    auto &record = announcement.record;
    auto &sequence = m_sequences[record.incarnation];
    if (announcement.sequence <= sequence)
        co_return Outcome::Done;
    sequence = announcement.sequence;
    enum class RecordState { Known, New, Stale };
    const auto recordState = m_parts.state.read([&](const Control::State &state) {
        if (state.configuration.findPool(record.pool) == nullptr)
            return RecordState::Stale;
        const auto found = state.endpoints.find(record.incarnation.id);
        if (found == state.endpoints.end())
            return RecordState::New;
        const auto &known = found->second.record;
        if (known.incarnation.bornMs > record.incarnation.bornMs)
            return RecordState::Stale;
        const auto same = known.incarnation == record.incarnation && known.pool == record.pool
                          && known.address == record.address && known.labels == record.labels
                          && known.capacity == record.capacity
                          && (known.draining || !record.draining);
        return same ? RecordState::Known : RecordState::New;
    });
    if (recordState != RecordState::New)
        co_return Outcome::Done;
    const auto newest = co_await removeReplacedIncarnations(record);
    if (!newest)
        co_return Outcome::Done;
    Utils::Log::info("service",
                     "received an announcement of a new or changed endpoint",
                     {{"endpoint", record.incarnation.id},
                      {"born", record.incarnation.bornMs},
                      {"pool", record.pool},
                      {"address", record.address},
                      {"draining", record.draining}});
    Control::Command command;
    command.addEndpoint = record;
    const auto result = co_await commit(std::move(command));
    auto *active = session();
    if (active == nullptr || result != Execution::CommitResult::Committed)
        m_sequences.erase(record.incarnation);
    else
        active->stateChanged();
    co_return outcomeFor(result);
}

auto ControlService::leave(std::string endpoint, std::int64_t bornMs) -> AsyncNet::Task<Outcome>
{
    if (!leads())
        co_return Outcome::NotLeader;
    auto record = m_parts.state.read(
        [&](const Control::State &state) -> std::optional<Control::EndpointRecord> {
            const auto found = state.endpoints.find(endpoint);
            const auto known =
                found != state.endpoints.end()
                && (bornMs == 0 || found->second.record.incarnation.bornMs == bornMs);
            return known ? std::optional(found->second.record) : std::nullopt;
        });
    if (!record)
        co_return Outcome::Done;
    record->draining = true;
    Control::Command command;
    command.addEndpoint = *record;
    const auto result = co_await commit(std::move(command));
    if (auto *active = session())
        active->markEndpointLeaving(record->incarnation);
    Utils::Log::info(
        "service", "received a deregistration from an endpoint", {{"endpoint", endpoint}});
    co_return outcomeFor(result);
}

auto ControlService::putConfiguration(Control::Configuration configuration)
    -> AsyncNet::Task<Outcome>
{
    if (!leads())
        co_return Outcome::NotLeader;
    const auto version = configuration.version;
    Control::Command command;
    const auto held =
        m_parts.state.read([](const Control::State &state) { return state.configuration.version; });
    // A version that is not newer is acknowledged without effect.
    if (version > held)
        command.configuration = std::move(configuration);
    const auto result = co_await commit(std::move(command));
    Utils::Log::info("service",
                     "processed a configuration update",
                     {{"version", version},
                      {"held", held},
                      {"committed", result == Execution::CommitResult::Committed}});
    co_return outcomeFor(result);
}

auto ControlService::readConfiguration() -> AsyncNet::Task<std::optional<std::string>>
{
    const auto started = m_parts.clock.now();
    std::optional<std::string> document;
    std::string_view refusal = "does not lead";
    // A commit proves that no other leader has accepted a newer configuration.
    if (leads()) {
        const auto confirmed = co_await commitNoOp();
        refusal = refusalFor(confirmed);
        if (confirmed == Execution::CommitResult::Committed)
            document = m_parts.state.read(documentOf);
    }
    logConfigurationRead(document, refusal, started);
    co_return document;
}

auto ControlService::logConfigurationRead(const std::optional<std::string> &document,
                                          std::string_view refusal,
                                          Utils::Instant started) -> void
{
    const auto now = m_parts.clock.now();
    const auto tookMs = (now - started).count();
    const auto status = m_parts.log.status();
    if (document) {
        if (m_readLines.allow(now))
            Utils::Log::info(
                "service",
                "answered a read of the configuration",
                {{"took_ms", tookMs}, {"bytes", document->size()}, {"term", status.term}});
        return;
    }
    if (m_refusedReadLines.allow(now))
        Utils::Log::warning("service",
                            "refused a read of the configuration",
                            {{"reason", refusal},
                             {"took_ms", tookMs},
                             {"term", status.term},
                             {"leads", leads()},
                             {"has_quorum", status.hasQuorum},
                             {"leader", leaderAddress()}});
}

auto ControlService::startWave(Control::Wave wave) -> AsyncNet::Task<Outcome>
{
    if (!leads())
        co_return Outcome::NotLeader;
    Utils::Log::info("service",
                     "received a request for a maintenance wave",
                     {{"wave", wave.number},
                      {"hosts", wave.hosts.size()},
                      {"at_once", wave.maximumAtOnce},
                      {"duration_ms", wave.durationMs}});
    wave.startedMs = m_parts.clock.wallTime();
    Control::Command command;
    command.startWave = std::move(wave);
    co_return outcomeFor(co_await commit(std::move(command)));
}

auto ControlService::isWaveDone(std::int64_t number) -> AsyncNet::Task<std::optional<bool>>
{
    if (!leads())
        co_return std::nullopt;
    co_return m_parts.state.read([number](const Control::State &state) -> std::optional<bool> {
        const auto found = state.waves.find(number);
        return found != state.waves.end() ? std::optional(found->second.isDone()) : std::nullopt;
    });
}

} // namespace Service
