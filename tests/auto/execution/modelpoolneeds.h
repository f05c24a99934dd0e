#pragma once

#include "modelpoolhosts.h"

#include <cstdint>
#include <span>
#include <string>

namespace ExecutionTest {

/*!
    \brief Returns how many hosts the long-running jobs of \a pool need, whatever the ledger computes.

    It is the most of what the pages leave to each pool (decisions/068): two hosts, four fifths of each host's
    resources in use, and the limits per host, and of a simple placement of all tasks, the largest first.
*/
auto hostsNeeded(std::span<const Jobs::JobSpec> longRunning, const std::string &pool)
    -> std::int64_t;

/*!
    \brief Returns true if the fleet has a host for a task that is not at work.

    Either an endpoint of its pool can hold the task beside the other long-running ones there, or all hosts
    together are as many as the pools need, with one more than its own pool has now.
*/
auto fleetCouldRun(const Jobs::JobSpec &job,
                   const Jobs::TaskId &task,
                   std::span<const Jobs::JobSpec> longRunning,
                   std::span<const ModelPoolHosts::Host> hosts) -> bool;

} // namespace ExecutionTest
