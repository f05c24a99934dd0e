// Implements the part of LeaderSession that writes log messages and metrics.
#include "leadersession.h"

#include "utils/log.h"

#include <set>
#include <utility>

namespace Execution {
namespace {

constexpr double millisecondsPerSecond = 1000;
constexpr Utils::Milliseconds loadReportInterval{2000};
constexpr Utils::Milliseconds waitReportInterval{1000};
// A long-running task that is not at work for this time is reported, and again with each report.
constexpr Utils::Milliseconds reportedWait{1000};
// Logged of a run whose start was answered, or of which that is not known.
constexpr std::int64_t notUnanswered = -1;

auto inMilliseconds(std::chrono::microseconds duration) -> std::int64_t
{
    return std::chrono::duration_cast<Utils::Milliseconds>(duration).count();
}

auto nameOf(StartResult result) -> std::string_view
{
    switch (result) {
    case StartResult::Started:
        return "started";
    case StartResult::Fenced:
        return "a later leader gives orders there";
    case StartResult::Outdated:
        return "the run is not newer than one that ended there";
    case StartResult::TooLate:
        return "the lease had run out";
    case StartResult::NoRoom:
        return "no room";
    case StartResult::Invalid:
        return "the order is not understood";
    case StartResult::Unhealthy:
        return "the endpoint is not healthy";
    case StartResult::OtherIncarnation:
        return "another life answers at the address";
    case StartResult::Unknown:
        return "no answer";
    }
    return "unknown";
}

auto nameOf(StopReason reason) -> std::string_view
{
    switch (reason) {
    case StopReason::NotWanted:
        return "it is not wanted any more";
    case StopReason::Draining:
        return "its endpoint drains";
    case StopReason::Maintenance:
        return "its host is due for maintenance";
    case StopReason::HostMove:
        return "its host is to move to another pool";
    case StopReason::SecondRun:
        return "the task runs elsewhere too";
    case StopReason::StartUnanswered:
        return "its start was not answered";
    }
    return "unknown";
}

auto nameOf(ReleaseReason reason) -> std::string_view
{
    switch (reason) {
    case ReleaseReason::Refused:
        return "its start was refused";
    case ReleaseReason::NotListed:
        return "a poll does not list it";
    case ReleaseReason::Stopped:
        return "a poll does not list it after a stop";
    case ReleaseReason::LeaseOver:
        return "its order was not answered and its lease is over";
    case ReleaseReason::LeaseExpired:
        return "the lease of its endpoint has expired";
    case ReleaseReason::IncarnationOver:
        return "the incarnation of its endpoint is over";
    case ReleaseReason::NotInherited:
        return "a poll does not list what an earlier leader may have started";
    }
    return "unknown";
}

auto nameOf(OrderResult result) -> std::string_view
{
    switch (result) {
    case OrderResult::Accepted:
        return "accepted";
    case OrderResult::Fenced:
        return "a later leader gives orders there";
    case OrderResult::OtherIncarnation:
        return "another life answers at the address";
    case OrderResult::Refused:
        return "refused";
    case OrderResult::Unknown:
        return "no answer";
    }
    return "unknown";
}

auto nameOf(EndKind kind) -> std::string_view
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::LeaseExpired:
        return "lease expired";
    case EndKind::PartnerEnded:
        return "another member of its gang ended";
    case EndKind::NoPartners:
        return "its gang did not become complete";
    }
    return "unknown";
}

} // namespace

// Logs what the leader's processor time went into, and the longest delays since the last report.
auto LeaderSession::reportLoad() -> void
{
    const auto now = m_parts.clock.now();
    if (now - m_loadReportedAt < loadReportInterval)
        return;
    // The first period has no beginning.
    const auto first = std::exchange(m_loadReportedAt, now) == Utils::Instant();
    const auto load = m_load.take(now);
    if (first)
        return;
    m_parts.metrics.set("trefoilshelf_late_starts", {}, double(m_ledger.lateStarts()));
    Utils::Log::info("execution",
                     "load of the leader",
                     {{"period_ms", load.period.count()},
                      {"process_ms", inMilliseconds(load.processTime)},
                      {"loop_ms", inMilliseconds(load.loopTime)},
                      {"scheduling_ms", inMilliseconds(load.workedOn(LeaderWork::Scheduling))},
                      {"passes", load.timesOf(LeaderWork::Scheduling)},
                      {"searches", m_ledger.searches()},
                      {"polls_ms", inMilliseconds(load.workedOn(LeaderWork::PollReplies))},
                      {"polls", load.timesOf(LeaderWork::PollReplies)},
                      {"hosts_ms", inMilliseconds(load.workedOn(LeaderWork::Hosts))},
                      {"waiting_tasks", m_ledger.waitingTasks()},
                      {"late_ms", load.longestOf(LeaderDelay::Loop).count()},
                      {"commit_ms", load.longestOf(LeaderDelay::Commit).count()},
                      {"start_reply_ms", load.longestOf(LeaderDelay::StartReply).count()},
                      {"proof_ms", load.longestOf(LeaderDelay::Proof).count()}});
}

