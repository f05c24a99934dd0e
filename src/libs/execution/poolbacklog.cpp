#include "poolbacklog.h"

#include "scheduling/admission.h"
#include "scheduling/placement.h"

#include <algorithm>
#include <numeric>

namespace Execution {
namespace {

// Later objectives share the last slice.
constexpr std::int64_t sliceMs = 250;
// A task occupies its room at least for as long as it takes to order its start and to record its end.
constexpr std::int64_t shortestTaskMs = 20;
// A task counts as no longer than the table of objectives is, so that no estimate outweighs all other work.
constexpr std::int64_t longestTaskMs = 64 * sliceMs;
constexpr std::int64_t bytesPerJob = 2048;
constexpr std::int64_t bytesPerTask = 128;

} // namespace

auto WorkByRank::add(const WorkClass &workClass, std::int64_t objectiveAtMs, double workMs) -> void
{
    addTo(&Work::onTime, workClass, objectiveAtMs, workMs);
}

auto WorkByRank::addLate(const WorkClass &workClass, std::int64_t objectiveAtMs, double workMs)
    -> void
{
    addTo(&Work::late, workClass, objectiveAtMs, workMs);
}

auto WorkByRank::addTo(WorkBySlice part,
                       const WorkClass &workClass,
                       std::int64_t objectiveAtMs,
                       double workMs) -> void
{
    auto &work = m_classes[workClass];
    work.totalMs += workMs;
    (work.*part)[sliceOf(objectiveAtMs)] += workMs;
}

auto WorkByRank::beforeOnTime(const WorkClass &workClass, std::int64_t objectiveAtMs) const
    -> double
{
    return ofBetter(workClass) + upTo(&Work::onTime, workClass, objectiveAtMs);
}

auto WorkByRank::before(const WorkClass &workClass, std::int64_t objectiveAtMs) const -> double
{
    return beforeOnTime(workClass, objectiveAtMs) + upTo(&Work::late, workClass, objectiveAtMs);
}

auto WorkByRank::ofBetter(const WorkClass &workClass) const -> double
{
    double work = 0;
    for (const auto &[other, ofClass] : m_classes)
        work += other < workClass ? ofClass.totalMs : 0;
    return work;
}

auto WorkByRank::upTo(WorkBySlice part,
                      const WorkClass &workClass,
                      std::int64_t objectiveAtMs) const -> double
{
    const auto found = m_classes.find(workClass);
    if (found == m_classes.end())
        return 0;
    const auto &bySlice = found->second.*part;
    const auto end = bySlice.begin() + std::ptrdiff_t(sliceOf(objectiveAtMs)) + 1;
    return std::accumulate(bySlice.begin(), end, 0.0);
}

auto WorkByRank::total(bool withBeyondRate) const -> double
{
    double total = 0;
    for (const auto &[workClass, work] : m_classes)
        total += withBeyondRate || !workClass.beyondRate ? work.totalMs : 0;
    return total;
}

auto WorkByRank::sliceOf(std::int64_t objectiveAtMs) const -> std::size_t
{
    static_assert(longestTaskMs == std::int64_t(slices) * sliceMs);
    const auto slice = (objectiveAtMs - m_fromMs) / sliceMs;
    return std::size_t(std::clamp<std::int64_t>(slice, 0, std::int64_t(slices) - 1));
}

auto workMs(const Jobs::StepSpec &step,
            std::int64_t tasks,
            std::int64_t durationMs,
            const Jobs::Resources &host) -> double
{
    return Scheduling::shareOfHost(Scheduling::occupiedBy(step), host) * double(tasks)
           * double(std::clamp(durationMs, shortestTaskMs, longestTaskMs));
}

auto fits(const Jobs::JobSpec &job, const Jobs::Resources &largest) -> bool
{
    return std::ranges::all_of(job.steps, [&largest](const Jobs::StepSpec &step) {
        return step.demand.fitsInto(largest);
    });
}

auto bytesOf(const Jobs::JobSpec &job) -> std::int64_t
{
    auto bytes = bytesPerJob + std::int64_t(job.payload.size());
    for (const auto &step : job.steps)
        bytes += step.count * bytesPerTask;
    return bytes;
}

} // namespace Execution
