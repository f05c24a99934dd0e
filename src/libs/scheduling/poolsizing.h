#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Scheduling {

/*! \brief The hosts of one pool and the demand for them. */
struct PoolLoad
{
    std::string name;
    bool spare = false;     //!< The hosts of the pool are turned off and cost nothing.
    std::int64_t hosts = 0; //!< Hosts that accept tasks or will soon.
    //! Hosts that long-running tasks keep in the pool: those that run one or are kept free for one.
    std::int64_t fixedHosts = 0;
    //! Hosts that are not fixed, but have nothing to release now: they move here, are maintained, or are silent.
    std::int64_t heldHosts = 0;
    std::int64_t releasingHosts = 0; //!< Hosts that are being released: their endpoints are closed.
    std::int64_t minimumHosts = 0;   //!< Hosts needed to respect limits of tasks per host.
    std::int64_t hostMillicores = 0; //!< Capacity of one host.
    std::int64_t hostMemoryMb = 0;
    std::int64_t longRunningMillicores = 0; //!< Demand of long-running tasks.
    std::int64_t longRunningMemoryMb = 0;
    //! Hosts for the long-running tasks that fit on none of the openHosts.
    double hostsForUnplaced = 0;
    std::int64_t openHosts = 0;   //!< Hosts that accepted tasks when hostsForUnplaced was counted.
    std::int64_t silentHosts = 0; //!< Hosts whose endpoint does not answer.
    //! Capacity for batch work to meet its objectives at the time when a moved host could serve.
    double batchMillicores = 0;
    std::int64_t idleHosts = 0;     //!< Hosts that run no tasks now.
    std::int64_t parkableHosts = 0; //!< Hosts whose idle time has cost more than two moves.
};

/*! \brief Hosts that should change their pool. */
struct Transfer
{
    std::string from;
    std::string to;
    std::int64_t count = 0;
};

/*! \brief Hosts to close for new tasks, so that they can move to other pools soon. */
struct Release
{
    std::string pool;
    std::int64_t count = 0; //!< Hosts without long-running tasks.
    //! Further hosts, whose long-running tasks move to other hosts of the pool.
    std::int64_t evacuated = 0;
};

struct TransferPlan
{
    std::vector<Transfer> transfers;
    std::vector<Release> releases;
};

/*! \brief Returns the number of hosts that the pool has to have, even without short tasks. */
auto leastHosts(const PoolLoad &load) -> std::int64_t;

/*! \brief Returns the number of hosts that the work of the pool requires. */
auto wantedHosts(const PoolLoad &load) -> std::int64_t;

/*!
    \brief Decides how many hosts move between pools.

    Demand peaks may occur in one pool after another, each above the capacity of the pool. Hosts
    that are turned off, and then hosts that are idle in other pools, move to pools that lack hosts.
    Idle hosts that no pool needs are turned off once keeping them has cost more than moving them
    twice. When all pools together need more hosts than there are, each pool gets those of its
    long-running tasks and a share of the others, and pools with more than that release hosts. If a
    pool still lacks hosts for its long-running tasks, pools whose own ones need fewer hosts than
    they lie on release some of these.
*/
auto planTransfers(std::span<const PoolLoad> pools) -> TransferPlan;

} // namespace Scheduling
