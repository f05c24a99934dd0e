#include "runledger.h"

#include "scheduling/placement.h"

#include <algorithm>
#include <utility>

namespace Execution {
namespace {

// Covers rounding and the time from the decision on an order until it is sent.
constexpr Utils::Milliseconds leaseMargin{100};
// Covers the time that a list is on its way.
constexpr Utils::Milliseconds stopMargin{100};
// Polls whose results are needed soon wait for a task end for the usual time divided by 3.
constexpr std::int64_t urgentPollDivisor = 3;

constexpr std::int64_t fullPercent = 100;
// An order without a reply may be carried out within this time.
constexpr Utils::Milliseconds longestLateOrder{13'000};
// Releases beyond this number between two calls of takeReleases() are not reported.
constexpr std::size_t maximumReleases = 1000;

} // namespace

auto longestLocalTime(Utils::Milliseconds onEndpoint) -> Utils::Milliseconds
{
    return onEndpoint * 100 / slowestClockPercent + leaseMargin;
}

RunLedger::RunLedger(LedgerTiming timing)
    : m_timing(timing)
{}

auto RunLedger::begin(std::int64_t term, const Control::State &state, Utils::Instant now) -> void
{
    m_term = term;
    m_starts = 0;
    m_endpoints.clear();
    m_endpointsByPool.clear();
    m_outliving.clear();
    m_lateStarts.clear();
    m_forgettingPolls.clear();
    m_blockingStops.clear();
    m_jobs.clear();
    m_checkpoints.clear();
    m_startedJobs.clear();
    m_demand.clear();
    m_keptFree.clear();
    m_unplaced.clear();
    m_releases.clear();
    m_gone.clear();
    m_takenGone.clear();
    m_formerStarts.clear();
    m_found.clear();
    m_beganAt = now;
    m_jobsVersion = 0;
    for (const auto &[id, known] : state.endpoints) {
        addEndpoint(known.record, now);
        auto &endpoint = m_endpoints[id];
        endpoint.recordedEnds = known.recordedEnds;
        endpoint.processedEnds = known.recordedEnds;
        // The previous leader may have renewed the lease until just now.
        endpoint.leaseEnd = now + longestLocalTime(m_timing.maximumLease);
        endpoint.draining = known.record.draining;
        endpoint.backfillPercent = initialBackfillPercent;
        endpoint.lastReplyAt = now;
    }
    syncJobs(state);
    inheritStarts(state, now);
}

// Takes over the tasks that earlier leaders may have started. Starts are recorded before they are
// ordered, so earlier leaders have started no other tasks.
auto RunLedger::inheritStarts(const Control::State &state, Utils::Instant now) -> void
{
    for (const auto &[id, starts] : state.startedTasks) {
        const auto job = m_jobs.find(id);
        if (job == m_jobs.end())
            continue;
        m_startedJobs.insert(id);
        for (const auto &[task, start] : starts) {
            if (job->second.state(task) == TaskState::Done || !start.mayRun())
                continue;
            inheritStart(task, start.incarnation.id, now);
            job->second.addEndpoint(start.incarnation.id);
            job->second.setState(task, TaskState::Booked);
        }
    }
}

// The order may have reached the next incarnation under the same id, so the id alone counts.
auto RunLedger::inheritStart(const Jobs::TaskId &task, const std::string &id, Utils::Instant now)
    -> void
{
    if (const auto endpoint = m_endpoints.find(id); endpoint != m_endpoints.end()) {
        endpoint->second.inherited.insert(task);
        return;
    }
    auto &outliving = m_outliving[id];
    outliving.inherited.insert(task);
    outliving.leaseEnd = now + longestLocalTime(m_timing.maximumLease);
}

auto RunLedger::addEndpoint(const Control::EndpointRecord &record, Utils::Instant now) -> void
{
    auto &endpoint = m_endpoints[record.incarnation.id];
    if (endpoint.record.incarnation.bornMs > record.incarnation.bornMs)
        return;
    m_endpointsByPool.clear();
    if (endpoint.record.incarnation != record.incarnation) {
        keepOutlivingRuns(endpoint);
        endpoint = {};
        endpoint.leaseEnd = now;
        endpoint.record = record;
        takeOutlivingRuns(endpoint);
        forgetLateOrders(now);
        blockLateStarts(endpoint);
    }
    endpoint.record = record;
}

auto RunLedger::drain(const std::string &endpoint) -> void
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return;
    found->second.draining = true;
    for (auto &[task, run] : found->second.runs) {
        if (run.longRunning)
            run.requestStop(StopReason::Draining);
    }
    m_stopsDue = true;
}

auto RunLedger::leave(const Control::EndpointIncarnation &incarnation, Utils::Instant now) -> void
{
    const auto found = m_endpoints.find(incarnation.id);
    if (found == m_endpoints.end() || found->second.record.incarnation != incarnation)
        return;
    // The endpoint ends soon after its announcement; the maximum lease is the upper bound.
    found->second.leaving = true;
    found->second.leaseEnd = std::min(found->second.leaseEnd, now + m_timing.maximumLease);
}

auto RunLedger::setClosed(const std::string &endpoint, bool closed, ClosedFor orders) -> void
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return;
    auto &entry = found->second;
    auto &flag = orders == ClosedFor::Move ? entry.closedForMove : entry.closedForMaintenance;
    flag = closed;
}

