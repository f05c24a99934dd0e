// Implements the part of RunLedger that asks endpoints what they run, and takes in what they reply.
#include "runledger.h"

#include <algorithm>
#include <utility>

namespace Execution {
namespace {

// Polls whose results are needed soon wait for a task end for the usual time divided by 3.
constexpr std::int64_t urgentPollDivisor = 3;
// A list may leave a run with an accepted stop unsettled, and polls are not to follow each other without a pause.
constexpr Utils::Milliseconds shortestPollWait{20};

auto isOfOtherIncarnation(const PollOrder &order, const PollReply &reply) -> bool
{
    return reply.result == PollResult::OtherIncarnation
           || (reply.bornMs != 0 && reply.bornMs != order.target.incarnation.bornMs);
}

// Returns true if the next incarnation under the endpoint's id may have taken its lease from the poll.
auto mayHaveReachedNextIncarnation(const PollOrder &order, const PollReply &reply) -> bool
{
    if (order.leaseEndMs == 0 || reply.result == PollResult::Refused)
        return false;
    return reply.result != PollResult::Seen || isOfOtherIncarnation(order, reply);
}

} // namespace

auto RunLedger::pollOrder(const std::string &id,
                          Utils::Instant now,
                          std::optional<Utils::Instant> provenAt) -> std::optional<PollOrder>
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
    if (!endpoint.polled || !endpoint.answers || endpoint.leaving || !endpoint.mayRenewLease())
        return order;
    if (provenAt) {
        order.leaseEndMs = endpoint.clockAtLeast(*provenAt) + m_timing.lease.count();
        endpoint.extendLease(*provenAt + longestLocalTime(m_timing.lease));
    }
    // While such a poll is in flight, an endpoint that starts again gets no short tasks.
    if (order.recordedEnds > 0)
        return order;
    const auto uncertain = std::ranges::any_of(
        endpoint.runs, [](const auto &item) { return item.second.state == RunState::Uncertain; });
    order.waitMs = m_timing.pollWait.count();
    // Load figures are needed soon where backfill tasks may slow down tasks that serve users. If the first poll that
    // renews the lease is lost, the next one has to renew it before the first starts' leases are over. The same
    // holds for a poll that renews nothing.
    if (uncertain || !endpoint.leaseRenewed || !provenAt
        || (endpoint.runs.holdsBackfill() && endpoint.servesUsers()))
        order.waitMs /= urgentPollDivisor;
    order.waitMs = std::min(order.waitMs, timeUntilStopIsOver(endpoint, now).count());
    return order;
}

// Returns the time until a list settles the next run with an accepted stop that may end without a listed end,
// since it may never have begun. No list settles the others before they end, which ends the wait of a poll.
auto RunLedger::timeUntilStopIsOver(const EndpointEntry &endpoint, Utils::Instant now) const
    -> Utils::Milliseconds
{
    auto shortest = m_timing.pollWait;
    for (const auto &[task, run] : endpoint.runs) {
        const auto isListed = run.state == RunState::Running && !run.unlisted;
        if (run.stopAnsweredAt == Utils::Instant() || isListed)
            continue;
        // Times have a resolution of 1 ms, and the list has to be asked for after the end of the stop.
        const auto overAt = run.stopAnsweredAt + m_timing.longestStop + Utils::Milliseconds(1);
        shortest = std::min(shortest, std::max(overAt - now, shortestPollWait));
    }
    return shortest;
}

auto RunLedger::pollAnswered(const PollOrder &order,
                             const PollReply &reply,
                             Utils::Instant sentAt,
                             Utils::Instant now) -> PollEffects
{
    PollEffects effects;
    effects.record.incarnation = order.target.incarnation;
    settleForgettingPoll(order, reply.result, now);
    if (isOfThisTerm(order.target) && mayHaveReachedNextIncarnation(order, reply))
        extendLeaseOfNextIncarnation(order.target.incarnation, now);
    auto *known = findEndpoint(order.target.incarnation);
    if (known == nullptr)
        return effects;
    auto &endpoint = *known;
    endpoint.tried = true;
    effects.fenced = reply.result == PollResult::Fenced && showsLaterTerm(order.target);
    effects.incarnationOver = isOfOtherIncarnation(order, reply);
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
    endpoint.leaseRenewed = endpoint.leaseRenewed || order.leaseEndMs > 0;
    // Before it replied, it may have taken its lease from a late order for a former incarnation.
    if (mayGetLateOrders(endpoint, now))
        endpoint.extendLease(now + longestLocalTime(m_timing.maximumLease));
    effects.renewable = !endpoint.mayRenewLease() && !endpoint.leaving;
    if (effects.renewable)
        endpoint.leaseRecord = LeaseRecord::Renewing;
    for (const auto &end : reply.ended)
        processEnd(endpoint, end, now, effects);
    for (const auto &row : reply.running)
        updateRun(endpoint, row, now);
    reconcile(endpoint, reply, sentAt);
    if (reply.truncated)
        return effects;
    // Inherited tasks that the reply lists neither as running nor as ended were never started here
    // or have ended for good, so they can be started again.
    releaseInherited(std::exchange(endpoint.inherited, {}),
                     order.target.incarnation.id,
                     ReleaseReason::NotInherited);
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
        if (!run->carriedOut && run->number == end.run)
            noteIfMisdirected(endpoint, *run);
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
    if (run != nullptr && run->number > row.run) {
        noteEarlierRun(endpoint, *run, row.run);
        return;
    }
    if (run == nullptr || run->number < row.run) {
        const auto earlier = run != nullptr && run->listed ? run->number : 0;
        run = &adopt(endpoint, row, now);
        if (earlier != 0)
            noteEarlierRun(endpoint, *run, earlier);
    }
    if (run->state != RunState::Running) {
        run->state = RunState::Running;
        run->confirmedAt = now;
        endpoint.unansweredStarts = 0;
    }
    if (!run->carriedOut)
        noteIfMisdirected(endpoint, *run);
    run->listed = true;
    run->carriedOut = true;
    run->percent = row.percent;
    run->load = row.load;
    if (!row.checkpoint.empty() && findUnfinished(row.task) != nullptr)
        m_checkpoints[row.task] = row.checkpoint;
}

