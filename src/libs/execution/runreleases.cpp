// Implements the part of RunLedger that decides when runs are gone, and what the next leader has to know.
#include "runledger.h"

#include <algorithm>
#include <utility>

namespace Execution {
namespace {

// A leader takes an endpoint for silent that has not replied this long after it became known to it.
constexpr Utils::Milliseconds firstReply{500};
// Releases beyond this number between two calls of takeReleases() are not reported.
constexpr std::size_t maximumReleases = 1000;

} // namespace

auto RunLedger::reopen(const Jobs::TaskId &task) -> void
{
    const auto job = m_jobs.find(task.job);
    if (job == m_jobs.end() || isBooked(task))
        return;
    job->second.setState(task, TaskState::Open);
    m_gone.insert(task);
    m_places.noteLost(task);
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
    if (m_releases.size() < maximumReleases)
        m_releases.push_back(std::move(release));
}

auto RunLedger::takeReleases() -> std::vector<Release>
{
    return std::exchange(m_releases, {});
}

// Notes the run if the incarnation that the endpoint has now is not the one that its start was for.
auto RunLedger::noteIfMisdirected(const EndpointEntry &endpoint, const Run &run) -> void
{
    const auto &incarnation = endpoint.record.incarnation;
    const auto misdirected = run.orderedForMs != 0 && run.orderedForMs != incarnation.bornMs;
    if (misdirected && m_misdirectedRuns.size() < maximumReleases)
        m_misdirectedRuns.push_back(
            {run.task, run.number, incarnation.id, run.orderedForMs, incarnation.bornMs});
}

auto RunLedger::takeMisdirectedRuns() -> std::vector<MisdirectedRun>
{
    return std::exchange(m_misdirectedRuns, {});
}

auto RunLedger::releaseRuns(EndpointEntry &endpoint, ReleaseReason reason) -> void
{
    const auto &id = endpoint.record.incarnation.id;
    const auto runs = endpoint.runs.take();
    for (const auto &[task, run] : runs)
        release(run.releasedFrom(id, reason));
    releaseInherited(std::exchange(endpoint.inherited, {}), id, reason);
    for (const auto &task : std::exchange(endpoint.reopenWhenRecorded, {}))
        reopen(task);
}

// Returns the time by which all runs have ended that hold a lease, including those that a next incarnation
// may have begun before it is known.
auto RunLedger::endOfRuns(const EndpointEntry &endpoint) const -> Utils::Instant
{
    const auto mayRunOnNext = std::ranges::any_of(
        endpoint.runs, [](const auto &item) { return item.second.mayRunOnUnknownIncarnation(); });
    return mayRunOnNext ? leaseEndOfNext(endpoint.record.incarnation.id, endpoint.leaseEnd)
                        : endpoint.leaseEnd;
}

// Releases the runs whose lease is over, except those that a next incarnation may have begun, and starts that wait for
// their reply.
auto RunLedger::releaseExpiredRuns(EndpointEntry &endpoint, Utils::Instant now) -> void
{
    const auto isHeld = now <= endOfRuns(endpoint);
    const auto held = endpoint.runs.takeIf([isHeld](const Run &run) {
        return run.isAwaitingReply() || (isHeld && run.mayRunOnUnknownIncarnation());
    });
    releaseRuns(endpoint, ReleaseReason::LeaseExpired);
    for (const auto &run : held)
        endpoint.runs.add(run);
}

auto RunLedger::releaseInherited(const FormerStarts &starts,
                                 const std::string &id,
                                 ReleaseReason reason) -> void
{
    for (const auto &[task, kind] : starts) {
        if (kind != FormerStart::Settled)
            m_formerStarts.insert(task);
        release({task, 0, id, reason, std::nullopt});
    }
}

// Releases the runs of an incarnation that has ended, except those that the next one may carry out.
auto RunLedger::keepOutlivingRuns(EndpointEntry &endpoint) -> void
{
    const auto &id = endpoint.record.incarnation.id;
    OutlivingRuns kept;
    kept.leaseEnd = leaseEndOfNext(id, endpoint.leaseEnd);
    kept.runs = endpoint.runs.takeIf([&](const Run &run) {
        return run.mayOutliveIncarnation() || findLateStart(id, run.task, run.number) != nullptr;
    });
    for (auto &run : kept.runs) {
        // The next incarnation may have carried the order out just before the reply, or the end of the wait for it.
        const auto carriedOutBy = std::max(run.confirmedAt, run.unansweredAt);
        kept.leaseEnd =
            std::max(kept.leaseEnd, carriedOutBy + longestLocalTime(m_timing.maximumLease));
        run.earlierRun = 0;
        // Of a start that this incarnation has carried out, another copy may be on its way.
        if (const auto *late = findLateStart(id, run.task, run.number))
            run.awaitLateCopy(late->unansweredAt);
    }
    for (const auto &[task, kind] : endpoint.inherited) {
        if (kind != FormerStart::Settled)
            kept.inherited[task] = kind;
    }
    std::erase_if(endpoint.inherited,
                  [&kept](const auto &item) { return kept.inherited.contains(item.first); });
    if (!kept.empty())
        m_outliving[id] = std::move(kept);
    releaseRuns(endpoint, ReleaseReason::IncarnationOver);
}

// Books on a new incarnation what it may have carried out of the orders to its predecessor.
auto RunLedger::takeOutlivingRuns(EndpointEntry &endpoint) -> void
{
    const auto found = m_outliving.find(endpoint.record.incarnation.id);
    if (found == m_outliving.end())
        return;
    endpoint.extendLease(found->second.leaseEnd);
    endpoint.inherited = std::move(found->second.inherited);
    for (auto &run : found->second.runs) {
        // The times in the order are those of the former incarnation's clock.
        run.leaseEndMs = INT64_MAX;
        run.stopSentAt = {};
        run.stopAnsweredAt = {};
        run.paceInFlight = false;
        run.pacePercent = unknownPercent;
        run.unlisted = false;
        run.notStartedAt = {};
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

// Returns the start of the run if a copy of it may be carried out late, or nullptr.
auto RunLedger::findLateStart(const std::string &endpoint,
                              const Jobs::TaskId &task,
                              std::int64_t run) const -> const LateStart *
{
    const auto found = m_lateStarts.find(endpoint);
    if (found == m_lateStarts.end())
        return nullptr;
    const auto start = std::ranges::find_if(
        found->second, [&](const LateStart &late) { return late.task == task && late.run == run; });
    return start != found->second.end() ? &*start : nullptr;
}

auto RunLedger::lateStarts() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[id, starts] : m_lateStarts)
        count += starts.size();
    return count;
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
    std::erase_if(m_nextLeases, [now](const auto &item) { return item.second < now; });
    for (auto &[id, endedAt] : m_ended)
        endedAt = endedAt.value_or(now);
    std::erase_if(m_ended,
                  [&](const auto &item) { return now - *item.second > longestLateRun(m_timing); });
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
            release(run.releasedFrom(id, ReleaseReason::LeaseExpired));
        releaseInherited(expired.inherited, id, ReleaseReason::LeaseExpired);
    }
}