auto RunLedger::evacuate(const std::string &endpoint) -> void
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return;
    for (auto &[task, run] : found->second.runs) {
        if (run.longRunning && !run.stopReason && mayMiss(task, {}))
            run.requestStop(StopReason::Maintenance);
    }
    m_stopsDue = true;
}

auto RunLedger::setEndOrdered(const std::string &endpoint, bool ordered) -> void
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end())
        found->second.endOrdered = ordered;
}

auto RunLedger::canLose(const std::string &endpoint) const -> bool
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return true;
    const auto missable = [&](const Jobs::TaskId &task) { return mayMiss(task, endpoint); };
    return std::ranges::all_of(found->second.inherited, missable)
           && std::ranges::all_of(found->second.runs,
                                  [&](const auto &item) { return missable(item.first); });
}

// Returns true if the task may become unavailable now. All tasks on the given endpoint, if any,
// count as unavailable, too.
auto RunLedger::mayMiss(const Jobs::TaskId &task, std::string_view withoutEndpoint) const -> bool
{
    const auto *spec = specOf(task);
    return spec == nullptr || spec->mayMiss == 0
           || unavailableTasks(task, withoutEndpoint) < spec->mayMiss;
}

// Returns true if the run may be stopped now. A stop may end a task that is ready, so each order is
// checked, including a repeated one.
auto RunLedger::mayStopNow(const Run &run) const -> bool
{
    const auto reason = run.stopReason.value_or(StopReason::StartUnanswered);
    // A start without a reply may be carried out after a list without it was made. The end of its lease
    // settles it, unless the next incarnation may carry it out: the order's times are of another clock.
    const auto mayStillStart = run.state == RunState::Uncertain && run.leaseEndMs != INT64_MAX;
    // Other runs that are not listed are not ready, and only a reply to a stop settles them soon.
    const auto gone = run.unlisted && !mayStillStart;
    return !canWait(reason) || gone || mayMiss(run.task, {});
}

