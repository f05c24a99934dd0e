#pragma once

#include "platform.h"

#include <span>

namespace Planning {

/*! \brief A host that may take jobs: one that the wave has maintained or does not include. */
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

/*! \brief Placement of the jobs of a draining host. */
struct JobPlan
{
    std::vector<JobMove> moves;
    std::vector<std::string> finishing; //!< Jobs that end before the drain deadline and stay.
    std::vector<std::string> unplaced;  //!< Jobs that fit on no target or cannot be checkpointed.
};

/*!
    \brief Places \a jobs on \a targets, largest first, each on the fullest one that has room.

    Measured slots are preferred to declared ones, which are often wrong. A job that ends within
    \a drainDeadlineS stays on its host.
*/
auto placeJobs(std::span<const Task> jobs,
               std::vector<PlacementTarget> targets,
               std::int64_t drainDeadlineS) -> JobPlan;

/*! \brief Returns the measured slots of \a job, or the declared ones if none are measured. */
auto slotsOf(const Task &job) -> std::int64_t;

} // namespace Planning
