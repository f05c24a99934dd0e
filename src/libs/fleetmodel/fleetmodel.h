#pragma once

#include "demand.h"

#include "execution/hostmoveplan.h"
#include "execution/runledger.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace FleetModel {

/*! \brief Outcome of the jobs of one queue. Long-running tasks are not counted. */
struct QueueResult
{
    std::string queue;
    std::int64_t jobs = 0;
    std::int64_t onTime = 0;
    std::int64_t late = 0;     //!< Jobs that missed the objective, but took at most three times it.
    std::int64_t missed = 0;   //!< Jobs that took longer than that.
    std::int64_t refused = 0;  //!< Jobs that were refused at their submission.
    double credit = 0;         //!< Share of the work that was done on time; late work counts 7 %.
    double work = 0;           //!< Core-seconds that the jobs need.
    double meanResponseMs = 0; //!< Mean time from submission until a job was done.
    double meanWaitMs = 0;     //!< Mean time from submission until the first task started.
};

/*! \brief Outcome and cost of one run of a scenario. */
struct Result
{
    std::vector<QueueResult> queues;
    double hostSeconds = 0; //!< Host time in pools that are not spare.
    std::int64_t moves = 0;
    std::int64_t starts = 0;
    std::int64_t farStarts = 0; //!< Starts away from the data of the task.
    std::int64_t stops = 0;
    std::int64_t polls = 0;               //!< Answered status polls of endpoints.
    std::int64_t passes = 0;              //!< Scheduler passes.
    std::chrono::nanoseconds passTime{0}; //!< Elapsed time of all scheduler passes.
    std::chrono::nanoseconds pollTime{0}; //!< Elapsed time to process all poll replies.

    /*! \brief Returns the mean credit of all queues, weighted by their work, between 0 and 1. */
    auto credit() const -> double;
};

/*!
    \brief Simulates \a scenario with the jobs drawn from \a seed.

    The same seed gives the same result, except for passTime and pollTime.
*/
auto play(const Scenario &scenario, std::uint64_t seed) -> Result;

} // namespace FleetModel