// Returns the number of other tasks of the step that are not ready, or would not be ready without
// the given endpoint.
auto RunLedger::unavailableTasks(const Jobs::TaskId &task, std::string_view withoutEndpoint) const
    -> std::int64_t
{
    const auto &job = m_jobs.at(task.job);
    auto unavailable = job.specOf(task)->count - 1;
    for (const auto &id : job.endpoints()) {
        const auto found = m_endpoints.find(id);
        if (found == m_endpoints.end())
            continue;
        const auto &endpoint = found->second;
        if (id == withoutEndpoint || !endpoint.answers || endpoint.endOrdered)
            continue;
        // A stop that an earlier leader ordered may still be ending a run that the first lists hold.
        const auto earlierStopsAreOver =
            endpoint.lastReplyAt - endpoint.firstReplyAt > m_timing.longestStop + stopMargin;
        const auto runs = endpoint.runs.ofStep(task);
        unavailable -= std::count_if(runs.begin(), runs.end(), [&](const auto &item) {
            const auto &run = item.second;
            return run.task.index != task.index && run.state == RunState::Running && !run.stopReason
                   && run.percent >= fullPercent && (!run.adopted || earlierStopsAreOver);
        });
    }
    return unavailable;
}

auto RunLedger::endIncarnation(const Control::EndpointIncarnation &incarnation) -> void
{
    const auto found = m_endpoints.find(incarnation.id);
    if (found == m_endpoints.end() || found->second.record.incarnation != incarnation)
        return;
    keepOutlivingRuns(found->second);
    m_endpointsByPool.clear();
    m_endpoints.erase(found);
}

auto RunLedger::target(const EndpointEntry &endpoint) const -> OrderTarget
{
    return {endpoint.record.incarnation, endpoint.record.address, m_term, endpoint.record.zone};
}

auto RunLedger::pollOrder(const std::string &id, Utils::Instant now) -> std::optional<PollOrder>
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return std::nullopt;
    auto &endpoint = found->second;
    PollOrder order;
    order.target = target(endpoint);
    // An endpoint that did not reply may have started again under its id. It numbers its ends anew, and
    // must not forget them for those of the former incarnation.
    if (endpoint.answers && endpoint.recordedEnds > endpoint.forgottenEnds) {
        order.recordedEnds = endpoint.recordedEnds;
        m_forgettingPolls[id].push_back(
            {endpoint.record.incarnation.bornMs, order.recordedEnds, now});
    }
    // The endpoint's clock is not known before the first poll, and an endpoint that shuts down
    // needs no lease. An endpoint that does not reply may still receive the poll, but its lease
    // must expire before its tasks start elsewhere, so the poll does not renew it.
    if (!endpoint.polled || !endpoint.answers || endpoint.leaving)
        return order;
    order.leaseEndMs = endpoint.clockAtLeast(now) + m_timing.lease.count();
    endpoint.leaseEnd = std::max(endpoint.leaseEnd, now + longestLocalTime(m_timing.lease));
    // While such a poll is in flight, an endpoint that starts again gets no short tasks.
    if (order.recordedEnds > 0)
        return order;
    const auto uncertain = std::ranges::any_of(
        endpoint.runs, [](const auto &item) { return item.second.state == RunState::Uncertain; });
    order.waitMs = m_timing.pollWait.count();
    // Load figures are needed soon where backfill tasks may slow down tasks that serve users.
    if (uncertain || (endpoint.runs.holdsBackfill() && endpoint.servesUsers()))
        order.waitMs /= urgentPollDivisor;
    return order;
}

auto RunLedger::pollAnswered(const PollOrder &order,
                             const PollReply &reply,
                             Utils::Instant sentAt,
                             Utils::Instant now) -> PollEffects
{
    PollEffects effects;
    effects.record.incarnation = order.target.incarnation;
    settleForgettingPoll(order, reply.result, now);
    const auto found = m_endpoints.find(order.target.incarnation.id);
    if (found == m_endpoints.end() || found->second.record.incarnation != order.target.incarnation)
        return effects;
    auto &endpoint = found->second;
    effects.fenced = reply.result == PollResult::Fenced;
    effects.incarnationOver =
        reply.result == PollResult::OtherIncarnation
        || (reply.bornMs != 0 && reply.bornMs != order.target.incarnation.bornMs);
    endpoint.answers = reply.result == PollResult::Seen;
    if (effects.incarnationOver || !endpoint.answers)
        return effects;
    if (!std::exchange(endpoint.polled, true))
        endpoint.firstReplyAt = now;
    endpoint.forgottenEnds = std::max(endpoint.forgottenEnds, order.recordedEnds);
    endpoint.lastReplyAt = now;
    endpoint.clockMs = reply.clockMs;
    endpoint.clockAt = now;
    endpoint.loadUpdated = true;
    for (const auto &end : reply.ended)
        processEnd(endpoint, end, now, effects);
    for (const auto &row : reply.running)
        updateRun(endpoint, row, now);
    reconcile(endpoint, reply, sentAt);
    if (reply.truncated)
        return effects;
    // Inherited tasks that the reply lists neither as running nor as ended were never started here
    // or have ended for good, so they can be started again.
    for (const auto &task : std::exchange(endpoint.inherited, {}))
        release({task, 0, order.target.incarnation.id, ReleaseReason::NotInherited});
    return effects;
}

