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
constexpr std::int64_t fullPercent = 100;

} // namespace

auto longestLocalTime(Utils::Milliseconds onEndpoint) -> Utils::Milliseconds
{
    return onEndpoint * 100 / slowestClockPercent + leaseMargin;
}

auto longestLateRun(const LedgerTiming &timing) -> Utils::Milliseconds
{
    return longestLateOrder + longestLocalTime(timing.maximumLease);
}

RunLedger::RunLedger(LedgerTiming timing)
    : m_timing(timing)
{}

auto RunLedger::begin(std::int64_t term, const Control::State &state, Utils::Instant now) -> void
{
    m_term = term;
    m_starts = 0;
    m_endpoints.clear();
    m_tokens.clear();
    m_endpointsByPool.clear();
    m_outliving.clear();
    m_lateStarts.clear();
    m_nextLeases.clear();
    m_ended.clear();
    m_forgettingPolls.clear();
    m_blockingStops.clear();
    m_jobs.clear();
    m_checkpoints.clear();
    m_startedJobs.clear();
    m_demand.clear();
    m_keptFree.clear();
    m_toBeOpened.clear();
    m_unplaced.clear();
    m_releases.clear();
    m_misdirectedRuns.clear();
    m_gone.clear();
    m_takenGone.clear();
    m_formerStarts.clear();
    m_formerWaits.clear();
    m_found.clear();
    m_places.clear();
    m_placedTasks.clear();
    m_accounts = {};
    m_accountsVersion = -1;
    m_unsizedRuns.clear();
    m_formerEnds.reset();
    m_beganAt = now;
    m_jobsVersion = 0;
    for (const auto &[id, known] : state.endpoints) {
        addEndpoint(known, now);
        auto &endpoint = m_endpoints[id];
        endpoint.replacedAt = known.replacedAt;
        endpoint.leaseEnd = known.endingLease
                                ? known.endingLease->endsBy
                                : now + longestLocalTime(longestFormerLease(endpoint, now));
        if (known.endingLease)
            endpoint.leaseRecord = LeaseRecord::Outdated;
        endpoint.draining = known.record.draining;
        endpoint.backfillPercent = initialBackfillPercent;
        // Room is kept free for the tasks of an endpoint that has been silent under earlier leaders.
        endpoint.lastReplyAt = known.endingLease ? known.endingLease->recordedAt : now;
    }
    for (const auto &[id, removed] : state.removedEndpoints)
        m_ended[id] = removed.removedAt;
    syncAccounts(state);
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
            if (job->second.state(task) == TaskState::Done)
                continue;
            noteFormerWait(state, task, start);
            if (!start.mayRun()) {
                m_places.noteLost(task);
                continue;
            }
            if (!inheritStart(state, task, start, now)) {
                m_gone.insert(task);
                m_places.noteLost(task);
                continue;
            }
            job->second.addEndpoint(start.incarnation.id);
            job->second.setState(task, TaskState::Booked);
        }
    }
}

// Notes since when the task has been without a run: its run is recorded as gone, or its endpoint is
// silent or removed.
auto RunLedger::noteFormerWait(const Control::State &state,
                               const Jobs::TaskId &task,
                               const Control::RecordedStart &start) -> void
{
    std::optional<Utils::Instant> since;
    const auto endpoint = state.endpoints.find(start.incarnation.id);
    const auto removed = state.removedEndpoints.find(start.incarnation.id);
    if (!start.mayRun())
        since = start.knownSince;
    else if (endpoint != state.endpoints.end() && endpoint->second.endingLease)
        since = endpoint->second.endingLease->recordedAt;
    else if (endpoint == state.endpoints.end() && removed != state.removedEndpoints.end())
        since = removed->second.removedAt;
    if (since)
        m_formerWaits[task] = *since;
}

// The order may have reached the next incarnation under the same id, so the id alone counts. Returns
// false if nothing can run the task any more.
auto RunLedger::inheritStart(const Control::State &state,
                             const Jobs::TaskId &task,
                             const Control::RecordedStart &start,
                             Utils::Instant now) -> bool
{
    const auto &id = start.incarnation.id;
    const auto settled = start.knownSince && now - *start.knownSince > longestLateRun(m_timing);
    if (const auto endpoint = m_endpoints.find(id); endpoint != m_endpoints.end()) {
        endpoint->second.inherited[task] = settled ? FormerStart::Settled : FormerStart::MayBeLate;
        return true;
    }
    if (settled)
        return false;
    const auto removed = state.removedEndpoints.find(id);
    const auto known = removed != state.removedEndpoints.end();
    const auto longest =
        (known ? removed->second.removedAt : now) + longestLocalTime(m_timing.maximumLease);
    auto &outliving = m_outliving[id];
    outliving.inherited[task] = FormerStart::MayBeLate;
    outliving.leaseEnd = known ? removed->second.leaseEndsBy.value_or(longest) : longest;
    return true;
}

