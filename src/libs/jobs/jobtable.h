#pragma once

#include "jobtypes.h"

#include "utils/stringhash.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Jobs {

enum class JobState { Active, Done, Failed, Cancelled };

/*! \brief Progress of one task. */
struct TaskProgress
{
    bool done = false;
    std::int64_t failures = 0; //!< Number of failed runs.
};

/*! \brief Progress of one step of one occurrence. */
struct StepProgress
{
    std::vector<TaskProgress> tasks;
    std::int64_t doneTasks = 0;

    auto isDone() const -> bool { return doneTasks == std::int64_t(tasks.size()); }
};

/*! \brief Progress of one occurrence of a job. */
struct OccurrenceProgress
{
    std::vector<StepProgress> steps;

    auto isDone() const -> bool;
};

/*! \brief A job with its durable progress. Once it has ended, its payload and steps are cleared. */
struct Job
{
    JobSpec spec;
    JobState state = JobState::Active;
    //! Progress of the occurrences in which a task end was recorded.
    std::map<std::int64_t, OccurrenceProgress> occurrences;
    std::int64_t endedMs = 0; //!< Time of the end since 1970; 0 while the job is active.

    /*! \brief Returns the progress of occurrence \a number, by default with all tasks open. */
    auto progress(std::int64_t number) const -> OccurrenceProgress;
};

/*! \brief All jobs that were accepted and not yet removed. Changes are deterministic. */
class JobTable
{
public:
    using JobsById = std::unordered_map<std::string, Job, Utils::StringHash, std::equal_to<>>;

    /*! \brief Adds \a spec; returns false if a job with this id already exists. */
    auto add(JobSpec spec) -> bool;
    /*! \brief Cancels the job if it is active; returns false if the job does not exist. */
    auto cancel(std::string_view id, std::int64_t nowMs) -> bool;
    /*!
        \brief Records the end of a run of \a task.

        A task that has failed \a maximumAttempts times fails its job, unless the task is
        long-running. 0 means no limit.
    */
    auto recordEnd(const TaskId &task,
                   TaskOutcome outcome,
                   std::int64_t maximumAttempts,
                   std::int64_t nowMs) -> void;
    /*! \brief Returns true if the job of \a task is active and has the task, which is not done. */
    auto isUndone(const TaskId &task) const -> bool;
    /*! \brief Removes jobs that ended before \a beforeMs. */
    auto forgetEndedBefore(std::int64_t beforeMs) -> void;

    auto find(std::string_view id) const -> const Job *;
    auto jobs() const -> const JobsById & { return m_jobs; }
    /*! \brief Returns the ids of the jobs that have not ended. */
    auto activeIds() const -> const std::set<std::string> & { return m_activeIds; }
    /*! \brief Returns a number that increases when the set of active jobs changes; at least 1. */
    auto version() const -> std::uint64_t { return m_version; }
    auto restore(std::vector<Job> jobs) -> void;

private:
    auto finishIfDone(Job &job, std::int64_t nowMs) -> void;
    auto end(Job &job, JobState state, std::int64_t nowMs) -> void;

    JobsById m_jobs;
    std::set<std::string> m_activeIds;
    //! Ids of ended jobs by the time of their end.
    std::multimap<std::int64_t, std::string> m_ended;
    std::uint64_t m_version = 1;
};

template <typename Archive>
auto describe(Archive &archive, TaskProgress &task) -> void
{
    archive.optional("done", task.done);
    archive.optional("failures", task.failures);
}

template <typename Archive>
auto describe(Archive &archive, StepProgress &step) -> void
{
    archive.required("tasks", step.tasks);
    archive.required("done", step.doneTasks);
}

template <typename Archive>
auto describe(Archive &archive, OccurrenceProgress &occurrence) -> void
{
    archive.required("steps", occurrence.steps);
}

inline auto enumNames(JobState) -> std::span<const Utils::EnumName<JobState>>
{
    static constexpr Utils::EnumName<JobState> names[] = {{JobState::Active, "active"},
                                                          {JobState::Done, "done"},
                                                          {JobState::Failed, "failed"},
                                                          {JobState::Cancelled, "cancelled"}};
    return names;
}

} // namespace Jobs