auto RunLedger::takeEndingLeases(Utils::Instant now) -> std::vector<Control::RecordLease>
{
    std::vector<Control::RecordLease> records;
    for (auto &[id, endpoint] : m_endpoints) {
        const auto silent =
            endpoint.polled ? !endpoint.answers : now - endpoint.addedAt >= firstReply;
        const auto ends = (silent || endpoint.leaving) && endpoint.possibleRuns() > 0;
        // The record of an earlier leader is repeated: a process that has started since then knows of no
        // time before its start.
        const auto isRecorded =
            !endpoint.mayRenewLease() && endpoint.leaseRecord != LeaseRecord::Outdated;
        if (!ends || isRecorded)
            continue;
        endpoint.leaseRecord = LeaseRecord::Ending;
        const auto left = std::max(endOfRuns(endpoint) - now, Utils::Milliseconds(0));
        endpoint.recordedLeaseMs = longestLocalTime(left).count();
        records.push_back({endpoint.record.incarnation, endpoint.recordedLeaseMs});
    }
    return records;
}

auto RunLedger::isEnding(const Control::RecordLease &lease) -> bool
{
    const auto *endpoint = findEndpoint(lease.incarnation);
    return endpoint != nullptr && endpoint->leaseRecord == LeaseRecord::Ending
           && lease.leftMs == endpoint->recordedLeaseMs;
}

auto RunLedger::leaseRenewable(const Control::EndpointIncarnation &incarnation) -> void
{
    auto *endpoint = findEndpoint(incarnation);
    // It may have been removed, announced again and recorded as silent since.
    if (endpoint != nullptr && endpoint->leaseRecord == LeaseRecord::Renewing)
        endpoint->leaseRecord = LeaseRecord::Renewed;
}

auto RunLedger::expireLeases(Utils::Instant now) -> std::vector<Control::EndpointIncarnation>
{
    std::vector<Control::EndpointIncarnation> expired;
    expireOutlivingRuns(now);
    forgetLateOrders(now);
    for (auto &[id, endpoint] : m_endpoints) {
        // An endpoint that this leader reaches tells itself what it runs, so it is asked first.
        const auto isAsked = endpoint.tried || now - endpoint.addedAt >= firstReply;
        if (now <= endpoint.leaseEnd || !isAsked)
            continue;
        releaseExpiredRuns(endpoint, now);
        // The next leader does not know which endpoints have announced their shutdown. One that drains
        // and has come back answers before its lease is renewed.
        if (endpoint.leaving || (endpoint.draining && !endpoint.answers))
            expired.push_back(endpoint.record.incarnation);
    }
    return expired;
}

} // namespace Execution
