#pragma once

#include "jobs/jobtypes.h"

#include <cstdint>
#include <limits>

namespace Scheduling {

/*! \brief Expected time until a place is free on a rack on which no task ends. */
inline constexpr auto neverMs = std::numeric_limits<std::int64_t>::max();

/*! \brief The longest time for which a step waits in total for places near its data or group. */
inline constexpr std::int64_t longestPlaceWaitMs = 1000;

/*! \brief What it depends on whether the open tasks of a step wait for places near their data or group. */
struct PlaceQuestion
{
    double farFactor = 1;      //!< Duration of a task far away, relative to that of one near.
    std::int64_t workMs = 0;   //!< Expected duration of a task near.
    std::int64_t nearInMs = 0; //!< Expected time until the last of the tasks has a place near.
    std::int64_t waitedMs = 0; //!< Time for which the step has been waiting.
    std::int64_t othersEndInMs =
        0; //!< Expected time until the running tasks of the step have ended.
    //! Expected time from the end of the job to its objective if the tasks start near now.
    std::int64_t slackMs = 0;
};

/*!
    \brief Returns for how much longer the tasks wait for places near, in milliseconds; 0 if they start now.

    Answers a pool that is nearly full, and racks that hold the data of many jobs: a place near is often
    free soon, while a place far away delays the job and takes room from others for longer.

    A step counts by its last task. So it gains nothing by places near if not all of its tasks get one
    in time, or if others of its tasks end later anyway. Durations are known badly, so a step waits in
    total for half of the gain at most, for longestPlaceWaitMs at most, and not beyond the time from
    which on the job would miss its objective.
*/
auto placeWaitMs(const PlaceQuestion &question) -> std::int64_t;

/*!
    \brief When places are expected to become free on one rack.

    Tasks that wait for places there are added in the order in which they will get them.
*/
class RackOutlook
{
public:
    /*! \brief Adds an endpoint with this room that accepts tasks. */
    auto addEndpoint(const Jobs::Resources &free) -> void;
    /*! \brief Adds a task that has been running for \a elapsedMs and ends by itself. */
    auto addRun(const Jobs::Resources &occupies, std::int64_t expectedMs, std::int64_t elapsedMs)
        -> void;
    /*! \brief Adds \a tasks that wait for places. */
    auto addWaiting(const Jobs::Resources &demand, std::int64_t tasks) -> void;

    /*! \brief Returns an upper bound of the room on each endpoint. */
    auto mostFree() const -> const Jobs::Resources & { return m_mostFree; }
    /*! \brief Returns the expected time until \a tasks more than have room now have places, in milliseconds. */
    auto expectedWaitMs(const Jobs::Resources &demand, std::int64_t tasks) const -> std::int64_t;

private:
    /*! \brief Amounts of resources that become free in each millisecond. */
    struct Rates
    {
        double cpuMillicores = 0;
        double memoryMb = 0;
        double gpus = 0;
    };

    bool m_hasEndpoint = false;
    Jobs::Resources m_mostFree;
    Jobs::Resources m_waiting;
    Rates m_rates;
};

} // namespace Scheduling
