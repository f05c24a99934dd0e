#pragma once

#include "jobs/jobtypes.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Scheduling {

/*! \brief The properties of an endpoint that placement depends on. */
struct EndpointView
{
    std::string_view rack;
    std::span<const std::string> labels;
    Jobs::Resources free;
    //! Free once all tasks there have ended, except for the long-running ones.
    Jobs::Resources freeOnceShortTasksEnd;
    bool open = false; //!< The endpoint accepts new tasks.
    //! Closed, but long-running tasks keep its host from being maintained: a task without any other place starts there.
    bool lastResort = false;
    bool onlyLongRunning = false;  //!< It accepts only long-running ones.
    bool servesUsers = false;      //!< The endpoint runs a task with a latency target.
    bool holdsLongRunning = false; //!< The endpoint runs a long-running task.
    std::int64_t recentFailures = 0;
};

/*! \brief A task that is to be placed on an endpoint. */
struct PlacementRequest
{
    const Jobs::StepSpec *step = nullptr;
    //! Number of tasks of the same step and occurrence on each endpoint.
    std::span<const std::int64_t> tasksOfStep;
    bool hasNoOtherPlace = false; //!< The last resorts count as open, too.
    std::string_view nearRack =
        {};                //!< Rack to prefer; empty means that of the task's data, if any.
    bool onlyNear = false; //!< Only endpoints on the preferred rack are chosen.
};

/*! \brief Returns the resources that a task of \a step occupies; backfill tasks reserve no CPU. */
auto occupiedBy(const Jobs::StepSpec &step) -> Jobs::Resources;

/*!
    \brief Returns the index of the endpoint that should run the task, if one can.

    Endpoints in the rack of the task's data are preferred, then for backfill tasks those that serve
    no users, then endpoints without recent failures. Tasks are packed onto endpoints with
    long-running tasks, and then onto the fullest ones, so that other hosts become idle and can move
    to other pools. A long-running task goes to an endpoint with the fewest tasks of its step,
    preferably to one with other long-running tasks, and among these to the emptiest one.
*/
auto chooseEndpoint(std::span<const EndpointView> endpoints, const PlacementRequest &request)
    -> std::optional<std::size_t>;

/*!
    \brief Returns the index of the endpoint to keep free for a task that no endpoint has room for.

    An endpoint qualifies if it could run the task once its short tasks have ended. The one that lacks
    the least, relative to what the task requires, is chosen. While nothing starts there, it
    stays the one that lacks the least.
*/
auto chooseEndpointToKeepFree(std::span<const EndpointView> endpoints,
                              const PlacementRequest &request) -> std::optional<std::size_t>;

/*! \brief Returns how many endpoints could run the task once their short tasks have ended. */
auto countPlaces(std::span<const EndpointView> endpoints, const PlacementRequest &request)
    -> std::int64_t;

/*!
    \brief Returns how many further tasks of the step the endpoint could run with this \a room.

    \a index is that of the endpoint in PlacementRequest::tasksOfStep.
*/
auto tasksWithRoom(const EndpointView &endpoint,
                   const Jobs::Resources &room,
                   const PlacementRequest &request,
                   std::size_t index) -> std::int64_t;

/*! \brief Returns true if the endpoint has \a label, or if that is empty. */
auto hasLabel(const EndpointView &endpoint, std::string_view label) -> bool;

/*! \brief Returns how many tasks of \a step an otherwise empty host of this \a capacity can run. */
auto tasksPerHost(const Jobs::StepSpec &step, const Jobs::Resources &capacity) -> std::int64_t;

/*! \brief Returns true if an open endpoint has room for \a demand, regardless of other limits. */
auto hasRoom(std::span<const EndpointView> endpoints, const Jobs::Resources &demand) -> bool;

} // namespace Scheduling