// Any reply proves that the poll will not be carried out later. The polls of an incarnation are sent
// one after the other, so the last one is meant.
auto RunLedger::settleForgettingPoll(const PollOrder &order, PollResult result, Utils::Instant now)
    -> void
{
    const auto found = m_forgettingPolls.find(order.target.incarnation.id);
    if (order.recordedEnds == 0 || found == m_forgettingPolls.end())
        return;
    auto &polls = found->second;
    const auto isOfOrder = [&order](const ForgettingPoll &poll) {
        return poll.bornMs == order.target.incarnation.bornMs
               && poll.recordedEnds == order.recordedEnds;
    };
    const auto poll = std::find_if(polls.rbegin(), polls.rend(), isOfOrder);
    if (poll == polls.rend())
        return;
    if (result == PollResult::Unknown)
        poll->sentAt = now;
    else
        polls.erase(std::next(poll).base());
}

// Returns true if a poll of a former incarnation may still make the endpoint forget ends that are not
// recorded. Polls of earlier leaders are refused, as the endpoint gets tasks only once it has been
// polled in this term.
auto RunLedger::mayLoseEnds(const EndpointEntry &endpoint) const -> bool
{
    const auto found = m_forgettingPolls.find(endpoint.record.incarnation.id);
    return found != m_forgettingPolls.end()
           && std::ranges::any_of(found->second, [&endpoint](const ForgettingPoll &poll) {
                  return poll.bornMs != endpoint.record.incarnation.bornMs;
              });
}

auto RunLedger::processEnd(EndpointEntry &endpoint,
                           const EndedTask &end,
                           Utils::Instant now,
                           PollEffects &effects) -> void
{
    if (end.number <= endpoint.recordedEnds)
        return;
    effects.lastEnd = std::max(effects.lastEnd, end.number);
    const auto *spec = specOf(end.task);
    const auto longRunning = spec != nullptr && spec->longRunning;
    const auto counts = end.kind == EndKind::Done || end.kind == EndKind::Failed;
    if (counts && !longRunning) {
        const auto outcome =
            end.kind == EndKind::Done ? Jobs::TaskOutcome::Done : Jobs::TaskOutcome::Failed;
        effects.record.ends.push_back({end.number, end.task, outcome});
    }
    if (end.number <= endpoint.processedEnds)
        return;
    endpoint.processedEnds = end.number;
    if (!end.checkpoint.empty() && spec != nullptr)
        m_checkpoints[end.task] = end.checkpoint;
    if (end.kind == EndKind::Failed)
        ++endpoint.failureStreak;
    else if (end.kind == EndKind::Done)
        endpoint.failureStreak = 0;
    const auto *run = endpoint.runs.find(end.task);
    const auto known = run != nullptr && run->number <= end.run;
    if (known) {
        if (end.kind == EndKind::Done)
            learnDuration(*run, now);
        endpoint.runs.erase(end.task);
    }
    const auto job = m_jobs.find(end.task.job);
    if (job == m_jobs.end())
        return;
    if (end.kind == EndKind::Done && !longRunning) {
        if (spec != nullptr && spec->gang)
            job->second.setStepDone(end.task);
        else
            job->second.setState(end.task, TaskState::Done);
        m_checkpoints.erase(end.task);
    } else if (counts && !longRunning) {
        // The task is not started again before the number of its failures is durable.
        job->second.setState(end.task, TaskState::Booked);
        job->second.addEndpoint(endpoint.record.incarnation.id);
        endpoint.reopenWhenRecorded.push_back(end.task);
    } else if (known) {
        reopen(end.task);
    }
}