auto LeaderSession::logEnds(const PollOrder &order, const PollReply &reply) -> void
{
    if (reply.truncated)
        m_parts.metrics.count("trefoilshelf_truncated_polls_total", {});
    for (const auto &end : reply.ended) {
        // The endpoint may report ends again that are already durable.
        if (end.number <= order.recordedEnds)
            continue;
        m_parts.metrics.count("trefoilshelf_task_ends_total",
                              {{"how", std::string(nameOf(end.kind))}});
        auto &budget = end.kind == EndKind::Done ? m_endLines : m_failureLines;
        if (!budget.allow(m_parts.clock.now()))
            continue;
        Utils::Log::info("execution",
                         "a task ended",
                         {{"job", end.task.job},
                          {"task", Jobs::toText(end.task)},
                          {"run", end.run},
                          {"endpoint", order.target.incarnation.id},
                          {"how", nameOf(end.kind)}});
    }
}

auto LeaderSession::logEndedJobs(const Control::RecordEnds &record) -> void
{
    std::set<std::string> jobs;
    for (const auto &end : record.ends)
        jobs.insert(end.task.job);
    m_parts.state.read([&](const Control::State &state) {
        for (const auto &id : jobs) {
            const auto *job = state.jobs.find(id);
            if (job == nullptr || job->state == Jobs::JobState::Active)
                continue;
            m_parts.metrics.count("trefoilshelf_jobs_ended_total",
                                  {{"state", std::string(Utils::nameOf(job->state))}});
            // Failed jobs are logged under the limit of failures, and not under the limit of ended
            // jobs, since callers ask about failed jobs.
            const auto failed = job->state == Jobs::JobState::Failed;
            if (!(failed ? m_failureLines : m_endedJobLines).allow(m_parts.clock.now()))
                continue;
            Utils::Log::info("execution",
                             "a job has ended",
                             {{"job", id},
                              {"state", Utils::nameOf(job->state)},
                              {"after_ms", job->endedMs - job->spec.submittedMs}});
        }
    });
}

auto LeaderSession::reportStart(const StartOrder &order, const StartReply &reply) -> void
{
    const auto result = nameOf(reply.result);
    m_parts.metrics.count("trefoilshelf_starts_total", {{"result", std::string(result)}});
    if (reply.result == StartResult::Started && !m_ledger.hasStarted(order.task.job))
        reportFirstStart(order);
    auto &budget = reply.result == StartResult::Started ? m_startLines : m_failureLines;
    if (!budget.allow(m_parts.clock.now()))
        return;
    Utils::Log::info("execution",
                     "ordered a task to start",
                     {{"job", order.task.job},
                      {"task", Jobs::toText(order.task)},
                      {"run", order.run},
                      {"endpoint", order.target.incarnation.id},
                      {"checkpoint", !order.checkpoint.empty()},
                      {"result", result}});
}

auto LeaderSession::reportStop(const StopOrder &order, OrderResult result) -> void
{
    m_parts.metrics.count("trefoilshelf_stops_total",
                          {{"reason", std::string(nameOf(order.reason))}});
    // Cancellations come in bursts. Stops for other reasons interrupt work that callers still want,
    // so they are logged under a separate limit.
    const auto expected = order.reason == StopReason::NotWanted;
    if (!(expected ? m_endLines : m_stopLines).allow(m_parts.clock.now()))
        return;
    Utils::Log::info("execution",
                     "ordered a task to stop",
                     {{"job", order.task.job},
                      {"task", Jobs::toText(order.task)},
                      {"run", order.run},
                      {"endpoint", order.target.incarnation.id},
                      {"reason", nameOf(order.reason)},
                      {"others_away", order.othersUnavailable},
                      {"may_miss", order.mayMiss},
                      {"result", nameOf(result)}});
}

// A run that is released while it still runs is started twice, so the evidence is logged.
auto LeaderSession::reportReleases() -> void
{
    const auto now = m_parts.clock.now();
    for (const auto &release : m_ledger.takeReleases()) {
        const auto reason = nameOf(release.reason);
        m_parts.metrics.count("trefoilshelf_released_runs_total",
                              {{"reason", std::string(reason)}});
        if (!m_releaseLines.allow(now))
            continue;
        const auto unansweredFor =
            release.unansweredAt ? (now - *release.unansweredAt).count() : notUnanswered;
        Utils::Log::info("execution",
                         "a run counts as gone",
                         {{"job", release.task.job},
                          {"task", Jobs::toText(release.task)},
                          {"run", release.run},
                          {"endpoint", release.endpoint},
                          {"reason", reason},
                          {"unanswered_ms", unansweredFor}});
    }
}

