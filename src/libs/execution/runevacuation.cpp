// Implements the part of RunLedger that moves long-running tasks away from endpoints.
#include "runledger.h"

#include <algorithm>
#include <functional>

namespace Execution {
namespace {

// Returns true if the run is being stopped so that its task moves elsewhere.
auto isStoppedToMove(const Run &run) -> bool
{
    return run.stopReason == StopReason::Maintenance || run.stopReason == StopReason::HostMove
           || run.stopReason == StopReason::Draining;
}

} // namespace

auto RunLedger::evacuate(const std::string &endpoint) -> void
{
    const auto found = m_endpoints.find(endpoint);
    if (found != m_endpoints.end())
        found->second.evacuating = true;
}

// Stops that are not sent yet are not wanted any more once the endpoint is open again. The others are settled.
auto RunLedger::endEvacuation(EndpointEntry &endpoint) -> void
{
    endpoint.evacuating = false;
    for (auto &[task, run] : endpoint.runs) {
        const auto toMove = isStoppedToMove(run) && run.stopReason != StopReason::Draining;
        if (toMove && run.stopSentAt == Utils::Instant())
            run.stopReason.reset();
        run.hasNoPlace = false;
    }
}

// Visits the long-running tasks that are to run elsewhere, and that may be at work. Those of endpoints that
// do not answer count as lost.
auto RunLedger::visitTasksToMove(PoolPlacements &pools,
                                 Utils::Instant now,
                                 const TaskVisitor &visit) -> void
{
    for (auto &[id, endpoint] : m_endpoints) {
        const auto silent = now - endpoint.lastReplyAt >= m_timing.maximumPollAge;
        if (silent || !(endpoint.evacuating || endpoint.draining))
            continue;
        for (auto &[task, run] : endpoint.runs) {
            const auto *job = findUnfinished(task);
            if (run.longRunning && job != nullptr)
                visit(endpoint, run, placementOf(pools, job->spec().pool, now));
        }
    }
}

// Keeps the places of tasks whose stop is on its way from all other tasks.
auto RunLedger::reserveForStopped(PoolPlacements &pools, Utils::Instant now) -> void
{
    visitTasksToMove(pools, now, [this](const auto &, Run &run, PoolPlacement &pool) {
        const auto &job = m_jobs.at(run.task.job);
        const auto &spec = *job.specOf(run.task);
        if (!isStoppedToMove(run) || spec.gang)
            return;
        auto &counts = tasksOfStep(job, run.task, pool);
        run.hasNoPlace = !takeRoom(spec, counts, pool);
        if (run.hasNoPlace)
            keepFree(spec, counts, pool);
    });
}

auto RunLedger::evacuateEndpoints(PoolPlacements &pools, Utils::Instant now) -> void
{
    visitTasksToMove(
        pools, now, [this](const EndpointEntry &endpoint, Run &run, PoolPlacement &pool) {
            if (endpoint.evacuating && !run.stopReason)
                moveAway(endpoint, run, pool);
        });
}

// Stops the task once another endpoint has room for it. Until then it claims room like a task that waits. A
// task that is stopped without another place waits for as long as the pool is full, and the room that it
// leaves is closed to it.
auto RunLedger::moveAway(const EndpointEntry &endpoint, Run &run, PoolPlacement &pool) -> void
{
    if (!mayMiss(run.task, {}))
        return;
    const auto &job = m_jobs.at(run.task.job);
    const auto &spec = *job.specOf(run.task);
    auto &counts = tasksOfStep(job, run.task, pool);
    const auto isMaintained = endpoint.closedForMaintenance || !endpoint.closedForMove;
    // The members of a gang start together, so that no single place is looked for.
    if (spec.gang || takeRoom(spec, counts, pool)) {
        run.requestStop(isMaintained ? StopReason::Maintenance : StopReason::HostMove);
        m_stopsDue = true;
        return;
    }
    const auto kept = keepFree(spec, counts, pool);
    // A host that is released to another pool is not replaced by a further one.
    if (!kept && isMaintained)
        addUnplaced(job, spec, 1, pool);
}

// Takes room for a long-running task on an endpoint that can run it now. Returns false if there is none.
auto RunLedger::takeRoom(const Jobs::StepSpec &step,
                         std::vector<std::int64_t> &tasksOfStep,
                         PoolPlacement &pool) -> bool
{
    if (!Scheduling::occupiedBy(step).fitsInto(pool.mostFree))
        return false;
    const auto chosen = Scheduling::chooseEndpoint(pool.views, {&step, tasksOfStep});
    if (chosen)
        claim(*chosen, step, tasksOfStep, pool);
    return chosen.has_value();
}

auto RunLedger::evacuable(const std::string &pool,
                          std::span<const EndpointEntry *const> candidates,
                          std::int64_t count,
                          Utils::Instant now) -> std::vector<std::string>
{
    auto placement = placementFor(pool, now);
    std::vector<std::string> chosen;
    for (const auto *endpoint : candidates) {
        if (std::int64_t(chosen.size()) >= count)
            break;
        const auto saved = placement;
        if (claimPlacesElsewhere(*endpoint, placement))
            chosen.push_back(endpoint->record.incarnation.id);
        else
            placement = saved;
    }
    return chosen;
}

// Claims the room that the long-running tasks of the endpoint need on others once short tasks have ended there.
auto RunLedger::claimPlacesElsewhere(const EndpointEntry &endpoint, PoolPlacement &pool) -> bool
{
    const auto index =
        std::size_t(std::ranges::find(pool.endpoints, &endpoint) - pool.endpoints.begin());
    if (index == pool.endpoints.size())
        return false;
    pool.views[index].open = false;
    return std::ranges::all_of(endpoint.runs, [&](const auto &item) {
        const auto &[task, run] = item;
        const auto *job = findUnfinished(task);
        if (!run.longRunning || job == nullptr)
            return true;
        const auto &spec = *job->specOf(task);
        auto &counts = tasksOfStep(*job, task, pool);
        const auto place = Scheduling::chooseEndpointToKeepFree(pool.views, {&spec, counts});
        if (place)
            claim(*place, spec, counts, pool);
        return place.has_value() && !spec.gang;
    });
}

} // namespace Execution