// Updates the run that a poll reply lists. Polls list mostly known runs, so the job is not looked up
// for these.
auto RunLedger::updateRun(EndpointEntry &endpoint, const RunningTask &row, Utils::Instant now)
    -> void
{
    auto *run = endpoint.runs.find(row.task);
    if (run != nullptr && run->number > row.run)
        return;
    if (run == nullptr || run->number < row.run)
        run = &adopt(endpoint, row, now);
    if (run->state != RunState::Running) {
        run->state = RunState::Running;
        run->confirmedAt = now;
        endpoint.unansweredStarts = 0;
    }
    run->listed = true;
    run->carriedOut = true;
    run->percent = row.percent;
    run->load = row.load;
    if (!row.checkpoint.empty() && findUnfinished(row.task) != nullptr)
        m_checkpoints[row.task] = row.checkpoint;
}

// Adds a run that a poll reply lists and that this leader does not know, or of which it knows only an
// earlier run.
auto RunLedger::adopt(EndpointEntry &endpoint, const RunningTask &row, Utils::Instant now) -> Run &
{
    auto *job = findUnfinished(row.task);
    const auto *spec = specOf(row.task);
    // The spec does not matter if the job is unknown, since the run is then only stopped.
    auto adopted = makeRun(spec != nullptr ? *spec : Jobs::StepSpec(), row.task, row.run);
    adopted.state = RunState::Running;
    adopted.confirmedAt = now;
    adopted.adopted = true;
    adopted.pacePercent = unknownPercent;
    endpoint.inherited.erase(row.task);
    // An earlier order may have set any lease that the endpoint accepts.
    endpoint.leaseEnd = std::max(endpoint.leaseEnd, now + longestLocalTime(m_timing.maximumLease));
    if (job == nullptr)
        adopted.requestStop(StopReason::NotWanted);
    else if (isBooked(row.task))
        adopted.requestStop(StopReason::SecondRun);
    else if (endpoint.draining && adopted.longRunning)
        adopted.requestStop(StopReason::Draining);
    m_stopsDue = m_stopsDue || adopted.stopReason;
    m_startedJobs.insert(row.task.job);
    if (job != nullptr && adopted.stopReason != StopReason::SecondRun) {
        auto &found = m_found.emplace_back();
        found.target = target(endpoint);
        found.task = row.task;
        found.run = row.run;
    }
    if (job != nullptr) {
        job->addEndpoint(endpoint.record.incarnation.id);
        job->setState(row.task, TaskState::Booked);
    }
    return endpoint.runs.add(adopted);
}

