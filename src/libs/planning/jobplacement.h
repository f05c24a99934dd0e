#pragma once

#include "platform.h"

#include <span>

namespace Planning {

/*! \brief A host that may take jobs: already maintained in the wave, or outside of it. */
struct PlacementTarget
{
    std::string host;
    std::int64_t freeSlots = 0;
};

struct JobMove
{
    std::string job;
    std::string toHost;
};

/*! \brief Where the jobs of a draining host go. */
struct JobPlan
{
    std::vector<JobMove> moves;
    std::vector<std::string> finishing; //!< End before the drain's deadline and stay.
    std::vector<std::string> unplaced;  //!< Fit on no target, or cannot be checkpointed.
};

/*!
    \brief Places \a jobs on \a targets, largest first, each on the fullest target it fits on.

    Measured slots count where there are any, since declared ones are often wrong. A job that
    ends within \a drainDeadlineS stays.
*/
auto placeJobs(std::span<const Task> jobs,
               std::vector<PlacementTarget> targets,
               std::int64_t drainDeadlineS) -> JobPlan;

/*! \brief Returns the slots that \a job takes: the measured ones, or the declared if none are measured. */
auto slotsOf(const Task &job) -> std::int64_t;

} // namespace Planning