// Returns true if an order for a former incarnation under the endpoint's id may still be carried out here.
auto RunLedger::mayGetLateOrders(const EndpointEntry &endpoint, Utils::Instant now) const -> bool
{
    return endpoint.replacedAt && now - *endpoint.replacedAt <= longestLateRun(m_timing);
}

// Returns the longest lease that orders of earlier leaders set. Late orders for a former incarnation may
// set any lease, since their times are of another clock.
auto RunLedger::longestFormerLease(const EndpointEntry &endpoint, Utils::Instant now) const
    -> Utils::Milliseconds
{
    return mayGetLateOrders(endpoint, now) ? m_timing.maximumLease : m_timing.lease;
}

auto RunLedger::addEndpoint(const Control::EndpointRecord &record, Utils::Instant now) -> void
{
    auto &endpoint = m_endpoints[record.incarnation.id];
    if (endpoint.record.incarnation.bornMs > record.incarnation.bornMs)
        return;
    m_endpointsByPool.clear();
    if (endpoint.record.incarnation != record.incarnation) {
        const auto &id = record.incarnation.id;
        const auto replaces = !endpoint.record.incarnation.id.empty() || m_ended.contains(id);
        keepOutlivingRuns(endpoint);
        endpoint = {};
        endpoint.leaseEnd = leaseEndOfNext(id, now);
        endpoint.addedAt = now;
        if (replaces)
            endpoint.replacedAt = now;
        endpoint.record = record;
        endpoint.fencingToken = nextToken(id);
        takeOutlivingRuns(endpoint);
        forgetLateOrders(now);
        blockLateStarts(endpoint);
    }
    endpoint.record = record;
}

// Of an incarnation that is known, ends may be recorded that endsRecorded() has not told of yet.
auto RunLedger::addEndpoint(const Control::KnownEndpoint &known, Utils::Instant now) -> void
{
    const auto isKnown = findEndpoint(known.record.incarnation) != nullptr;
    addEndpoint(known.record, now);
    auto *endpoint = findEndpoint(known.record.incarnation);
    if (isKnown || endpoint == nullptr)
        return;
    endpoint->recordedEnds = known.recordedEnds;
    endpoint->processedEnds = known.recordedEnds;
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
    auto *endpoint = findEndpoint(incarnation);
    if (endpoint == nullptr)
        return;
    // The endpoint ends soon after its announcement; the maximum lease is the upper bound.
    endpoint->leaving = true;
    endpoint->leaseEnd =
        std::min(endpoint->leaseEnd, now + longestLocalTime(m_timing.maximumLease));
}

auto RunLedger::setClosed(const std::string &endpoint, bool closed, ClosedFor orders) -> void
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return;
    auto &entry = found->second;
    auto &flag = orders == ClosedFor::Move ? entry.closedForMove : entry.closedForMaintenance;
    flag = closed;
    if (entry.evacuating && !entry.closedForMove && !entry.closedForMaintenance)
        endEvacuation(entry);
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
    const auto isMissable = [&](const auto &item) { return missable(item.first); };
    return std::ranges::all_of(found->second.inherited, isMissable)
           && std::ranges::all_of(found->second.runs, isMissable);
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
    return !canWait(reason) || gone || (!run.hasNoPlace && mayMiss(run.task, {}));
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
    m_ended[incarnation.id] = std::nullopt;
    m_endpointsByPool.clear();
    m_endpoints.erase(found);
}

// Returns the endpoint if its known incarnation is this one, or nullptr.
auto RunLedger::findEndpoint(const Control::EndpointIncarnation &incarnation) -> EndpointEntry *
{
    const auto found = m_endpoints.find(incarnation.id);
    const auto isKnown =
        found != m_endpoints.end() && found->second.record.incarnation == incarnation;
    return isKnown ? &found->second : nullptr;
}

auto RunLedger::target(const EndpointEntry &endpoint) const -> OrderTarget
{
    return {endpoint.record.incarnation,
            endpoint.record.address,
            endpoint.fencingToken,
            endpoint.record.zone};
}

// Returns the fencing token for the next incarnation under the id. One that has seen it refuses all orders
// for former ones, however late they are.
auto RunLedger::nextToken(const std::string &id) -> std::int64_t
{
    const auto [token, isFirst] = m_tokens.try_emplace(id, m_term);
    if (!isFirst && token->second < lastToken())
        ++token->second;
    return token->second;
}

auto RunLedger::lastToken() const -> std::int64_t
{
    return m_term + tokensPerTerm - 1;
}

auto RunLedger::isOfThisTerm(const OrderTarget &target) const -> bool
{
    return target.fencingToken >= m_term && target.fencingToken <= lastToken();
}

auto RunLedger::showsLaterTerm(const OrderTarget &target) const -> bool
{
    const auto token = m_tokens.find(target.incarnation.id);
    return token == m_tokens.end() || token->second <= target.fencingToken;
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

auto RunLedger::hasStarted(const std::string &job) const -> bool
{
    return m_startedJobs.contains(job);
}

} // namespace Execution
