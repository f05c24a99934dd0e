#include "jobprogress.h"

#include "scheduling/joborder.h"

#include <algorithm>

namespace Execution {
namespace {

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

JobProgress::JobProgress(const Jobs::Job &job)
    : m_specs(job.spec.steps)
    , m_chainMs(Scheduling::longestChainMs(job.spec))
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
        for (const auto &spec : m_specs) {
            const auto count = std::size_t(spec.count);
            found->second.push_back({std::vector(count, TaskState::Open), count, 0});
        }
    }
    return found->second;
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
    step.open -= current == TaskState::Open ? 1 : 0;
    step.open += state == TaskState::Open ? 1 : 0;
    step.done += state == TaskState::Done ? 1 : 0;
    current = state;
}

auto JobProgress::setStepDone(const Jobs::TaskId &task) -> void
{
    if (find(task) == nullptr)
        return;
    auto member = task;
    for (member.index = 0; member.index < m_specs[std::size_t(task.step)].count; ++member.index)
        setState(member, TaskState::Done);
}

auto JobProgress::remainingMs(std::int64_t number) -> std::int64_t
{
    const auto &steps = occurrence(number);
    std::vector<std::int64_t> finishMs;
    std::int64_t longest = 0;
    for (std::size_t index = 0; index < steps.size(); ++index) {
        const auto &spec = m_specs[index];
        std::int64_t startMs = 0;
        for (const auto earlier : spec.after) {
            if (std::size_t(earlier) < finishMs.size())
                startMs = std::max(startMs, finishMs[std::size_t(earlier)]);
        }
        finishMs.push_back(steps[index].isDone() ? 0 : startMs + spec.estimateMs);
        longest = std::max(longest, finishMs.back());
    }
    return longest;
}

auto JobProgress::isReady(const Occurrence &occurrence, std::size_t index) const -> bool
{
    return std::ranges::all_of(m_specs[index].after, [&](std::int64_t earlier) {
        return std::size_t(earlier) >= occurrence.size()
               || occurrence[std::size_t(earlier)].isDone();
    });
}

auto JobProgress::specOf(const Jobs::TaskId &task) const -> const Jobs::StepSpec *
{
    if (task.step < 0 || std::size_t(task.step) >= m_specs.size())
        return nullptr;
    const auto &spec = m_specs[std::size_t(task.step)];
    return task.index >= 0 && task.index < spec.count ? &spec : nullptr;
}

} // namespace Execution
