#pragma once

#include "jobs/jobtypes.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace Execution {

/*! \brief What the order of jobs depends on first. Smaller ones go first. */
struct WorkClass
{
    bool beyondRate = false; //!< Work beyond the rates of accounts comes after all that is owed.
    std::int64_t priority = 0;

    auto operator==(const WorkClass &) const -> bool = default;
    auto operator<(const WorkClass &other) const -> bool
    {
        return std::tie(beyondRate, priority) < std::tie(other.beyondRate, other.priority);
    }
};

/*!
    \brief The work of one pool that is not done, by class and objective.

    Work is in milliseconds of a whole host. Adding work and asking for the work before a job take a
    time that depends on the number of classes alone, which is bounded by that of the priorities.
*/
class WorkByRank
{
public:
    /*! \brief Creates an empty table for objectives from \a fromMs on. */
    explicit WorkByRank(std::int64_t fromMs = 0)
        : m_fromMs(fromMs)
    {}

    /*! \brief Adds work with an objective at \a objectiveAtMs since 1970. */
    auto add(const WorkClass &workClass, std::int64_t objectiveAtMs, double workMs) -> void;
    /*! \brief Like add(), for a job that is expected to miss its objective. */
    auto addLate(const WorkClass &workClass, std::int64_t objectiveAtMs, double workMs) -> void;
    /*! \brief Returns the work that is ranked before a job with this objective which is on time. */
    auto beforeOnTime(const WorkClass &workClass, std::int64_t objectiveAtMs) const -> double;
    /*! \brief Returns the work that is ranked before a job with this objective once it is late. */
    auto before(const WorkClass &workClass, std::int64_t objectiveAtMs) const -> double;
    /*! \brief Returns all work, or the work that is owed. */
    auto total(bool withBeyondRate) const -> double;

private:
    static constexpr std::size_t slices = 64;

    struct Work
    {
        double totalMs = 0;
        std::array<double, slices> onTime{}; //!< By the time of the objective.
        std::array<double, slices> late{};
    };
    using WorkBySlice = std::array<double, slices> Work::*;

    auto
    addTo(WorkBySlice part, const WorkClass &workClass, std::int64_t objectiveAtMs, double workMs)
        -> void;
    /*! \brief Returns the work of better classes. */
    auto ofBetter(const WorkClass &workClass) const -> double;
    /*! \brief Returns the part of the work of the class that has no later objective. */
    auto upTo(WorkBySlice part, const WorkClass &workClass, std::int64_t objectiveAtMs) const
        -> double;

    auto sliceOf(std::int64_t objectiveAtMs) const -> std::size_t;

    std::int64_t m_fromMs;
    std::map<WorkClass, Work> m_classes;
};

/*! \brief The work of one pool and the hosts for it, as of one time. */
struct PoolBacklog
{
    WorkByRank work;
    //! Hosts that serve the pool, less what long-running tasks occupy; parts of the largest endpoint.
    double hosts = 0;
    Jobs::Resources largest;  //!< Largest amount of each resource that an endpoint has.
    Jobs::Resources mostFree; //!< Largest amount that is free on an endpoint which accepts tasks.
    Jobs::Resources free;     //!< Sum of what is free on endpoints that accept tasks.
};

/*! \brief The accepted jobs that are not done. */
struct Backlog
{
    std::map<std::string, PoolBacklog> pools;
    std::int64_t accountBytes = 0; //!< Memory that the jobs of client accounts occupy, about.
};

/*! \brief Returns the work of \a tasks tasks of \a step that take \a durationMs each, on hosts of size \a host. */
auto workMs(const Jobs::StepSpec &step,
            std::int64_t tasks,
            std::int64_t durationMs,
            const Jobs::Resources &host) -> double;

/*! \brief Returns true if an endpoint of this size has room for each task of the job. */
auto fits(const Jobs::JobSpec &job, const Jobs::Resources &largest) -> bool;

/*! \brief Returns the memory that an accepted job occupies, about. */
auto bytesOf(const Jobs::JobSpec &job) -> std::int64_t;

} // namespace Execution
