#include "endpointtable.h"

#include "scheduling/placement.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Execution {

auto makeRun(const Jobs::StepSpec &step, const Jobs::TaskId &task, std::int64_t number) -> Run
{
    Run run;
    run.task = task;
    run.number = number;
    run.occupies = Scheduling::occupiedBy(step);
    run.demand = step.demand;
    run.fills = step.fills;
    run.longRunning = step.longRunning;
    run.latencyTargetMs = step.latencyTargetMs;
    return run;
}

auto Run::releasedFrom(const std::string &endpoint, ReleaseReason reason) const -> Release
{
    const auto unanswered = unansweredAt != Utils::Instant();
    return {
        task, number, endpoint, reason, unanswered ? std::optional(unansweredAt) : std::nullopt};
}

auto Run::awaitLateCopy(Utils::Instant unanswered) -> void
{
    state = RunState::Uncertain;
    unansweredAt = unanswered;
    carriedOut = false;
    percent = 0;
}

auto Run::requestStop(StopReason reason) -> void
{
    if (!stopReason || (canWait(*stopReason) && !canWait(reason)))
        stopReason = reason;
}

auto RunTable::find(const Jobs::TaskId &task) -> Run *
{
    const auto found = m_runs.find(task);
    return found != m_runs.end() ? &found->second : nullptr;
}

auto RunTable::find(const Jobs::TaskId &task) const -> const Run *
{
    const auto found = m_runs.find(task);
    return found != m_runs.end() ? &found->second : nullptr;
}

auto RunTable::add(const Run &run) -> Run &
{
    erase(run.task);
    count(run, 1);
    return m_runs[run.task] = run;
}

auto RunTable::erase(const Jobs::TaskId &task) -> void
{
    const auto found = m_runs.find(task);
    if (found == m_runs.end())
        return;
    count(found->second, -1);
    m_runs.erase(found);
}

auto RunTable::take() -> Runs
{
    auto runs = std::exchange(m_runs, {});
    *this = {};
    return runs;
}

auto RunTable::ofStep(const Jobs::TaskId &task) const -> Part
{
    auto last = task;
    last.index = INT64_MAX;
    return {m_runs.lower_bound(Jobs::firstOfStep(task)), m_runs.upper_bound(last)};
}

auto RunTable::countOfStep(const Jobs::TaskId &task) const -> std::int64_t
{
    const auto runs = ofStep(task);
    return std::distance(runs.begin(), runs.end());
}

auto RunTable::count(const Run &run, int by) -> void
{
    const auto change = [by, &run](Jobs::Resources &sum) {
        if (by > 0)
            sum += run.occupies;
        else
            sum -= run.occupies;
    };
    change(m_occupied);
    if (run.longRunning)
        change(m_occupiedByLongRunning);
    if (by > 0)
        m_byAccount.add(run.account, run.demand);
    else
        m_byAccount.remove(run.account, run.demand);
    m_withTarget += run.latencyTargetMs > 0 ? by : 0;
    m_longRunning += run.longRunning ? by : 0;
    m_backfill += run.fills ? by : 0;
}

auto OutlivingRuns::find(const Jobs::TaskId &task) -> Run *
{
    const auto found = std::ranges::find(runs, task, &Run::task);
    return found != runs.end() ? &*found : nullptr;
}

auto OutlivingRuns::contains(const Jobs::TaskId &task) const -> bool
{
    return inherited.contains(task) || std::ranges::find(runs, task, &Run::task) != runs.end();
}

auto OutlivingRuns::erase(const Jobs::TaskId &task) -> void
{
    std::erase_if(runs, [&task](const Run &run) { return run.task == task; });
}

auto EndpointEntry::freeResources() const -> Jobs::Resources
{
    auto free = record.capacity;
    free -= runs.occupied();
    return free;
}

auto EndpointEntry::freeOnceShortTasksEnd() const -> Jobs::Resources
{
    auto free = record.capacity;
    free -= runs.occupiedByLongRunning();
    return free;
}

auto EndpointEntry::clockAtLeast(Utils::Instant time) const -> std::int64_t
{
    const auto sinceReplyMs = (time - clockAt).count();
    const auto percent = sinceReplyMs < 0 ? fastestClockPercent : slowestClockPercent;
    return clockMs + sinceReplyMs * percent / 100;
}

auto largestCapacity(const EndpointTable &endpoints) -> Jobs::Resources
{
    Jobs::Resources largest;
    for (const auto &[id, endpoint] : endpoints)
        largest = mostOf(largest, endpoint.record.capacity);
    return largest;
}

} // namespace Execution