// Removes the runs that are gone according to a poll reply: listed neither as running nor as ended. A
// truncated list proves no run to be gone, since its end may follow in a later list.
auto RunLedger::reconcile(EndpointEntry &endpoint, const PollReply &reply, Utils::Instant sentAt)
    -> void
{
    std::vector<Release> gone;
    for (auto &item : endpoint.runs) {
        auto &run = item.second;
        const auto listed = std::exchange(run.listed, false);
        if (listed)
            run.unlisted = false;
        if (listed || reply.truncated)
            continue;
        const auto unlistedBefore = run.unlisted;
        run.unlisted = std::max(run.orderedAt, run.confirmedAt) < sentAt;
        if (!unlistedBefore)
            run.unlistedAt = endpoint.lastReplyAt;
        // Times have a resolution of 1 ms, and the network delay may be shorter: an order whose
        // reply arrived in the same millisecond in which the poll was sent may have been carried
        // out after the poll.
        const auto stopped = run.stopAnsweredAt != Utils::Instant() && run.stopAnsweredAt < sentAt;
        const auto vanished = run.state == RunState::Running && run.confirmedAt < sentAt;
        const auto leaseOver = run.state == RunState::Uncertain && run.leaseEndMs < reply.clockMs;
        // The endpoint need not list a run that is being stopped, although it may still run for a
        // while.
        const auto stopping = run.stopSentAt != Utils::Instant()
                              && (run.stopAnsweredAt == Utils::Instant()
                                  || run.stopAnsweredAt + m_timing.longestStop >= sentAt);
        // The first list without it proves that a stop had arrived, although none may have been
        // answered, so the run is over after the time that a stop takes.
        const auto ended =
            vanished && unlistedBefore && run.unlistedAt + m_timing.longestStop < sentAt;
        if (stopping && !leaseOver && !ended)
            continue;
        if (!stopped && !vanished && !leaseOver)
            continue;
        const auto unlisted = vanished ? ReleaseReason::NotListed : ReleaseReason::LeaseOver;
        gone.push_back({run.task,
                        run.number,
                        endpoint.record.incarnation.id,
                        stopped ? ReleaseReason::Stopped : unlisted});
    }
    for (auto &run : gone) {
        endpoint.runs.erase(run.task);
        release(std::move(run));
    }
}

auto RunLedger::endsRecorded(const Control::RecordEnds &record, std::int64_t number) -> void
{
    const auto found = m_endpoints.find(record.incarnation.id);
    if (found == m_endpoints.end() || found->second.record.incarnation != record.incarnation)
        return;
    auto &endpoint = found->second;
    endpoint.recordedEnds = std::max(endpoint.recordedEnds, number);
    for (const auto &task : std::exchange(endpoint.reopenWhenRecorded, {}))
        reopen(task);
}

auto RunLedger::specOf(const Jobs::TaskId &task) const -> const Jobs::StepSpec *
{
    const auto job = m_jobs.find(task.job);
    return job != m_jobs.end() ? job->second.specOf(task) : nullptr;
}

// Returns the job of \a task if the task still has to be done, or nullptr.
auto RunLedger::findUnfinished(const Jobs::TaskId &task) -> JobProgress *
{
    const auto job = m_jobs.find(task.job);
    const auto unfinished = job != m_jobs.end() && job->second.specOf(task) != nullptr
                            && job->second.state(task) != TaskState::Done;
    return unfinished ? &job->second : nullptr;
}

auto RunLedger::isBooked(const Jobs::TaskId &task) const -> bool
{
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end())
        return false;
    return std::ranges::any_of(job->second.endpoints(), [&](const std::string &id) {
        const auto outliving = m_outliving.find(id);
        if (outliving != m_outliving.end() && outliving->second.contains(task))
            return true;
        const auto found = m_endpoints.find(id);
        if (found == m_endpoints.end())
            return false;
        const auto &endpoint = found->second;
        return endpoint.runs.contains(task) || endpoint.inherited.contains(task)
               || std::ranges::find(endpoint.reopenWhenRecorded, task)
                      != endpoint.reopenWhenRecorded.end();
    });
}

auto RunLedger::reopen(const Jobs::TaskId &task) -> void
{
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end() || isBooked(task))
        return;
    job->second.setState(task, TaskState::Open);
    m_gone.insert(task);
}

auto RunLedger::isOpen(const Jobs::TaskId &task) const -> bool
{
    const auto job = m_jobs.find(task.job);
    return job != m_jobs.end() && job->second.specOf(task) != nullptr
           && job->second.state(task) == TaskState::Open;
}