// A run that an endpoint has begun on an order for a former incarnation may be the second one of its task.
auto LeaderSession::reportMisdirectedRuns() -> void
{
    for (const auto &run : m_ledger.takeMisdirectedRuns()) {
        m_parts.metrics.count("trefoilshelf_misdirected_runs_total", {});
        if (!m_releaseLines.allow(m_parts.clock.now()))
            continue;
        Utils::Log::info("execution",
                         "an endpoint has carried out a start for a former incarnation",
                         {{"job", run.task.job},
                          {"task", Jobs::toText(run.task)},
                          {"run", run.run},
                          {"endpoint", run.endpoint},
                          {"ordered_for", run.orderedForMs},
                          {"born", run.bornMs}});
    }
}

auto LeaderSession::reportPlacedTasks() -> void
{
    for (const auto &placed : m_ledger.takePlacedTasks()) {
        const auto waited = placed.waited > Utils::Milliseconds(0);
        const std::string place = placed.far ? "far" : "near";
        m_parts.metrics.count("trefoilshelf_placed_tasks_total",
                              {{"place", place}, {"waited", waited ? "yes" : "no"}});
        if (!waited || !m_placeLines.allow(m_parts.clock.now()))
            continue;
        Utils::Log::info("execution",
                         "a wait for a place near data or group ended",
                         {{"job", placed.task.job},
                          {"task", Jobs::toText(placed.task)},
                          {"endpoint", placed.endpoint},
                          {"place", place},
                          {"waited_ms", placed.waited.count()}});
    }
}

auto LeaderSession::reportEndingLeases(std::span<const Control::RecordLease> leases) -> void
{
    for (const auto &lease : leases) {
        if (!m_leaseLines.allow(m_parts.clock.now()))
            continue;
        Utils::Log::info(
            "execution",
            "the lease of a silent endpoint is not renewed",
            {{"endpoint", lease.incarnation.id}, {"left_ms", lease.leftMs.value_or(0)}});
    }
}

auto LeaderSession::reportFirstStart(const StartOrder &order) -> void
{
    const auto waitedMs = m_parts.state.read([&](const Control::State &state) {
        const auto *job = state.jobs.find(order.task.job);
        return job != nullptr ? m_parts.clock.wallTime() - job->spec.submittedMs : 0;
    });
    m_parts.metrics.observe(
        "trefoilshelf_first_start_seconds", {}, double(waitedMs) / millisecondsPerSecond);
    if (m_firstStartLines.allow(m_parts.clock.now()))
        Utils::Log::info("execution",
                         "a job began",
                         {{"job", order.task.job},
                          {"waited_ms", waitedMs},
                          {"endpoint", order.target.incarnation.id}});
}

// Users of a long-running task miss it while it waits, so the cause of each longer wait is logged.
auto LeaderSession::reportWaitingTasks() -> void
{
    const auto now = m_parts.clock.now();
    if (now - m_waitsReportedAt < waitReportInterval)
        return;
    m_waitsReportedAt = now;
    std::map<Jobs::TaskId, Utils::Instant> since;
    std::map<std::string, Utils::Milliseconds> longest;
    m_parts.state.read([&](const Control::State &state) {
        for (const auto &pool : state.configuration.pools)
            longest[pool.name] = {};
    });
    for (const auto &waiting : m_ledger.waitingLongRunningTasks(now)) {
        const auto known = m_waitingSince.find(waiting.task);
        const auto first = known != m_waitingSince.end() ? known->second : now;
        const auto began = std::min(first, waiting.since.value_or(first));
        since[waiting.task] = began;
        longest[waiting.pool] = std::max(longest[waiting.pool], now - began);
        if (now - began >= reportedWait)
            reportWaitingTask(waiting, now - began);
    }
    m_waitingSince = std::move(since);
    for (const auto &[pool, waited] : longest)
        m_parts.metrics.set("trefoilshelf_longest_wait_seconds",
                            {{"pool", pool}},
                            std::chrono::duration<double>(waited).count());
}

auto LeaderSession::reportWaitingTask(const WaitingTask &waiting, Utils::Milliseconds waited)
    -> void
{
    const auto now = m_parts.clock.now();
    if (!m_waitLines.allow(now))
        return;
    const auto heldMs =
        waiting.heldUntil ? std::max<std::int64_t>(0, (*waiting.heldUntil - now).count()) : 0;
    Utils::Log::info("execution",
                     "a long-running task waits",
                     {{"job", waiting.task.job},
                      {"task", Jobs::toText(waiting.task)},
                      {"waited_ms", waited.count()},
                      {"pool", waiting.pool},
                      {"reason", nameOf(waiting.reason)},
                      {"endpoint", waiting.endpoint},
                      {"held_ms", heldMs},
                      {"open", waiting.openEndpoints},
                      {"needs_millicores", waiting.demand.cpuMillicores},
                      {"needs_memory_mb", waiting.demand.memoryMb},
                      {"most_free_millicores", waiting.mostFree.cpuMillicores},
                      {"most_free_memory_mb", waiting.mostFree.memoryMb}});
}

} // namespace Execution
