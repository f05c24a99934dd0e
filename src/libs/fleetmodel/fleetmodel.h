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

/*! \brief What the callers of one queue got. Lasting tasks are not counted here. */
struct QueueResult
{
    std::string queue;
    std::int64_t jobs = 0;
    std::int64_t onTime = 0;
    std::int64_t late = 0; //!< Within three objectives.
    double credit = 0;     //!< Share of the work that was done on time, and a little for late.
    double work = 0;       //!< Core-seconds asked for.
    double meanWaitMs = 0; //!< Until the first task started.
};

/*! \brief What one run of a scenario gave and cost. */
struct Result
{
    std::vector<QueueResult> queues;
    double hostSeconds = 0; //!< Of hosts in pools that are not spare.
    std::int64_t moves = 0;
    std::int64_t starts = 0;
    std::int64_t stops = 0;
    std::int64_t polls = 0;
    std::int64_t passes = 0;              //!< Of the scheduler.
    std::chrono::nanoseconds passTime{0}; //!< Processor time of all passes.
    std::chrono::nanoseconds pollTime{0}; //!< Processor time to take in all poll replies.

    /*! \brief Returns the credit of all queues by their work, between 0 and 1. */
    auto credit() const -> double;
};

/*! \brief Plays \a scenario with the jobs of \a seed. Repeats exactly, but for the times taken. */
auto play(const Scenario &scenario, std::uint64_t seed) -> Result;

} // namespace FleetModel
