// Implements the part of RunLedger that keeps endpoints free for tasks that wait.
#include "runledger.h"

#include <algorithm>
#include <span>
#include <utility>

namespace Execution {

// Keeps room free for tasks whose lease is awaited: short tasks may take longer to leave it.
auto RunLedger::keepFreeForLost(PoolPlacements &pools, Utils::Instant now) -> void
{
    std::map<Jobs::TaskId, std::int64_t> unplaced; // Tasks without room by step.
    for (const auto &task : lostTasks(now)) {
        const auto &job = m_jobs.at(task.job);
        auto &pool = placementOf(pools, job.spec().pool, now);
        const auto first = Jobs::firstOfStep(task);
        // If one task of a step has no room, the others have none, either.
        if (unplaced.contains(first)
            || !keepFree(*job.specOf(task), tasksOfStep(job, task, pool), pool))
            ++unplaced[first];
    }
    // A host takes about as long to move as the rest of the lease.
    for (const auto &[first, count] : unplaced) {
        const auto &job = m_jobs.at(first.job);
        addUnplaced(job, *job.specOf(first), count, pools.at(job.spec().pool));
    }
}

// Returns the long-running tasks that are booked where nothing answers; gangs start together only.
auto RunLedger::lostTasks(Utils::Instant now) -> std::set<Jobs::TaskId>
{
    std::set<Jobs::TaskId> tasks;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (now - endpoint.lastReplyAt < m_timing.maximumPollAge)
            continue;
        for (const auto &[task, run] : endpoint.runs)
            tasks.insert(task);
        for (const auto &[task, kind] : endpoint.inherited)
            tasks.insert(task);
    }
    for (const auto &[id, outliving] : m_outliving) {
        for (const auto &run : outliving.runs)
            tasks.insert(run.task);
        for (const auto &[task, kind] : outliving.inherited)
            tasks.insert(task);
    }
    std::erase_if(tasks, [this](const Jobs::TaskId &task) {
        const auto *job = findUnfinished(task);
        if (job == nullptr || job->state(task) != TaskState::Booked)
            return true;
        const auto &spec = *job->specOf(task);
        return !spec.longRunning || spec.gang;
    });
    return tasks;
}

auto RunLedger::hasRoom(PoolPlacement &pool, const Jobs::Resources &demand) -> bool
{
    const auto refused = [&demand](const auto &tooLarge) { return tooLarge.fitsInto(demand); };
    if (std::ranges::any_of(pool.tooLarge, refused))
        return false;
    ++m_searches;
    if (Scheduling::hasRoom(pool.views, demand))
        return true;
    pool.tooLarge.push_back(demand);
    return false;
}

// Keeps room on the endpoint from tasks that are considered later in the pass. The tasks of the step are not
// counted if no limit depends on them.
auto RunLedger::claim(std::size_t endpoint,
                      const Jobs::StepSpec &step,
                      std::vector<std::int64_t> &tasksOfStep,
                      PoolPlacement &pool) -> void
{
    auto &view = pool.views[endpoint];
    const auto demand = Scheduling::occupiedBy(step);
    view.free -= demand;
    if (step.longRunning)
        view.freeOnceShortTasksEnd -= demand;
    if (!tasksOfStep.empty())
        ++tasksOfStep[endpoint];
}

// Gives a long-running task the room that becomes free on an endpoint, so that tasks that need less
// do not take it piece by piece. Returns false if no endpoint could run the task.
auto RunLedger::keepFree(const Jobs::StepSpec &step,
                         std::vector<std::int64_t> &tasksOfStep,
                         PoolPlacement &pool) -> bool
{
    if (!Scheduling::occupiedBy(step).fitsInto(pool.mostOnceShortTasksEnd))
        return false;
    const auto chosen = Scheduling::chooseEndpointToKeepFree(pool.views, {&step, tasksOfStep});
    if (!chosen)
        return false;
    claim(*chosen, step, tasksOfStep, pool);
    m_keptFree.insert(pool.endpoints[*chosen]->record.incarnation.id);
    return true;
}

// Notes the closed endpoints of the pool that could run the task. The task asks for a host beside that: which of
// them are being moved already is not known here.
auto RunLedger::noteToBeOpened(const Jobs::StepSpec &step,
                               const std::vector<std::int64_t> &tasksOfStep,
                               const PoolPlacement &pool) -> void
{
    for (std::size_t index = 0; index < pool.endpoints.size(); ++index) {
        const auto &endpoint = *pool.endpoints[index];
        if (!endpoint.closedForMove || endpoint.closedForMaintenance)
            continue;
        auto view = pool.views[index];
        view.open = isUsable(endpoint, pool.now);
        const std::span tasks(&tasksOfStep[index], 1);
        if (Scheduling::countPlaces({&view, 1}, {&step, tasks}) > 0)
            m_toBeOpened.insert(endpoint.record.incarnation.id);
    }
}

auto RunLedger::isToBeOpened(const std::string &endpoint) const -> bool
{
    return m_toBeOpened.contains(endpoint);
}

// Keeps room free for all members of a long-running gang, or counts them as unplaced.
auto RunLedger::keepFreeForGang(const JobProgress &job,
                                const Jobs::StepSpec &step,
                                PoolPlacement &pool) -> void
{
    const auto savedViews = pool.views;
    const auto savedKeptFree = m_keptFree;
    std::vector<std::int64_t> tasksOfStep(pool.endpoints.size(), 0);
    for (std::int64_t member = 0; member < step.count; ++member) {
        if (keepFree(step, tasksOfStep, pool))
            continue;
        pool.views = savedViews;
        m_keptFree = savedKeptFree;
        addUnplaced(job, step, step.count - member, pool);
        return;
    }
}

auto RunLedger::capacities() -> const std::vector<Jobs::Resources> &
{
    if (!m_capacities.empty())
        return m_capacities;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (std::ranges::find(m_capacities, endpoint.record.capacity) == m_capacities.end())
            m_capacities.push_back(endpoint.record.capacity);
    }
    return m_capacities;
}

// Counts the hosts that could run \a count tasks of the step. Hosts that lack the label or are too small
// would not help.
auto RunLedger::addUnplaced(const JobProgress &job,
                            const Jobs::StepSpec &step,
                            std::int64_t count,
                            const PoolPlacement &pool) -> void
{
    if (!step.requiredLabel.empty())
        return;
    std::int64_t tasks = 0;
    for (const auto &capacity : capacities())
        tasks = std::max(tasks, Scheduling::tasksPerHost(step, capacity));
    if (tasks == 0)
        return;
    auto &unplaced = m_unplaced[job.spec().pool];
    unplaced.hosts += double(count) / double(tasks);
    unplaced.openEndpoints = std::ranges::count(pool.views, true, &Scheduling::EndpointView::open);
}

auto RunLedger::isKeptFree(const std::string &endpoint) const -> bool
{
    return m_keptFree.contains(endpoint);
}

} // namespace Execution
