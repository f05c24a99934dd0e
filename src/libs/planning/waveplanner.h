#pragma once

#include "fleet/state.h"

namespace Planning {

/*! \brief How wide a wave may be now, and which limit decided. */
struct WaveWidth
{
    std::int64_t hosts = 0; //!< Stops allowed at once, those in progress included.
    std::string rule;
};

/*! \brief What the planner knows besides the state. */
struct WaveInput
{
    std::map<std::string, std::int64_t> requiredSlots; //!< By pool; guarantees and measured demand.
    std::map<std::string, std::int64_t> jobsOnHost;    //!< Jobs that would have to move, by host.
};

/*! \brief What one planning pass gathers about the fleet once, for all waves. */
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

/*! \brief Returns the width that budget, reserve, capacity and recent failures leave to \a wave. */
auto widthOf(const Fleet::Wave &wave,
             const FleetView &view,
             const WaveInput &input,
             Fleet::WallTimeMs nowMs) -> WaveWidth;

/*!
    \brief Returns the moves to propose now for all open waves.

    Rack by rack: racks in progress first, then the one with the fewest jobs, so that the first
    maintained hosts can take the jobs of the rest.
*/
auto proposeWaveMoves(const FleetView &view, const WaveInput &input, Fleet::WallTimeMs nowMs)
    -> std::vector<Fleet::Move>;

} // namespace Planning
