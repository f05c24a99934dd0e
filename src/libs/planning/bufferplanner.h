#pragma once

#include "demand.h"

namespace Planning {

/*! \brief When a peak is long enough for hosts to move. */
struct BufferPolicy
{
    std::int64_t moveCostS = 300;  //!< Time from the decision until a moved host serves.
    std::int64_t returnFactor = 2; //!< Hosts go back after this many move costs of low demand.
    std::int64_t smoothingS = 60;  //!< Demand counts as the highest of this time.
};

/*! \brief What one pool needs in one zone. */
struct PoolBuffer
{
    std::string pool;
    bool spare = false;
    std::int64_t hosts = 0;
    std::int64_t servingSlots = 0;
    std::int64_t guaranteedSlots = 0; //!< The zone's share.
    std::int64_t demandSlots = 0;
    std::int64_t requiredSlots = 0;
    std::int64_t borrowedSlots = 0; //!< From hosts of spare pools; negative: lent.
};

/*! \brief The buffer of one zone: its pools and the one reserve that they share. */
struct ZoneBuffer
{
    std::string zone;
    std::vector<PoolBuffer> pools;
    std::int64_t reserveSlots =
        0; //!< What the loss of any one rack would take from the required slots.
    std::string reserveRack;
};

struct BufferPlan
{
    std::vector<ZoneBuffer> zones;
    std::vector<Fleet::Move> moves; //!< To be proposed now.

    /*! \brief Returns the slots that each pool must keep over all zones. */
    auto requiredSlots() const -> std::map<std::string, std::int64_t>;
};

/*!
    \brief Plans the buffer of all zones from guarantees and measured demand.

    A peak borrows slots of spare hosts at once; a host moves only when the peak has lasted longer
    than the move takes, and back only after demand was low for several times as long.
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
