#pragma once

#include "jobs/jobtypes.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Scheduling {

/*! \brief What placement needs to know of an endpoint. */
struct EndpointView
{
    std::string_view rack;
    std::span<const std::string> labels;
    Jobs::Resources free;
    bool open = false;             //!< May be given new tasks.
    bool servesUsers = false;      //!< Runs a task with a latency target.
    bool holdsLongRunning = false; //!< Runs a task without an end of its own.
    std::int64_t recentFailures = 0;
};

/*! \brief A task that looks for an endpoint. */
struct PlacementRequest
{
    const Jobs::StepSpec *step = nullptr;
    //! For each endpoint, how many tasks of the same step and occurrence are there.
    std::span<const std::int64_t> tasksOfStep;
};

/*! \brief Returns what a task of \a step occupies: filling tasks take no share of the processors. */
auto occupiedBy(const Jobs::StepSpec &step) -> Jobs::Resources;

/*!
    \brief Returns the index of the endpoint that should run the task, if one can.

    Data close by comes first, then endpoints without recent failures, then for filling tasks those
    that serve no users. Tasks gather where long-running tasks are, and then on the fullest hosts,
    so that others become idle and can go to other pools. Long-running tasks spread over those.
*/
auto chooseEndpoint(std::span<const EndpointView> endpoints, const PlacementRequest &request)
    -> std::optional<std::size_t>;

} // namespace Scheduling
