#pragma once

#include "loadschedule.h"

namespace App {

/*! \brief Options of the load tool. */
struct LoadOptions
{
    std::vector<std::string> servers; //!< Addresses (HOST:PORT) of listeners for callers.
    std::string customer = "camara";
    DemandShape demand;
    int connections = 16;
    std::int64_t deadlineMs = 5000;
    bool claimed = false; //!< Whether to send POST requests, each with its own key.
    bool json = false;
};

/*! \brief Sends the requests, prints a report by priority and returns the exit code. */
auto runLoad(const LoadOptions &options) -> int;

} // namespace App
