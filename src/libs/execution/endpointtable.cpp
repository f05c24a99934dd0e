#include "endpointtable.h"

#include "scheduling/placement.h"

#include <algorithm>

namespace Execution {

// Endpoints' clocks may be this much slower than ours.
constexpr std::int64_t slowestClockPercent = 98;

auto makeRun(const Jobs::StepSpec &step, const Jobs::TaskId &task, std::int64_t number) -> Run
{
    Run run;
    run.task = task;
    run.number = number;
    run.occupies = Scheduling::occupiedBy(step);
    run.fills = step.fills;
    run.longRunning = step.longRunning;
    run.latencyTargetMs = step.latencyTargetMs;
    return run;
}

auto EndpointEntry::freeResources() const -> Jobs::Resources
{
    auto free = record.capacity;
    for (const auto &[task, run] : runs)
        free -= run.occupies;
    return free;
}

auto EndpointEntry::servesUsers() const -> bool
{
    return std::ranges::any_of(runs,
                               [](const auto &item) { return item.second.latencyTargetMs > 0; });
}

auto EndpointEntry::holdsLongRunning() const -> bool
{
    return std::ranges::any_of(runs, [](const auto &item) { return item.second.longRunning; });
}

auto EndpointEntry::clockAtLeast(Utils::Instant now) const -> std::int64_t
{
    return clockMs + (now - clockAt).count() * slowestClockPercent / 100;
}

} // namespace Execution
