#include "entryservice.h"

#include "utils/cbor.h"
#include "utils/log.h"

namespace Service {
namespace {

// Time that a request waits for a leader before it is refused. It is a small part of any latency
// objective.
constexpr Utils::Milliseconds leaderTimeout{400};
// Must be shorter than the time that callers wait for a response.
constexpr Utils::Milliseconds callTimeout{2600};
// Must be longer than the leader holds a request for a newer configuration, which is 4 s.
constexpr Utils::Milliseconds configurationWait{6000};
constexpr Utils::Milliseconds configurationRetry{100};
constexpr Utils::Milliseconds leaderCheck{250};
// An entry process without a leader for this time reports not ready, so that callers use
// other entry processes.
constexpr Utils::Milliseconds maximumLeaderAbsence{2500};

auto outcomeOf(const Utils::Result<Wire::ControlReply> &reply) -> Outcome
{
    if (!reply)
        return reply.error().type == Utils::ErrorType::Unavailable ? Outcome::NotLeader
                                                                   : Outcome::Unknown;
    switch (reply.value().outcome) {
    case Wire::ControlOutcome::DONE:
        return Outcome::Done;
    case Wire::ControlOutcome::NOT_LEADER:
        return Outcome::NotLeader;
    case Wire::ControlOutcome::REFUSED:
        return Outcome::Refused;
    case Wire::ControlOutcome::UNKNOWN_NAME:
        return Outcome::UnknownName;
    case Wire::ControlOutcome::UNAUTHORIZED:
        return Outcome::Unauthorized;
    case Wire::ControlOutcome::OUTCOME_UNKNOWN:
        break;
    }
    return Outcome::Unknown;
}

auto makeRequest(Wire::ControlCall::type call,
                 const std::string &queue,
                 const Jobs::QueueAddress &address,
                 std::string id) -> Wire::ControlRequest
{
    Wire::ControlRequest request;
    request.call = call;
    request.queue = queue;
    request.host = address.host;
    request.pathPrefix = address.pathPrefix;
    request.jobId = std::move(id);
    return request;
}

auto makeRequest(Wire::ControlCall::type call, const Control::CallerRoute &route, std::string id)
    -> Wire::ControlRequest
{
    return makeRequest(call, route.queue, route.address(), std::move(id));
}

} // namespace

EntryService::EntryService(AsyncNet::asio::io_context &loop, LeaderLink &link)
    : m_loop(loop)
    , m_link(link)
{}

auto EntryService::start() -> void
{
    AsyncNet::start(m_loop, "configuration", followConfiguration());
    AsyncNet::start(m_loop, "leader watch", watchLeader());
}

auto EntryService::stop() -> void
{
    m_stopped = true;
}

auto EntryService::setConfigurationCallback(std::function<void()> changed) -> void
{
    m_configurationChanged = std::move(changed);
}

auto EntryService::isReady() const -> bool
{
    return !m_stopped && m_routes.version() > 0
           && m_clock.now() - m_leaderSeenAt < maximumLeaderAbsence;
}

auto EntryService::watchLeader() -> AsyncNet::Task<void>
{
    while (!m_stopped) {
        if (!m_link.leader().empty())
            m_leaderSeenAt = m_clock.now();
        co_await AsyncNet::pause(leaderCheck);
    }
}

auto EntryService::followConfiguration() -> AsyncNet::Task<void>
{
    while (!m_stopped) {
        Wire::ControlRequest request;
        request.call = Wire::ControlCall::AWAIT_CONFIGURATION;
        request.version = m_routes.version();
        const auto reply = co_await m_link.call(request, configurationWait, configurationWait);
        if (!reply || reply.value().configuration.empty()) {
            co_await AsyncNet::pause(configurationRetry);
            continue;
        }
        const auto update =
            Utils::fromCbor<Control::CallerRoutesUpdate>(reply.value().configuration);
        if (!update) {
            Utils::Log::error("service",
                              "cannot decode a configuration update",
                              {{"reason", update.error().details}});
            co_await AsyncNet::pause(configurationRetry);
            continue;
        }
        // apply() rejects versions that are not newer, so that no sender can restore an older one.
        if (!m_routes.apply(update.value()))
            continue;
        Utils::Log::info(
            "service",
            "applied a configuration update",
            {{"version", m_routes.version()}, {"changed", update.value().changed.size()}});
        if (m_configurationChanged)
            m_configurationChanged();
    }
}

auto EntryService::submitJob(Jobs::JobSpec job, std::string keyDigest)
    -> AsyncNet::Task<JobSubmissionResult>
{
    auto request = makeRequest(Wire::ControlCall::HAND_IN, job.queue, job.address, job.id);
    request.job = Utils::toCbor(job);
    request.keyDigest = std::move(keyDigest);
    const auto reply = co_await m_link.call(request, leaderTimeout, callTimeout);
    JobSubmissionResult result;
    result.outcome = outcomeOf(reply);
    if (reply) {
        result.overloaded = reply.value().retryAfterMs > 0;
        result.retryAfterMs = reply.value().retryAfterMs;
    }
    co_return result;
}

auto EntryService::jobState(Control::CallerRoute route, std::string id, std::string keyDigest)
    -> AsyncNet::Task<JobStateResult>
{
    auto request = makeRequest(Wire::ControlCall::JOB_STATE, route, std::move(id));
    request.keyDigest = std::move(keyDigest);
    const auto reply = co_await m_link.call(request, leaderTimeout, callTimeout);
    JobStateResult result;
    result.outcome = outcomeOf(reply);
    if (reply)
        result.state = CallerJobState(reply.value().jobState);
    co_return result;
}

auto EntryService::cancel(Control::CallerRoute route, std::string id, std::string keyDigest)
    -> AsyncNet::Task<CancelResult>
{
    auto request = makeRequest(Wire::ControlCall::CANCEL_JOB, route, std::move(id));
    request.keyDigest = std::move(keyDigest);
    const auto reply = co_await m_link.call(request, leaderTimeout, callTimeout);
    CancelResult result;
    result.outcome = outcomeOf(reply);
    co_return result;
}

auto EntryService::countWaiting(Control::CallerRoute route, std::string keyDigest)
    -> AsyncNet::Task<CountResult>
{
    auto request = makeRequest(Wire::ControlCall::COUNT_WAITING, route, {});
    request.keyDigest = std::move(keyDigest);
    const auto reply = co_await m_link.call(request, leaderTimeout, callTimeout);
    CountResult result;
    result.outcome = outcomeOf(reply);
    if (reply)
        result.waiting = reply.value().count;
    co_return result;
}

} // namespace Service
