#include "jobprogress.h"

#include "scheduling/joborder.h"
#include "scheduling/placement.h"

#include <algorithm>

namespace Execution {
namespace {

// Occurrences of one job that may be in progress at the same time, and their tasks.
constexpr std::int64_t maximumOverlap = 1000;
constexpr std::int64_t maximumTasksInProgress = 100'000;

auto copyStep(const Jobs::StepProgress &progress) -> JobProgress::Step
{
    JobProgress::Step step;
    for (const auto &task : progress.tasks)
        step.tasks.push_back(task.done ? TaskState::Done : TaskState::Open);
    step.done = std::size_t(std::ranges::count(step.tasks, TaskState::Done));
    step.open = step.tasks.size() - step.done;
    return step;
}

} // namespace

JobProgress::JobProgress(const Jobs::Job &job, std::span<const std::int64_t> durationsMs)
    : m_spec(job.spec)
    , m_durationsMs(durationsMs.begin(), durationsMs.end())
    , m_longRunning(std::ranges::any_of(job.spec.steps, &Jobs::StepSpec::longRunning))
    , m_chainMs(Scheduling::longestChainMs(job.spec.steps, durationsMs))
{
    for (const auto &[number, progress] : job.occurrences) {
        auto &steps = m_occurrences[number];
        for (const auto &step : progress.steps)
            steps.push_back(copyStep(step));
    }
}

auto JobProgress::occurrence(std::int64_t number) -> Occurrence &
{
    const auto [found, added] = m_occurrences.try_emplace(number);
    if (added) {
        for (const auto &spec : m_spec.steps) {
            const auto count = std::size_t(spec.count);
            found->second.push_back({std::vector(count, TaskState::Open), count, 0});
        }
        m_readyWork.reset();
    }
    return found->second;
}

auto JobProgress::currentOccurrence() -> std::int64_t
{
    const auto last = m_spec.occurrences() - 1;
    while (m_firstNotDone < last && std::ranges::all_of(occurrence(m_firstNotDone), &Step::isDone))
        ++m_firstNotDone;
    return m_firstNotDone;
}

auto JobProgress::endOfOverlap() -> std::int64_t
{
    std::int64_t tasks = 0;
    for (const auto &step : m_spec.steps)
        tasks += step.count;
    const auto overlapping = std::clamp<std::int64_t>(
        maximumTasksInProgress / std::max<std::int64_t>(1, tasks), 1, maximumOverlap);
    return std::min(m_spec.occurrences(), currentOccurrence() + overlapping);
}

auto JobProgress::mayStart(std::int64_t wallMs) -> bool
{
    if (cachedReadyWork().tasks > 0)
        return true;
    const auto begun = std::int64_t(m_occurrences.size());
    if (m_spec.repetition.count == 0)
        return begun == 0;
    return begun < endOfOverlap() && m_spec.dueMs(begun) <= wallMs;
}

auto JobProgress::readyWork() -> std::optional<ReadyWork>
{
    if (m_spec.repetition.count > 0 || m_occurrences.empty())
        return std::nullopt;
    return cachedReadyWork();
}

auto JobProgress::cachedReadyWork() -> const ReadyWork &
{
    if (!m_readyWork)
        m_readyWork = computeReadyWork();
    return *m_readyWork;
}

// Open tasks of steps that wait for earlier steps do not count, so that most jobs in progress take no
// part in a scheduling pass.
auto JobProgress::computeReadyWork() const -> ReadyWork
{
    ReadyWork work;
    for (const auto &[number, steps] : m_occurrences) {
        for (std::size_t index = 0; index < steps.size(); ++index) {
            if (steps[index].open == 0 || !isReady(steps, index))
                continue;
            const auto demand = Scheduling::occupiedBy(m_spec.steps[index]);
            work.leastDemand = work.tasks == 0 ? demand : leastOf(work.leastDemand, demand);
            work.tasks += steps[index].open;
        }
    }
    return work;
}

auto JobProgress::hasBookedTask() const -> bool
{
    return std::ranges::any_of(m_occurrences, [](const auto &item) {
        return std::ranges::any_of(item.second, [](const Step &step) {
            return step.open + step.done < step.tasks.size();
        });
    });
}

auto JobProgress::find(const Jobs::TaskId &task) const -> const Step *
{
    const auto found = m_occurrences.find(task.occurrence);
    if (found == m_occurrences.end() || task.step < 0
        || std::size_t(task.step) >= found->second.size())
        return nullptr;
    const auto &step = found->second[std::size_t(task.step)];
    return task.index >= 0 && std::size_t(task.index) < step.tasks.size() ? &step : nullptr;
}

auto JobProgress::state(const Jobs::TaskId &task) const -> TaskState
{
    const auto *step = find(task);
    return step != nullptr ? step->tasks[std::size_t(task.index)] : TaskState::Open;
}

auto JobProgress::setState(const Jobs::TaskId &task, TaskState state) -> void
{
    occurrence(task.occurrence);
    if (find(task) == nullptr)
        return;
    auto &step = occurrence(task.occurrence)[std::size_t(task.step)];
    auto &current = step.tasks[std::size_t(task.index)];
    // A task that is done stays done.
    if (current == TaskState::Done || current == state)
        return;
    const auto opened = std::size_t(state == TaskState::Open ? 1 : 0);
    const auto closed = std::size_t(current == TaskState::Open ? 1 : 0);
    step.open += opened - closed;
    m_readyWork.reset();
    if (state == TaskState::Done) {
        ++step.done;
        m_remainingMs.erase(task.occurrence);
    }
    current = state;
}

auto JobProgress::setStepDone(const Jobs::TaskId &task) -> void
{
    if (find(task) == nullptr)
        return;
    auto member = task;
    for (member.index = 0; member.index < m_spec.steps[std::size_t(task.step)].count;
         ++member.index)
        setState(member, TaskState::Done);
}

auto JobProgress::remainingMs(std::int64_t number) -> std::int64_t
{
    if (const auto known = m_remainingMs.find(number); known != m_remainingMs.end())
        return known->second;
    const auto &steps = occurrence(number);
    std::vector<std::int64_t> finishMs;
    std::int64_t longest = 0;
    for (std::size_t index = 0; index < steps.size(); ++index) {
        const auto &spec = m_spec.steps[index];
        std::int64_t startMs = 0;
        for (const auto earlier : spec.after) {
            if (std::size_t(earlier) < finishMs.size())
                startMs = std::max(startMs, finishMs[std::size_t(earlier)]);
        }
        finishMs.push_back(steps[index].isDone() ? 0 : startMs + m_durationsMs[index]);
        longest = std::max(longest, finishMs.back());
    }
    m_remainingMs[number] = longest;
    return longest;
}

auto JobProgress::isReady(const Occurrence &occurrence, std::size_t index) const -> bool
{
    return std::ranges::all_of(m_spec.steps[index].after, [&](std::int64_t earlier) {
        return std::size_t(earlier) >= occurrence.size()
               || occurrence[std::size_t(earlier)].isDone();
    });
}

auto JobProgress::specOf(const Jobs::TaskId &task) const -> const Jobs::StepSpec *
{
    if (task.step < 0 || std::size_t(task.step) >= m_spec.steps.size())
        return nullptr;
    const auto &spec = m_spec.steps[std::size_t(task.step)];
    return task.index >= 0 && task.index < spec.count ? &spec : nullptr;
}

} // namespace Execution
