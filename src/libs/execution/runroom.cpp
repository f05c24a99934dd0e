// Implements the part of RunLedger that keeps endpoints free for tasks that wait.
#include "runledger.h"

#include <algorithm>
#include <span>
#include <utility>

namespace Execution {

// Keeps room free for tasks whose lease is awaited: short tasks may take longer to leave it.
auto RunLedger::keepFreeForLost(std::map<std::string, PoolPlacement> &pools, Utils::Instant now)
    -> void
{
    std::vector<std::int64_t> tasksOfStep;
    std::optional<Jobs::TaskId> step;
    for (const auto &task : lostTasks(now)) {
        const auto &job = m_jobs.at(task.job);
        auto &pool = placementOf(pools, job.spec().pool, now);
        const Jobs::TaskId first{task.job, task.occurrence, task.step, 0};
        if (std::exchange(step, first) != first)
            tasksOfStep = countTasksOfStep(job, first, pool);
        // A host takes about as long to move as the rest of the lease.
        if (!keepFree(*job.specOf(task), tasksOfStep, pool))
            addUnplaced(job, *job.specOf(task), 1, pool);
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

// Moves long-running tasks away from the endpoints that are to be evacuated.
auto RunLedger::evacuateEndpoints(std::map<std::string, PoolPlacement> &pools, Utils::Instant now)
    -> void
{
    std::map<Jobs::TaskId, std::vector<std::int64_t>> tasksOfSteps;
    for (auto &[id, endpoint] : m_endpoints) {
        if (!endpoint.evacuating)
            continue;
        for (auto &[task, run] : endpoint.runs) {
            const auto *job = findUnfinished(task);
            if (!run.longRunning || job == nullptr)
                continue;
            auto &pool = placementOf(pools, job->spec().pool, now);
            const Jobs::TaskId first{task.job, task.occurrence, task.step, 0};
            const auto [counts, added] = tasksOfSteps.try_emplace(first);
            if (added)
                counts->second = countTasksOfStep(*job, first, pool);
            moveAway(endpoint, run, counts->second, pool);
        }
    }
}

// Stops the task once another endpoint has room for it, and takes that room until it runs there. Until
// then it claims room like a task that waits. A task that is stopped without another place waits for as long
// as the pool is full, and the room that it leaves is closed to it.
auto RunLedger::moveAway(EndpointEntry &endpoint,
                         Run &run,
                         std::vector<std::int64_t> &tasksOfStep,
                         PoolPlacement &pool) -> void
{
    const auto &job = m_jobs.at(run.task.job);
    const auto &spec = *job.specOf(run.task);
    if (!run.stopReason && !mayMiss(run.task, {}))
        return;
    const auto isMaintained = endpoint.closedForMaintenance || !endpoint.closedForMove;
    // The members of a gang start together, so that no single place is looked for.
    if (spec.gang || takeRoom(spec, tasksOfStep, pool)) {
        m_stopsDue = m_stopsDue || !run.stopReason;
        run.requestStop(isMaintained ? StopReason::Maintenance : StopReason::HostMove);
        return;
    }
    const auto kept = keepFree(spec, tasksOfStep, pool);
    // A host that is released to another pool is not replaced by a further one.
    if (!kept && isMaintained)
        addUnplaced(job, spec, 1, pool);
}

// Takes room for a long-running task on an endpoint that can run it now. Returns false if there is none.
auto RunLedger::takeRoom(const Jobs::StepSpec &step,
                         std::vector<std::int64_t> &tasksOfStep,
                         PoolPlacement &pool) -> bool
{
    const auto chosen = Scheduling::chooseEndpoint(pool.views, {&step, tasksOfStep});
    if (!chosen)
        return false;
    auto &view = pool.views[*chosen];
    const auto demand = Scheduling::occupiedBy(step);
    view.free -= demand;
    view.freeOnceShortTasksEnd -= demand;
    ++tasksOfStep[*chosen];
    return true;
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

// Gives a long-running task the room that becomes free on an endpoint, so that tasks that need less
// do not take it piece by piece. Returns false if no endpoint could run the task.
auto RunLedger::keepFree(const Jobs::StepSpec &step,
                         std::vector<std::int64_t> &tasksOfStep,
                         PoolPlacement &pool) -> bool
{
    const auto chosen = Scheduling::chooseEndpointToKeepFree(pool.views, {&step, tasksOfStep});
    if (!chosen)
        return false;
    auto &view = pool.views[*chosen];
    const auto demand = Scheduling::occupiedBy(step);
    view.free -= demand;
    view.freeOnceShortTasksEnd -= demand;
    ++tasksOfStep[*chosen];
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
        view.open = acceptsTasksIfOpened(endpoint, pool.now);
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
    for (const auto &[id, endpoint] : m_endpoints)
        tasks = std::max(tasks, Scheduling::tasksPerHost(step, endpoint.record.capacity));
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
