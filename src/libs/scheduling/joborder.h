#pragma once

#include "jobs/jobtypes.h"

#include <cstdint>
#include <span>
#include <tuple>

/*! Decisions of job control: what goes first, and which endpoint runs it. Pure functions. */
namespace Scheduling {

/*! \brief The terms of a queue that order its jobs. */
struct QueueTerms
{
    std::int64_t priority = 0; //!< 0 goes first.
    double stretch = 1;
    std::int64_t objectiveMs = 0;
};

/*! \brief What a job can still reach. */
enum class Outlook {
    OnTime, //!< The objective.
    Late,   //!< Three times the objective, after which an answer is worth nothing.
    Missed,
};

/*! \brief The place of a job among those that wait. Smaller goes first. */
struct JobRank
{
    std::int64_t priority = 0;
    Outlook outlook = Outlook::OnTime;
    std::int64_t objectiveAtMs = 0; //!< Since 1970.

    auto operator<(const JobRank &other) const -> bool
    {
        return std::tie(priority, outlook, objectiveAtMs)
               < std::tie(other.priority, other.outlook, other.objectiveAtMs);
    }
};

/*! \brief Returns the time of the longest chain of \a steps that take \a durationsMs each. */
auto longestChainMs(std::span<const Jobs::StepSpec> steps,
                    std::span<const std::int64_t> durationsMs) -> std::int64_t;

/*!
    \brief Ranks a job handed in at \a handedInMs whose open steps still take \a remainingMs.

    Answers demand peaks above the pool's capacity: a job that can no longer meet its objective
    makes room for those that can, and one that has missed every objective waits for idle capacity.
*/
auto rankOf(const QueueTerms &terms,
            std::int64_t chainMs,
            std::int64_t handedInMs,
            std::int64_t remainingMs,
            std::int64_t nowMs) -> JobRank;

/*!
    \brief Returns within which time the open work of a job of this rank should be done.

    It is the time until the job's objective, within bounds; what is late anyway has longer.
*/
auto timeForWorkMs(const JobRank &rank, std::int64_t nowMs) -> std::int64_t;

} // namespace Scheduling
