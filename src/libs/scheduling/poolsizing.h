#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Scheduling {

/*! \brief What one pool has and what waits for it. */
struct PoolLoad
{
    std::string name;
    bool spare = false;                 //!< Its hosts are off and free of charge.
    std::int64_t hosts = 0;             //!< That may take tasks, or will soon.
    std::int64_t minimumHosts = 0;      //!< For tasks that must not share a host.
    std::int64_t hostMillicores = 0;    //!< Of one host.
    std::int64_t lastingMillicores = 0; //!< Of tasks without an end of their own.
    double batchMillicores =
        0; //!< To do work with an end by its objectives, when a host could come.
    std::int64_t idleHosts = 0;     //!< Run nothing now.
    std::int64_t parkableHosts = 0; //!< Have run nothing for longer than two moves cost.
};

/*! \brief Hosts that should change their pool. */
struct Transfer
{
    std::string from;
    std::string to;
    std::int64_t count = 0;
};

/*! \brief Hosts that should take no new tasks, so that they can go to other pools soon. */
struct Release
{
    std::string pool;
    std::int64_t count = 0;
};

struct TransferPlan
{
    std::vector<Transfer> transfers;
    std::vector<Release> releases;
};

/*! \brief Returns how many hosts the pool's work needs. */
auto wantedHosts(const PoolLoad &load) -> std::int64_t;

/*!
    \brief Chooses hosts that change their pool.

    Answers demand that comes to one pool after the other, each time more than the pool holds: hosts
    that are off, and then hosts that are idle elsewhere, go where work waits. Idle hosts that no
    pool needs are turned off once keeping them would cost more than moving them twice. When all pools
    together need more than there is, each gets its share, and those with more release hosts.
*/
auto planTransfers(std::span<const PoolLoad> pools) -> TransferPlan;

} // namespace Scheduling
