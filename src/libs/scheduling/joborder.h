#pragma once

#include "jobs/jobtypes.h"

#include <cstdint>
#include <span>
#include <tuple>

/*! Scheduling decisions without I/O: order of jobs, placement of tasks and sizes of pools. */
namespace Scheduling {

using Jobs::QueueTerms;

//! A job that takes longer than this multiple of its objective is missed.
inline constexpr std::int64_t lateObjectives = 3;

/*! \brief Whether a job can still meet its objective. */
enum class Outlook {
    OnTime, //!< The job is expected to end within its objective.
    Late,   //!< The job is expected to end within three times its objective.
    Missed, //!< The job is expected to end later, when its result is worthless.
};

/*! \brief The rank of a job among the waiting jobs. Smaller ranks go first. */
struct JobRank
{
    //! It exceeds the rate that its account is owed, so all that is owed to others goes first.
    bool beyondRate = false;
    std::int64_t priority = 0;
    Outlook outlook = Outlook::OnTime;
    std::int64_t objectiveAtMs = 0; //!< Time of the objective since 1970.

    auto operator<(const JobRank &other) const -> bool
    {
        return std::tie(beyondRate, priority, outlook, objectiveAtMs)
               < std::tie(other.beyondRate, other.priority, other.outlook, other.objectiveAtMs);
    }
    /*! \brief Returns true if only their objectives tell the jobs apart. */
    auto isOfClass(const JobRank &other) const -> bool
    {
        return beyondRate == other.beyondRate && priority == other.priority
               && outlook == other.outlook;
    }
};

/*! \brief Returns the duration of the longest chain of \a steps that take \a durationsMs each. */
auto longestChainMs(std::span<const Jobs::StepSpec> steps,
                    std::span<const std::int64_t> durationsMs) -> std::int64_t;

/*!
    \brief Ranks a job submitted at \a submittedMs whose open steps still take \a remainingMs.

    When demand exceeds the capacity of the pool, a job that can no longer meet its objective yields
    to jobs of the same priority that can. A job that is expected to take more than three times its
    objective comes last within its priority.
*/
auto rankOf(const QueueTerms &terms,
            std::int64_t chainMs,
            std::int64_t submittedMs,
            std::int64_t remainingMs,
            std::int64_t nowMs) -> JobRank;

/*!
    \brief Returns the time within which the open work of a job of this rank should be done.

    For a job that is on time, this is a share of the time until its objective, but at least 1 s.
    Late and missed jobs get fixed times.
*/
auto timeForWorkMs(const JobRank &rank, std::int64_t nowMs) -> std::int64_t;

} // namespace Scheduling
