#pragma once

#include "loadschedule.h"

namespace App {

/*! \brief Where the load tool sends its requests and how. */
struct LoadOptions
{
    std::vector<std::string> servers; //!< HOST:PORT of callers' listeners.
    std::string customer = "camara";
    DemandShape demand;
    int connections = 16;
    std::int64_t deadlineMs = 5000;
    bool claimed = false; //!< Send POST requests with an idempotency key each.
    bool json = false;
};

/*! \brief Sends the demand, prints a report by priority and returns the exit code. */
auto runLoad(const LoadOptions &options) -> int;

} // namespace App
