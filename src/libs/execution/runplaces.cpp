// Implements the part of RunLedger that places tasks near their data or their group.
#include "runledger.h"

#include "scheduling/joborder.h"

#include <algorithm>
#include <utility>

namespace Execution {
namespace {

// Tasks beyond this number between two calls of takePlacedTasks() are not reported.
constexpr std::size_t maximumPlacedTasks = 1000;

auto isBound(const Jobs::StepSpec &step) -> bool
{
    return step.rackBound && step.count > 1;
}

} // namespace

// Long-running tasks start at once, and backfill tasks take what others leave.
auto RunLedger::dependsOnPlace(const Jobs::StepSpec &step) const -> bool
{
    return m_timing.farFactor > 1 && !step.longRunning && !step.fills
           && (!step.dataRack.empty() || isBound(step));
}

// Tells where the open tasks of the step may start now, and whether they wait for places near.
auto RunLedger::planPlaces(JobProgress &job, const Jobs::TaskId &first, PoolPlacement &pool)
    -> PlacePlan
{
    const auto &spec = job.spec().steps[std::size_t(first.step)];
    if (!dependsOnPlace(spec))
        return {};
    std::vector<std::int64_t> tasksOfStep;
    if (isBound(spec) || spec.maximumPerHost > 0)
        tasksOfStep = countTasksOfStep(job, first, pool);
    const StepPlaces step{
        &spec,
        tasksOfStep,
        std::int64_t(job.occurrence(first.occurrence)[std::size_t(first.step)].open)};
    const auto racks = racksFor(step, pool);
    if (const auto fitting = bestFittingRack(racks, step, pool)) {
        m_places.endWait(first, pool.now, false);
        return {*fitting};
    }
    const auto soonest = soonestRack(racks, step, pool);
    if (!soonest || !paysToWait(job, first, soonest->waitMs, pool.now)) {
        m_places.endWait(first, pool.now, isBound(spec));
        return {};
    }
    m_places.wait(first, pool.now);
    outlookOf(soonest->rack, spec, pool)
        .addWaiting(Scheduling::occupiedBy(spec), step.open - soonest->room);
    return {soonest->rack, true, spec.gang || soonest->room == 0};
}

// Returns the racks on which the tasks count as near, none if the step is spread already.
auto RunLedger::racksFor(const StepPlaces &step, PoolPlacement &pool)
    -> std::vector<std::string_view>
{
    if (pool.racks.empty()) {
        for (std::size_t index = 0; index < pool.views.size(); ++index)
            pool.racks[pool.views[index].rack].push_back(index);
    }
    std::vector<std::string_view> racks;
    if (!step.spec->dataRack.empty())
        racks.push_back(step.spec->dataRack);
    if (!isBound(*step.spec))
        return racks;
    std::vector<std::string_view> all;
    for (const auto &[rack, endpoints] : pool.racks) {
        const auto runs = [&](std::size_t index) { return step.tasksOfStep[index] > 0; };
        if (std::ranges::any_of(endpoints, runs) && std::ranges::find(racks, rack) == racks.end())
            racks.push_back(rack);
        all.push_back(rack);
    }
    if (racks.size() > 1)
        return {};
    return racks.empty() ? all : racks;
}

auto RunLedger::roomOn(std::string_view rack,
                       const StepPlaces &step,
                       const PoolPlacement &pool,
                       RoomAt when) -> std::int64_t
{
    std::int64_t room = 0;
    const auto endpoints = pool.racks.find(rack);
    if (endpoints == pool.racks.end())
        return 0;
    const Scheduling::PlacementRequest request{step.spec, step.tasksOfStep};
    for (const auto index : endpoints->second) {
        const auto &view = pool.views[index];
        const auto &free = when == RoomAt::Now ? view.free : view.freeOnceShortTasksEnd;
        room += Scheduling::tasksWithRoom(view, free, request, index);
    }
    return room;
}

// Returns the rack that has room for all open tasks, and for the fewest others.
auto RunLedger::bestFittingRack(std::span<const std::string_view> racks,
                                const StepPlaces &step,
                                const PoolPlacement &pool) -> std::optional<std::string_view>
{
    std::optional<std::string_view> best;
    std::int64_t leastRoom = 0;
    for (const auto rack : racks) {
        const auto outlook = pool.outlooks.find({rack, step.spec->requiredLabel});
        if (outlook != pool.outlooks.end()
            && !Scheduling::occupiedBy(*step.spec).fitsInto(outlook->second.mostFree()))
            continue;
        const auto room = roomOn(rack, step, pool, RoomAt::Now);
        if (room < step.open || (best && room >= leastRoom))
            continue;
        best = rack;
        leastRoom = room;
    }
    return best;
}

// Returns the rack that is expected to have room for all open tasks first, if one ever has.
auto RunLedger::soonestRack(std::span<const std::string_view> racks,
                            const StepPlaces &step,
                            PoolPlacement &pool) -> std::optional<RackWait>
{
    const auto &spec = *step.spec;
    const auto demand = Scheduling::occupiedBy(spec);
    const auto together = spec.gang || isBound(spec) || spec.maximumPerHost > 0;
    std::optional<RackWait> soonest;
    for (const auto rack : racks) {
        const auto &outlook = outlookOf(rack, spec, pool);
        const auto room =
            demand.fitsInto(outlook.mostFree()) ? roomOn(rack, step, pool, RoomAt::Now) : 0;
        const auto waitMs = outlook.expectedWaitMs(demand, step.open - room);
        if (waitMs == Scheduling::neverMs || (soonest && waitMs >= soonest->waitMs))
            continue;
        if (together && roomOn(rack, step, pool, RoomAt::OnceShortTasksEnd) < step.open)
            continue;
        soonest = {rack, waitMs, room};
    }
    return soonest;
}

// Returns the outlook of the endpoints of the rack that have the label that the step requires. It is
// computed once in a pass.
auto RunLedger::outlookOf(std::string_view rack, const Jobs::StepSpec &step, PoolPlacement &pool)
    -> Scheduling::RackOutlook &
{
    const auto [found, added] = pool.outlooks.try_emplace({rack, step.requiredLabel});
    auto &outlook = found->second;
    const auto endpoints = pool.racks.find(rack);
    if (!added || endpoints == pool.racks.end())
        return outlook;
    for (const auto index : endpoints->second) {
        const auto &view = pool.views[index];
        if (!view.open || !Scheduling::hasLabel(view, step.requiredLabel))
            continue;
        outlook.addEndpoint(view.free);
        for (const auto &[task, run] : pool.endpoints[index]->runs) {
            if (!run.longRunning)
                outlook.addRun(run.occupies, run.expectedMs, (pool.now - run.orderedAt).count());
        }
    }
    return outlook;
}

auto RunLedger::paysToWait(JobProgress &job,
                           const Jobs::TaskId &first,
                           std::int64_t nearInMs,
                           Utils::Instant now) const -> bool
{
    if (!m_places.mayWait(first))
        return false;
    const auto remainingMs = job.remainingMs(first.occurrence);
    const auto rank = Scheduling::rankOf(
        job.terms(), job.chainMs(), job.spec().dueMs(first.occurrence), remainingMs, m_passWallMs);
    Scheduling::PlaceQuestion question;
    question.farFactor = m_timing.farFactor;
    question.workMs = job.durationMs(std::size_t(first.step));
    question.nearInMs = nearInMs;
    question.waitedMs = m_places.waited(first, now).count();
    question.othersEndInMs = timeUntilOthersEnd(job, first, now);
    question.slackMs = rank.objectiveAtMs - m_passWallMs - remainingMs;
    return Scheduling::placeWaitMs(question) > 0;
}

// Returns the expected time until the running tasks of the step have ended, in milliseconds.
auto RunLedger::timeUntilOthersEnd(const JobProgress &job,
                                   const Jobs::TaskId &first,
                                   Utils::Instant now) const -> std::int64_t
{
    std::int64_t longest = 0;
    for (const auto &id : job.endpoints()) {
        const auto endpoint = m_endpoints.find(id);
        if (endpoint == m_endpoints.end())
            continue;
        for (const auto &[task, run] : endpoint->second.runs.ofStep(first))
            longest = std::max(longest, run.expectedMs - (now - run.orderedAt).count());
    }
    return longest;
}

// Notes how long a run is expected to take where it starts.
auto RunLedger::notePlace(Run &run, const EndpointEntry &endpoint, const JobProgress &job) -> void
{
    const auto &spec = job.spec().steps[std::size_t(run.task.step)];
    const auto first = Jobs::firstOfStep(run.task);
    run.expectedMs = job.durationMs(std::size_t(run.task.step));
    if (!dependsOnPlace(spec))
        return;
    const auto awayFromData = !spec.dataRack.empty() && spec.dataRack != endpoint.record.rack;
    run.far = awayFromData || m_places.isSpread(first);
    if (run.far)
        run.expectedMs = std::int64_t(double(run.expectedMs) * m_timing.farFactor);
    if (m_placedTasks.size() < maximumPlacedTasks)
        m_placedTasks.push_back({run.task,
                                 endpoint.record.incarnation.id,
                                 run.far,
                                 m_places.waited(first, run.orderedAt)});
}

// Returns the time that a run would have taken near its data and its group, if that is known.
auto RunLedger::nearDuration(const Run &run, Utils::Instant now) const
    -> std::optional<std::int64_t>
{
    const auto tookMs = (now - run.confirmedAt).count();
    if (run.far)
        return std::int64_t(double(tookMs) / m_timing.farFactor);
    // It was spread after this run had started.
    if (m_places.isSpread(Jobs::firstOfStep(run.task)))
        return std::nullopt;
    return tookMs;
}

auto RunLedger::takePlacedTasks() -> std::vector<PlacedTask>
{
    return std::exchange(m_placedTasks, {});
}

} // namespace Execution