auto RunLedger::takeGone(const Control::State &state, Utils::Instant now)
    -> std::vector<Jobs::TaskId>
{
    std::vector<Jobs::TaskId> gone;
    if (m_gone.empty())
        return gone;
    if (now - m_beganAt > longestLateOrder)
        m_formerStarts.clear();
    const auto late = tasksOfLateStarts();
    std::erase_if(m_gone, [&](const Jobs::TaskId &task) {
        if (!isOpen(task))
            return true;
        // A later leader does not block late starts, so it has to wait for their endpoints. Which
        // starts of an earlier leader are late is not known.
        if (late.contains(task) || m_formerStarts.contains(task))
            return false;
        const auto job = state.startedTasks.find(task.job);
        if (job == state.startedTasks.end())
            return false;
        // The record of a start that was not sent may still be on its way.
        const auto start = job->second.find(task);
        if (start == job->second.end() || !start->second.mayRun())
            return false;
        gone.push_back(task);
        return true;
    });
    m_takenGone.insert(gone.begin(), gone.end());
    return gone;
}

// Returns the found runs whose start is recorded elsewhere or not at all, or was recorded as gone: a
// later leader would not look for them where they run.
auto RunLedger::takeFound(const Control::State &state) -> std::vector<StartOrder>
{
    auto found = std::exchange(m_found, {});
    std::erase_if(found, [&](const StartOrder &order) {
        if (!holds(order))
            return true;
        if (m_takenGone.contains(order.task))
            return false;
        const auto job = state.startedTasks.find(order.task.job);
        if (job == state.startedTasks.end())
            return false;
        const auto start = job->second.find(order.task);
        return start != job->second.end() && start->second.incarnation == order.target.incarnation;
    });
    return found;
}

auto RunLedger::holds(const StartOrder &order) -> bool
{
    return findRun(order.target, order.task, order.run) != nullptr;
}

// Sets the task of a run that counts as gone open, unless it is booked elsewhere.
auto RunLedger::release(Release release) -> void
{
    reopen(release.task);
    if (release.run == 0)
        m_formerStarts.insert(release.task);
    if (m_releases.size() < maximumReleases)
        m_releases.push_back(std::move(release));
}

auto RunLedger::takeReleases() -> std::vector<Release>
{
    return std::exchange(m_releases, {});
}

auto RunLedger::releaseRuns(EndpointEntry &endpoint, ReleaseReason reason) -> void
{
    const auto &id = endpoint.record.incarnation.id;
    const auto runs = endpoint.runs.take();
    for (const auto &[task, run] : runs)
        release({task, run.number, id, reason});
    for (const auto &task : std::exchange(endpoint.inherited, {}))
        release({task, 0, id, reason});
    for (const auto &task : std::exchange(endpoint.reopenWhenRecorded, {}))
        reopen(task);
}

// Releases the runs of an incarnation that has ended, except those that the next one may carry out.
auto RunLedger::keepOutlivingRuns(EndpointEntry &endpoint) -> void
{
    OutlivingRuns kept;
    kept.leaseEnd = endpoint.leaseEnd;
    for (const auto &[task, run] : endpoint.runs) {
        if (!run.mayOutliveIncarnation())
            continue;
        kept.runs.push_back(run);
        // The next incarnation may have carried the order out just before the reply.
        kept.leaseEnd =
            std::max(kept.leaseEnd, run.confirmedAt + longestLocalTime(m_timing.maximumLease));
    }
    for (const auto &run : kept.runs)
        endpoint.runs.erase(run.task);
    kept.inherited = std::exchange(endpoint.inherited, {});
    if (!kept.empty())
        m_outliving[endpoint.record.incarnation.id] = std::move(kept);
    releaseRuns(endpoint, ReleaseReason::IncarnationOver);
}

// Books on a new incarnation what it may have carried out of the orders to its predecessor.
auto RunLedger::takeOutlivingRuns(EndpointEntry &endpoint) -> void
{
    const auto found = m_outliving.find(endpoint.record.incarnation.id);
    if (found == m_outliving.end())
        return;
    endpoint.leaseEnd = std::max(endpoint.leaseEnd, found->second.leaseEnd);
    endpoint.inherited = std::move(found->second.inherited);
    for (auto &run : found->second.runs) {
        // The times in the order are those of the former incarnation's clock.
        run.leaseEndMs = INT64_MAX;
        run.stopSentAt = {};
        run.stopAnsweredAt = {};
        run.unlisted = false;
        endpoint.runs.add(run);
    }
    m_outliving.erase(found);
}

