#pragma once

#include "fleet/state.h"

namespace Planning {

/*! \brief Number of hosts that a wave may stop at once, and the limit that determines it. */
struct WaveWidth
{
    std::int64_t hosts = 0; //!< Stops allowed at once, including those in progress.
    std::string rule;
};

/*! \brief Input of the wave planner beyond the replicated state. */
struct WaveInput
{
    std::map<std::string, std::int64_t> requiredSlots; //!< Per pool, from guarantees and demand.
    std::map<std::string, std::int64_t> jobsOnHost;    //!< Jobs to be moved off each host.
};

/*! \brief Data on the fleet that a planning pass collects once for all waves. */
class FleetView
{
public:
    struct PoolView
    {
        std::int64_t servingSlots = 0;
        std::int64_t largestHostSlots = 0;
        std::int64_t failedHosts = 0;
    };

    explicit FleetView(const Fleet::State &state);

    auto state() const -> const Fleet::State & { return m_state; }
    auto racks() const -> const Fleet::RackIndex & { return m_racks; }
    auto pool(const std::string &pool) const -> PoolView;
    auto openMoves() const -> const std::vector<const Fleet::Move *> & { return m_openMoves; }

private:
    const Fleet::State &m_state;
    Fleet::RackIndex m_racks;
    std::map<std::string, PoolView> m_pools;
    std::vector<const Fleet::Move *> m_openMoves;
};

/*! \brief Returns the width that budget, reserve, capacity and recent failures permit. */
auto widthOf(const Fleet::Wave &wave,
             const FleetView &view,
             const WaveInput &input,
             Fleet::WallTimeMs nowMs) -> WaveWidth;

/*!
    \brief Returns the moves to propose now for all open waves.

    Hosts are chosen rack by rack: racks in progress first, then the rack with the fewest jobs, so
    that the hosts maintained first can take the jobs of the others.
*/
auto proposeWaveMoves(const FleetView &view, const WaveInput &input, Fleet::WallTimeMs nowMs)
    -> std::vector<Fleet::Move>;

} // namespace Planning