// Two orders for the task may be carried out, so one has to be stopped. The earlier run is at work, while
// the booked one may still be on its way.
auto RunLedger::noteEarlierRun(EndpointEntry &endpoint, Run &run, std::int64_t earlier) -> void
{
    run.earlierRun = earlier;
    run.earlierListed = true;
    run.requestStop(StopReason::SecondRun);
    m_stopsDue = true;
    endpoint.extendLease(endpoint.lastReplyAt
                         + longestLocalTime(longestFormerLease(endpoint, endpoint.lastReplyAt)));
}

// Removes a run that is gone. If the last list holds an earlier run of its task, that one is the run of the
// task from now on.
auto RunLedger::removeRun(EndpointEntry &endpoint, const Jobs::TaskId &task) -> void
{
    const auto *run = endpoint.runs.find(task);
    const auto earlier = run != nullptr ? run->earlierRun : 0;
    endpoint.runs.erase(task);
    if (earlier != 0)
        adopt(endpoint, {task, earlier, {}, 0, 0}, endpoint.lastReplyAt).carriedOut = true;
}

// Adds a run that a poll reply lists and that this leader does not know, or of which it knows only an
// earlier run.
auto RunLedger::adopt(EndpointEntry &endpoint, const RunningTask &row, Utils::Instant now) -> Run &
{
    auto *job = findUnfinished(row.task);
    const auto *spec = specOf(row.task);
    // The spec does not matter if the job is unknown, since the run is then only stopped.
    auto adopted = makeRun(spec != nullptr ? *spec : Jobs::StepSpec(), row.task, row.run);
    if (spec != nullptr)
        adopted.account = m_jobs.at(row.task.job).account();
    else if (m_accounts.hasQuotas())
        m_unsizedRuns.push_back({endpoint.record.incarnation.id, row.task});
    adopted.state = RunState::Running;
    adopted.confirmedAt = now;
    adopted.adopted = true;
    adopted.pacePercent = unknownPercent;
    // The stop that blocks it may be in flight, and a run that is being stopped need not be listed.
    if (const auto *late = findLateStart(endpoint.record.incarnation.id, row.task, row.run)) {
        adopted.stopSentAt = now;
        adopted.orderedForMs = late->bornMs;
    }
    endpoint.inherited.erase(row.task);
    endpoint.extendLease(now + longestLocalTime(longestFormerLease(endpoint, now)));
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

// Takes in that a list asked for at \a sentAt does not hold the run. Returns true if its start got no reply
// and will not be carried out: no order is later than the first of two lists. The second one follows
// because a run that is being stopped need not be listed.
auto RunLedger::isNeverCarriedOut(Run &run, Utils::Instant now, Utils::Instant sentAt) const -> bool
{
    const auto lateBy = std::max(run.orderedAt, run.unansweredAt) + longestLateOrder;
    if (run.state != RunState::Uncertain || lateBy >= sentAt)
        return false;
    if (run.notStartedAt == Utils::Instant())
        run.notStartedAt = now;
    return run.notStartedAt + m_timing.longestStop < sentAt;
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
        if (!std::exchange(run.earlierListed, false) && !reply.truncated)
            run.earlierRun = 0;
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
        const auto neverStarts = isNeverCarriedOut(run, endpoint.lastReplyAt, sentAt);
        if (stopping && !leaseOver && !ended && !neverStarts)
            continue;
        if (!stopped && !vanished && !leaseOver && !neverStarts)
            continue;
        const auto unlisted = vanished ? ReleaseReason::NotListed : ReleaseReason::LeaseOver;
        gone.push_back(run.releasedFrom(endpoint.record.incarnation.id,
                                        stopped ? ReleaseReason::Stopped : unlisted));
    }
    for (auto &run : gone) {
        removeRun(endpoint, run.task);
        release(std::move(run));
    }
}

auto RunLedger::endsRecorded(const Control::RecordEnds &record, std::int64_t number) -> void
{
    auto *endpoint = findEndpoint(record.incarnation);
    if (endpoint == nullptr)
        return;
    endpoint->recordedEnds = std::max(endpoint->recordedEnds, number);
    for (const auto &task : std::exchange(endpoint->reopenWhenRecorded, {}))
        reopen(task);
}

// Adopted runs may have started long before, and resumed runs start from a checkpoint, so only runs
// that this leader started from the beginning are used.
auto RunLedger::learnDuration(const Run &run, Utils::Instant now) -> void
{
    const auto job = m_jobs.find(run.task.job);
    const auto *spec = specOf(run.task);
    if (run.adopted || run.resumed || spec == nullptr || run.confirmedAt == Utils::Instant())
        return;
    if (const auto tookMs = nearDuration(run, now))
        m_durations.learn(job->second.spec().queue, spec->estimateMs, *tookMs);
}

} // namespace Execution
