#include "jobtable.h"

#include <algorithm>
#include <utility>

namespace Jobs {
namespace {

auto openProgress(const JobSpec &spec) -> OccurrenceProgress
{
    OccurrenceProgress progress;
    for (const auto &step : spec.steps)
        progress.steps.push_back({std::vector<TaskProgress>(std::size_t(step.count)), 0});
    return progress;
}

auto hasTask(const JobSpec &spec, const TaskId &task) -> bool
{
    return task.occurrence >= 0 && task.occurrence < spec.occurrences() && task.step >= 0
           && task.step < std::int64_t(spec.steps.size()) && task.index >= 0
           && task.index < spec.steps[std::size_t(task.step)].count;
}

auto markDone(StepProgress &progress, std::size_t index) -> void
{
    if (std::exchange(progress.tasks[index].done, true))
        return;
    ++progress.doneTasks;
}

} // namespace

auto OccurrenceProgress::isDone() const -> bool
{
    return std::ranges::all_of(steps, &StepProgress::isDone);
}

auto Job::progress(std::int64_t number) const -> OccurrenceProgress
{
    const auto found = occurrences.find(number);
    return found != occurrences.end() ? found->second : openProgress(spec);
}

auto JobTable::add(JobSpec spec) -> bool
{
    auto id = spec.id;
    const auto [job, added] = m_jobs.try_emplace(id, Job{std::move(spec), JobState::Active, {}, 0});
    if (!added)
        return false;
    m_activeIds.insert(std::move(id));
    ++m_version;
    return true;
}

auto JobTable::cancel(std::string_view id, std::int64_t nowMs) -> bool
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end())
        return false;
    auto &job = found->second;
    if (job.state == JobState::Active)
        end(job, JobState::Cancelled, nowMs);
    return true;
}

auto JobTable::recordEnd(const TaskId &task,
                         TaskOutcome outcome,
                         std::int64_t maximumAttempts,
                         std::int64_t nowMs) -> void
{
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end() || found->second.state != JobState::Active)
        return;
    auto &job = found->second;
    if (!hasTask(job.spec, task))
        return;
    const auto &spec = job.spec.steps[std::size_t(task.step)];
    const auto known = job.occurrences.find(task.occurrence);
    auto &occurrence = known != job.occurrences.end()
                           ? known->second
                           : (job.occurrences[task.occurrence] = openProgress(job.spec));
    auto &progress = occurrence.steps[std::size_t(task.step)];
    if (outcome == TaskOutcome::Done) {
        // The successful end of one member ends the whole gang.
        const auto first = spec.gang ? 0 : std::size_t(task.index);
        const auto last = spec.gang ? progress.tasks.size() : first + 1;
        for (auto index = first; index < last; ++index)
            markDone(progress, index);
        finishIfDone(job, nowMs);
        return;
    }
    auto &counted = progress.tasks[spec.gang ? 0 : std::size_t(task.index)];
    ++counted.failures;
    if (spec.longRunning || counted.done || maximumAttempts == 0
        || counted.failures < maximumAttempts)
        return;
    end(job, JobState::Failed, nowMs);
}

auto JobTable::isUndone(const TaskId &task) const -> bool
{
    const auto *job = find(task.job);
    if (job == nullptr || job->state != JobState::Active || !hasTask(job->spec, task))
        return false;
    const auto occurrence = job->occurrences.find(task.occurrence);
    return occurrence == job->occurrences.end()
           || !occurrence->second.steps[std::size_t(task.step)].tasks[std::size_t(task.index)].done;
}

auto JobTable::end(Job &job, JobState state, std::int64_t nowMs) -> void
{
    job.state = state;
    job.endedMs = nowMs;
    job.occurrences.clear();
    // Only the state of an ended job is still needed. Snapshots contain ended jobs for minutes, so
    // the rest is dropped to keep them small.
    job.spec.payload = {};
    job.spec.steps = {};
    m_ended.emplace(nowMs, job.spec.id);
    m_activeIds.erase(job.spec.id);
    ++m_version;
}

auto JobTable::finishIfDone(Job &job, std::int64_t nowMs) -> void
{
    if (std::int64_t(job.occurrences.size()) != job.spec.occurrences())
        return;
    const auto done =
        std::ranges::all_of(job.occurrences, [](const auto &item) { return item.second.isDone(); });
    if (done)
        end(job, JobState::Done, nowMs);
}

auto JobTable::forgetEndedBefore(std::int64_t beforeMs) -> void
{
    while (!m_ended.empty() && m_ended.begin()->first < beforeMs) {
        m_jobs.erase(m_ended.begin()->second);
        m_ended.erase(m_ended.begin());
    }
}

auto JobTable::find(std::string_view id) const -> const Job *
{
    const auto found = m_jobs.find(id);
    return found != m_jobs.end() ? &found->second : nullptr;
}

auto JobTable::restore(std::vector<Job> jobs) -> void
{
    m_jobs.clear();
    m_activeIds.clear();
    m_ended.clear();
    ++m_version;
    for (auto &job : jobs) {
        auto id = job.spec.id;
        if (job.state == JobState::Active)
            m_activeIds.insert(id);
        else
            m_ended.emplace(job.endedMs, id);
        m_jobs.emplace(std::move(id), std::move(job));
    }
}

} // namespace Jobs