// A new incarnation knows no stop and no end of the former one, so it would carry out a late order to
// that one. A stop makes it refuse the run number.
auto RunLedger::blockLateStarts(const EndpointEntry &endpoint) -> void
{
    const auto found = m_lateStarts.find(endpoint.record.incarnation.id);
    if (found == m_lateStarts.end())
        return;
    for (const auto &start : found->second) {
        const auto *run = endpoint.runs.find(start.task);
        const auto booked = run != nullptr && run->number == start.run;
        // An incarnation that was removed and announced again still knows its stops and ends.
        if (booked || start.bornMs == endpoint.record.incarnation.bornMs)
            continue;
        StopOrder stop{target(endpoint), start.task, start.run};
        stop.reason = StopReason::StartUnanswered;
        m_blockingStops.push_back(std::move(stop));
    }
}

auto RunLedger::tasksOfLateStarts() const -> std::set<Jobs::TaskId>
{
    std::set<Jobs::TaskId> tasks;
    for (const auto &[id, starts] : m_lateStarts) {
        for (const auto &start : starts)
            tasks.insert(start.task);
    }
    return tasks;
}

auto RunLedger::forgetLateOrders(Utils::Instant now) -> void
{
    for (auto &[id, starts] : m_lateStarts) {
        std::erase_if(starts, [now](const LateStart &start) {
            return now - start.unansweredAt > longestLateOrder;
        });
    }
    std::erase_if(m_lateStarts, [](const auto &item) { return item.second.empty(); });
    for (auto &[id, polls] : m_forgettingPolls) {
        std::erase_if(polls, [now](const ForgettingPoll &poll) {
            return now - poll.sentAt > longestLateOrder;
        });
    }
    std::erase_if(m_forgettingPolls, [](const auto &item) { return item.second.empty(); });
}

auto RunLedger::expireOutlivingRuns(Utils::Instant now) -> void
{
    for (auto item = m_outliving.begin(); item != m_outliving.end();) {
        if (now <= item->second.leaseEnd) {
            ++item;
            continue;
        }
        const auto id = item->first;
        const auto expired = std::move(item->second);
        item = m_outliving.erase(item);
        for (const auto &run : expired.runs)
            release({run.task, run.number, id, ReleaseReason::LeaseExpired});
        for (const auto &task : expired.inherited)
            release({task, 0, id, ReleaseReason::LeaseExpired});
    }
}

auto RunLedger::expireLeases(Utils::Instant now) -> std::vector<Control::EndpointIncarnation>
{
    std::vector<Control::EndpointIncarnation> expired;
    expireOutlivingRuns(now);
    forgetLateOrders(now);
    for (auto &[id, endpoint] : m_endpoints) {
        if (now <= endpoint.leaseEnd)
            continue;
        releaseRuns(endpoint, ReleaseReason::LeaseExpired);
        // The next leader does not know which endpoints have announced their shutdown.
        if (endpoint.leaving || endpoint.draining)
            expired.push_back(endpoint.record.incarnation);
    }
    return expired;
}

// Adopted runs may have started long before, and resumed runs start from a checkpoint, so only runs
// that this leader started from the beginning are used.
auto RunLedger::learnDuration(const Run &run, Utils::Instant now) -> void
{
    const auto job = m_jobs.find(run.task.job);
    const auto *spec = specOf(run.task);
    if (run.adopted || run.resumed || spec == nullptr || run.confirmedAt == Utils::Instant())
        return;
    m_durations.learn(job->second.spec().queue, spec->estimateMs, (now - run.confirmedAt).count());
}

auto RunLedger::hasStarted(const std::string &job) const -> bool
{
    return m_startedJobs.contains(job);
}

} // namespace Execution
