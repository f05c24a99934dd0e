#pragma once

#include "accounts/accountuse.h"
#include "jobs/jobtable.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Execution {

enum class TaskState : unsigned char {
    Open,   //!< The task may be started.
    Booked, //!< The task may be running, or its end is not durable yet.
    Done,
};

/*! \brief The tasks of a job that can start, because they are open and their step is ready. */
struct ReadyWork
{
    std::size_t tasks = 0;
    //! Lower bound of the resources of each of these tasks.
    Jobs::Resources leastDemand;
};

/*!
    \brief The leader's view of a job's tasks.

    The view is ahead of the durable state by the task ends that are still being recorded, and it
    knows which tasks run.
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

    /*! \brief Creates the view of \a job; \a durationsMs holds the expected durations of steps. */
    JobProgress(const Jobs::Job &job, std::span<const std::int64_t> durationsMs);

    auto spec() const -> const Jobs::JobSpec & { return m_spec; }
    /*! \brief Returns the terms of the job's queue that are in force. */
    auto terms() const -> const Jobs::QueueTerms & { return m_terms; }
    auto setTerms(const Jobs::QueueTerms &terms) -> void { m_terms = terms; }
    /*! \brief Returns the account of the job, which setAccount() has set. */
    auto account() const -> Accounts::AccountId { return m_account; }
    auto setAccount(Accounts::AccountId account) -> void { m_account = account; }
    auto isLongRunning() const -> bool { return m_longRunning; }
    auto durationMs(std::size_t step) const -> std::int64_t { return m_durationsMs[step]; }
    auto state(const Jobs::TaskId &task) const -> TaskState;
    auto setState(const Jobs::TaskId &task, TaskState state) -> void;
    /*! \brief Marks all tasks of the step as done, for a gang of which one member succeeded. */
    auto setStepDone(const Jobs::TaskId &task) -> void;

    auto occurrence(std::int64_t number) -> Occurrence &;
    /*!
        \brief Returns the number up to which occurrences may be in progress, at least one.

        Limits what one job makes the leader hold if many of its occurrences are due. Later ones
        begin when earlier ones are done.
    */
    auto endOfOverlap() -> std::int64_t;
    /*! \brief Returns the number of the first occurrence that is not done, or of the last one. */
    auto currentOccurrence() -> std::int64_t;
    /*! \brief Returns true if a task that can start may belong to an occurrence due at \a wallMs. */
    auto mayStart(std::int64_t wallMs) -> bool;
    /*! \brief Returns what the tasks that can start need; nothing if an occurrence may have to begin. */
    auto readyWork() -> std::optional<ReadyWork>;
    /*! \brief Returns true if a task is booked. */
    auto hasBookedTask() const -> bool;
    /*! \brief Returns the expected time of the longest chain of unfinished steps. */
    auto remainingMs(std::int64_t number) -> std::int64_t;
    /*! \brief Returns true if all steps that step \a index depends on are done. */
    auto isReady(const Occurrence &occurrence, std::size_t index) const -> bool;
    /*! \brief Returns the expected time of the longest chain of all steps. */
    auto chainMs() const -> std::int64_t { return m_chainMs; }
    /*! \brief Returns the step that \a task belongs to, or nullptr if the job has no such task. */
    auto specOf(const Jobs::TaskId &task) const -> const Jobs::StepSpec *;

    /*! \brief Adds an endpoint to endpoints(). */
    auto addEndpoint(const std::string &id) -> void { m_endpoints.insert(id); }
    /*! \brief Returns all endpoints on which a task of the job has been booked, also in the past. */
    auto endpoints() const -> const std::set<std::string> & { return m_endpoints; }

private:
    auto find(const Jobs::TaskId &task) const -> const Step *;
    auto computeReadyWork() const -> ReadyWork;
    auto cachedReadyWork() -> const ReadyWork &;

    Jobs::JobSpec m_spec;
    Jobs::QueueTerms m_terms;
    Accounts::AccountId m_account = Accounts::noAccount;
    std::vector<std::int64_t> m_durationsMs;
    bool m_longRunning;
    std::int64_t m_chainMs;
    std::map<std::int64_t, Occurrence> m_occurrences;
    std::set<std::string> m_endpoints;
    //! Cached computeReadyWork(); reset when the state of a task changes.
    std::optional<ReadyWork> m_readyWork;
    std::int64_t m_firstNotDone = 0; //!< All occurrences before this one are done.
    //! Cached remainingMs() by occurrence; reset when a task is done.
    std::map<std::int64_t, std::int64_t> m_remainingMs;
};

} // namespace Execution
