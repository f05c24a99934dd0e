#pragma once

#include "demand.h"

namespace Planning {

/*! \brief Times that decide when hosts are moved between pools. */
struct BufferPolicy
{
    std::int64_t moveCostS = 300;  //!< Time from the decision until a moved host serves.
    std::int64_t returnFactor = 2; //!< Multiple of moveCostS of low demand before hosts go back.
    std::int64_t smoothingS = 60;  //!< Period whose highest sample counts as the demand.
};

/*! \brief Capacity and demand of one pool in one zone. */
struct PoolBuffer
{
    std::string pool;
    bool spare = false;
    std::int64_t hosts = 0;
    std::int64_t servingSlots = 0;
    std::int64_t guaranteedSlots = 0; //!< This zone's share of the pool's guaranteed slots.
    std::int64_t demandSlots = 0;
    std::int64_t requiredSlots = 0;
    std::int64_t borrowedSlots = 0; //!< Slots borrowed from spare pools; negative if lent.
};

/*! \brief Buffer of one zone: its pools and the reserve that they share. */
struct ZoneBuffer
{
    std::string zone;
    std::vector<PoolBuffer> pools;
    std::int64_t reserveSlots = 0; //!< Required slots that the loss of the worst rack would take.
    std::string reserveRack;
};

struct BufferPlan
{
    std::vector<ZoneBuffer> zones;
    std::vector<Fleet::Move> moves; //!< Moves to be proposed now.

    /*! \brief Returns the required slots of each pool, summed over all zones. */
    auto requiredSlots() const -> std::map<std::string, std::int64_t>;
};

/*!
    \brief Plans the buffer of all zones from guarantees and measured demand.

    Pools with a peak of demand borrow slots of spare hosts at once. A host is moved only when the
    peak has lasted longer than a move takes, and moved back only after demand was low for several
    times as long.
*/
auto planBuffers(const Fleet::State &state,
                 const DemandSource &demand,
                 const BufferPolicy &policy,
                 Fleet::WallTimeMs nowMs) -> BufferPlan;

template <typename Archive>
auto describe(Archive &archive, PoolBuffer &buffer) -> void
{
    archive.required("pool", buffer.pool);
    archive.required("spare", buffer.spare);
    archive.required("hosts", buffer.hosts);
    archive.required("serving_slots", buffer.servingSlots);
    archive.required("guaranteed_slots", buffer.guaranteedSlots);
    archive.required("demand_slots", buffer.demandSlots);
    archive.required("required_slots", buffer.requiredSlots);
    archive.required("borrowed_slots", buffer.borrowedSlots);
}

template <typename Archive>
auto describe(Archive &archive, ZoneBuffer &zone) -> void
{
    archive.required("zone", zone.zone);
    archive.required("pools", zone.pools);
    archive.required("reserve_slots", zone.reserveSlots);
    archive.required("reserve_rack", zone.reserveRack);
}

template <typename Archive>
auto describe(Archive &archive, BufferPlan &plan) -> void
{
    archive.required("zones", plan.zones);
    archive.required("moves", plan.moves);
}

} // namespace Planning
