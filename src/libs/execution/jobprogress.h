#pragma once

#include "jobs/jobtable.h"

#include <map>
#include <vector>

namespace Execution {

enum class TaskState : unsigned char {
    Open,   //!< May be started.
    Booked, //!< A run of it may exist, or its end is not durable yet.
    Done,
};

/*!
    \brief The leader's view of a job's tasks.

    It is ahead of the durable state by the ends that are being logged, and knows which tasks run.
*/
class JobProgress
{
public:
    struct Step
    {
        std::vector<TaskState> tasks;
        std::size_t open = 0;
        std::size_t done = 0;

        auto isDone() const -> bool { return done == tasks.size(); }
    };
    using Occurrence = std::vector<Step>;

    explicit JobProgress(const Jobs::Job &job);

    auto state(const Jobs::TaskId &task) const -> TaskState;
    auto setState(const Jobs::TaskId &task, TaskState state) -> void;
    /*! \brief Marks all tasks of the step as done: one end stands for a gang. */
    auto setStepDone(const Jobs::TaskId &task) -> void;

    auto occurrence(std::int64_t number) -> Occurrence &;
    /*! \brief Returns the estimated work of the longest chain of steps that are not done. */
    auto remainingMs(std::int64_t number) -> std::int64_t;
    /*! \brief Returns true if all steps that step \a index waits for are done. */
    auto isReady(const Occurrence &occurrence, std::size_t index) const -> bool;
    auto chainMs() const -> std::int64_t { return m_chainMs; }
    /*! \brief Returns the step that \a task belongs to, or nullptr if the job has no such task. */
    auto specOf(const Jobs::TaskId &task) const -> const Jobs::StepSpec *;

private:
    auto find(const Jobs::TaskId &task) const -> const Step *;

    std::vector<Jobs::StepSpec> m_specs;
    std::int64_t m_chainMs;
    std::map<std::int64_t, Occurrence> m_occurrences;
};

} // namespace Execution
