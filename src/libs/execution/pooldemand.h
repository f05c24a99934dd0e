#pragma once

#include <cstdint>

namespace Execution {

/*! \brief The long-running tasks of a pool for which a pass could keep no endpoint free. */
struct UnplacedTasks
{
    double hosts = 0;               //!< Number of otherwise empty hosts that could run them.
    std::int64_t openEndpoints = 0; //!< Endpoints that accepted tasks in that pass.
};

/*! \brief The demand for capacity in one pool. */
struct PoolDemand
{
    //! Capacity that finishes all known batch work by its objectives.
    double batchMillicores = 0;
    std::int64_t longRunningMillicores = 0; //!< Demand of long-running tasks, running or waiting.
    std::int64_t longRunningMemoryMb = 0;
    //! Hosts needed to respect the limits of long-running tasks per host.
    std::int64_t minimumHosts = 0;
    UnplacedTasks unplaced; //!< At the last pass.
};

} // namespace Execution
