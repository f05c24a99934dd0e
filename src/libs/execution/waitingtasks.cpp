// Implements the part of RunLedger that tells why long-running tasks are not at work.
#include "waitingtasks.h"

#include "runledger.h"

#include "scheduling/placement.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace Execution {
namespace {

/*! \brief The run of a task that is not at work, and where it is booked. */
struct PendingRun
{
    WaitReason reason = WaitReason::EarlierRun;
    std::string endpoint;
    std::optional<Utils::Instant> heldUntil;
};

using PendingRuns = std::map<Jobs::TaskId, PendingRun>;

// Returns why the run is not known to be at work, or nothing if it is.
auto reasonOf(const EndpointEntry &endpoint, const Run &run) -> std::optional<WaitReason>
{
    if (run.state == RunState::Ordered)
        return WaitReason::Starting;
    if (run.state == RunState::Uncertain)
        return WaitReason::StartUnanswered;
    if (!endpoint.answers)
        return WaitReason::EndpointSilent;
    if (run.unlisted)
        return WaitReason::NotListed;
    return std::nullopt;
}

// Returns when the run has ended at the latest. A start without a reply is not carried out after its own
// lease, unless the next incarnation may carry it out.
auto heldUntil(const EndpointEntry &endpoint, const Run &run, Utils::Instant now) -> Utils::Instant
{
    if (run.state != RunState::Uncertain || run.leaseEndMs == INT64_MAX)
        return endpoint.leaseEnd;
    return now + longestLocalTime(Utils::Milliseconds(run.leaseEndMs - endpoint.clockAtLeast(now)));
}

// Sorts what is booked on the endpoint, except for short tasks, by whether it is at work.
auto addRuns(const EndpointEntry &endpoint,
             Utils::Instant now,
             std::set<Jobs::TaskId> &atWork,
             PendingRuns &pending) -> void
{
    const auto &id = endpoint.record.incarnation.id;
    for (const auto &[task, run] : endpoint.runs) {
        if (!run.longRunning)
            continue;
        if (const auto reason = reasonOf(endpoint, run))
            pending[task] = {*reason, id, heldUntil(endpoint, run, now)};
        else
            atWork.insert(task);
    }
    for (const auto &[task, kind] : endpoint.inherited)
        pending[task] = {WaitReason::EarlierRun, id, endpoint.leaseEnd};
}

} // namespace

auto nameOf(WaitReason reason) -> std::string_view
{
    switch (reason) {
    case WaitReason::Starting:
        return "its start is not answered yet";
    case WaitReason::StartUnanswered:
        return "its start got no answer";
    case WaitReason::EarlierRun:
        return "an earlier run may not have ended";
    case WaitReason::NoOpenEndpoint:
        return "no endpoint accepts tasks";
    case WaitReason::NoRoom:
        return "no endpoint has room";
    case WaitReason::HostLimit:
        return "endpoints with room run enough tasks of its step";
    case WaitReason::Label:
        return "endpoints with room lack its label";
    case WaitReason::AccountQuota:
        return "its account is at its quota";
    case WaitReason::EndpointSilent:
        return "its endpoint does not answer";
    case WaitReason::NotListed:
        return "it counts as at work, but is not listed";
    case WaitReason::NextPass:
        return "it starts with the next pass";
    }
    return "unknown";
}

auto RunLedger::waitingLongRunningTasks(Utils::Instant now) -> std::vector<WaitingTask>
{
    std::set<Jobs::TaskId> atWork;
    PendingRuns pending;
    for (const auto &[id, endpoint] : m_endpoints)
        addRuns(endpoint, now, atWork, pending);
    for (const auto &[id, outliving] : m_outliving) {
        for (const auto &run : outliving.runs)
            pending[run.task] = {WaitReason::EarlierRun, id, outliving.leaseEnd};
        for (const auto &[task, kind] : outliving.inherited)
            pending[task] = {WaitReason::EarlierRun, id, outliving.leaseEnd};
    }
    std::vector<WaitingTask> waiting;
    for (const auto &task : unfinishedLongRunningTasks()) {
        if (atWork.contains(task)) {
            m_formerWaits.erase(task);
            continue;
        }
        auto &entry = waiting.emplace_back();
        entry.task = task;
        entry.demand = Scheduling::occupiedBy(*specOf(task));
        entry.pool = m_jobs.at(task.job).spec().pool;
        if (const auto wait = m_formerWaits.find(task); wait != m_formerWaits.end())
            entry.since = wait->second;
        explainPlacement(entry, now);
        const auto run = pending.find(task);
        if (run != pending.end()) {
            entry.reason = run->second.reason;
            entry.endpoint = run->second.endpoint;
            entry.heldUntil = run->second.heldUntil;
        } else if (m_jobs.at(task.job).state(task) == TaskState::Booked) {
            entry.reason = WaitReason::EarlierRun;
        }
    }
    return waiting;
}

// Returns the long-running tasks whose step is ready.
auto RunLedger::unfinishedLongRunningTasks() -> std::vector<Jobs::TaskId>
{
    std::vector<Jobs::TaskId> tasks;
    for (auto &[id, job] : m_jobs) {
        if (!job.isLongRunning())
            continue;
        const auto number = job.currentOccurrence();
        const auto &occurrence = job.occurrence(number);
        for (std::size_t step = 0; step < occurrence.size(); ++step) {
            const auto &spec = job.spec().steps[step];
            if (!spec.longRunning || !job.isReady(occurrence, step))
                continue;
            for (std::int64_t index = 0; index < spec.count; ++index)
                tasks.push_back({id, number, std::int64_t(step), index});
        }
    }
    return tasks;
}

// Finds out what keeps an open task from the open endpoints of its pool: the first of the checks of
// room, label and limit per host that none of them passes.
auto RunLedger::explainPlacement(WaitingTask &waiting, Utils::Instant now) -> void
{
    const auto &spec = *specOf(waiting.task);
    auto withRoom = false;
    auto withLabel = false;
    auto belowLimit = false;
    for (const auto *endpoint : endpointsOfPool(waiting.pool)) {
        if (!acceptsTasks(*endpoint, now))
            continue;
        ++waiting.openEndpoints;
        const auto free = endpoint->freeResources();
        waiting.mostFree = mostOf(waiting.mostFree, free);
        if (!waiting.demand.fitsInto(free))
            continue;
        withRoom = true;
        const auto &labels = endpoint->record.labels;
        if (!spec.requiredLabel.empty()
            && std::ranges::find(labels, spec.requiredLabel) == labels.end())
            continue;
        withLabel = true;
        belowLimit = belowLimit || spec.maximumPerHost == 0
                     || endpoint->runs.countOfStep(waiting.task) < spec.maximumPerHost;
    }
    if (!mayStart(m_jobs.at(waiting.task.job), spec))
        waiting.reason = WaitReason::AccountQuota;
    else if (waiting.openEndpoints == 0)
        waiting.reason = WaitReason::NoOpenEndpoint;
    else if (!withRoom)
        waiting.reason = WaitReason::NoRoom;
    else if (!withLabel)
        waiting.reason = WaitReason::Label;
    else if (!belowLimit)
        waiting.reason = WaitReason::HostLimit;
}

} // namespace Execution
