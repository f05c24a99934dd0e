#pragma once

#include "fleet/state.h"
#include "membership/endpointdirectory.h"

#include <deque>
#include <mutex>
#include <tuple>

namespace Planning {

/*! \brief The hosts of one pool in one zone. */
struct PoolZone
{
    std::string zone;
    std::string pool;

    auto operator<(const PoolZone &other) const -> bool
    {
        return std::tie(zone, pool) < std::tie(other.zone, other.pool);
    }
};

/*! \brief Slots in use at a time, as it was measured; lags behind the real demand. */
struct DemandSample
{
    Fleet::WallTimeMs atMs = 0;
    std::int64_t slots = 0;
};

/*! \brief Where the buffer planner learns the demand. */
class DemandSource
{
public:
    virtual ~DemandSource() = default;
    /*! \brief Returns the samples of \a cell, oldest first. */
    virtual auto series(const PoolZone &cell) const -> std::vector<DemandSample> = 0;
};

/*! \brief Samples of the last half hour, one for each interval, holding its highest value. Thread-safe. */
class DemandHistory final : public DemandSource
{
public:
    auto record(const PoolZone &cell, DemandSample sample) -> void;
    auto series(const PoolZone &cell) const -> std::vector<DemandSample> override;

private:
    mutable std::mutex m_mutex;
    std::map<PoolZone, std::deque<DemandSample>> m_samples;
};

/*! \brief Records the requests in flight that endpoints last announced. */
auto recordInFlight(DemandHistory &history,
                    const Fleet::State &state,
                    const Membership::EndpointDirectory &directory,
                    Fleet::WallTimeMs nowMs) -> void;

} // namespace Planning
