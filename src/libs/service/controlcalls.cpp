// Implements the part of ControlService that answers the calls of entry and control processes.
#include "controlservice.h"

#include "addresses.h"

#include "utils/cbor.h"
#include "utils/log.h"

#include <set>

namespace Service {
namespace {

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

auto overloaded(std::int64_t retryAfterMs) -> Wire::ControlReply
{
    auto refused = reply(Wire::ControlOutcome::REFUSED);
    refused.retryAfterMs = retryAfterMs;
    return refused;
}

auto addressIn(const Wire::ControlRequest &request) -> Jobs::QueueAddress
{
    return {request.host, request.pathPrefix};
}

// Returns the job of the request, or nullptr if the caller does not find it at the queue that it names.
auto findJob(const Control::State &state,
             const Wire::ControlRequest &request,
             const Control::Authorization &caller) -> const Jobs::Job *
{
    const auto *job = state.jobs.find(request.jobId);
    const auto found =
        job != nullptr && caller.shows(job->spec)
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
                 const Control::Authorization &caller,
                 Jobs::JobSpec &job) -> std::optional<Wire::ControlOutcome::type>
{
    if (findJob(state, request, caller) != nullptr)
        return Wire::ControlOutcome::DONE;
    if (!takeQueue(state.configuration, request, job))
        return Wire::ControlOutcome::UNKNOWN_NAME;
    // Tasks are named after their job, so that two queues or accounts cannot have jobs with the same id.
    if (state.jobs.find(job.id) != nullptr)
        return Wire::ControlOutcome::REFUSED;
    return std::nullopt;
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
    if (request.call == Wire::ControlCall::AWAIT_CONFIGURATION)
        co_return co_await awaitConfiguration(std::move(request));
    auto [caller, refusal] = checkCaller(request);
    if (refusal)
        co_return *refusal;
    switch (request.call) {
    case Wire::ControlCall::HAND_IN:
        co_return co_await submitJob(std::move(request), std::move(caller));
    case Wire::ControlCall::JOB_STATE:
        co_return jobState(request, caller);
    case Wire::ControlCall::CANCEL_JOB:
        co_return co_await cancel(std::move(request), std::move(caller));
    case Wire::ControlCall::COUNT_WAITING:
        co_return countWaiting(request);
    case Wire::ControlCall::AWAIT_CONFIGURATION:
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

auto ControlService::submitJob(Wire::ControlRequest request, Control::Authorization caller)
    -> AsyncNet::Task<Wire::ControlReply>
{
    auto job = Utils::fromCbor<Jobs::JobSpec>(request.job);
    if (!job) {
        Utils::Log::warning(
            "service", "cannot decode a submitted job", {{"reason", job.error().details}});
        co_return reply(Wire::ControlOutcome::REFUSED);
    }
    auto &spec = job.value();
    const auto answer = m_parts.state.read(
        [&](const Control::State &state) { return answerKnown(state, request, caller, spec); });
    if (answer)
        co_return reply(*answer);
    spec.account = caller.account;
    auto *leader = session();
    if (leader == nullptr)
        co_return notLeader();
    if (const auto admission = leader->admit(spec); admission.refusal)
        co_return overloaded(admission.retryAfterMs);
    const auto term = leader->term();
    spec.submittedMs = m_parts.clock.wallTime();
    const auto id = spec.id;
    const auto queue = spec.queue;
    Control::Command command;
    command.submitJob = std::move(spec);
    const auto result = co_await commitFor(caller, std::move(command));
    const auto committed = result == Execution::CommitResult::Committed;
    m_parts.metrics.count("trefoilshelf_hand_ins_total",
                          {{"result", committed ? "accepted" : "not confirmed"}});
    if (m_submissionLogBudget.allow(m_parts.clock.now()))
        Utils::Log::info("service",
                         "a job was handed in",
                         {{"job", id}, {"queue", queue}, {"committed", committed}});
    if (auto *active = session()) {
        // Another term may be committing a copy of this submission.
        if (active->term() == term)
            active->submissionSettled(id, result);
        active->wake();
    }
    co_return replyFor(result);
}

auto ControlService::jobState(const Wire::ControlRequest &request,
                              const Control::Authorization &caller) -> Wire::ControlReply
{
    const auto started = m_session->ledger().hasStarted(request.jobId);
    return m_parts.state.read([&](const Control::State &state) {
        const auto *job = findJob(state, request, caller);
        if (job == nullptr)
            return reply(Wire::ControlOutcome::UNKNOWN_NAME);
        auto answer = reply(Wire::ControlOutcome::DONE);
        answer.jobState = int(callerJobState(*job, started));
        return answer;
    });
}

auto ControlService::cancel(Wire::ControlRequest request, Control::Authorization caller)
    -> AsyncNet::Task<Wire::ControlReply>
{
    const auto known = m_parts.state.read(
        [&](const Control::State &state) { return findJob(state, request, caller) != nullptr; });
    if (!known)
        co_return reply(Wire::ControlOutcome::UNKNOWN_NAME);
    Control::Command command;
    command.cancelJob = request.jobId;
    const auto result = co_await commitFor(caller, std::move(command));
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

} // namespace Service
