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

/*! \brief Measured number of slots in use at a point in time; lags behind the real demand. */
struct DemandSample
{
    Fleet::WallTimeMs atMs = 0;
    std::int64_t slots = 0;
};

/*! \brief Provides the measured demand to the buffer planner. */
class DemandSource
{
public:
    virtual ~DemandSource() = default;
    /*! \brief Returns the samples of \a poolZone, oldest first. */
    virtual auto series(const PoolZone &poolZone) const -> std::vector<DemandSample> = 0;
};

/*! \brief Keeps the highest demand of each 5 s interval for half an hour. Thread-safe. */
class DemandHistory final : public DemandSource
{
public:
    auto record(const PoolZone &poolZone, DemandSample sample) -> void;
    auto series(const PoolZone &poolZone) const -> std::vector<DemandSample> override;

private:
    mutable std::mutex m_mutex;
    std::map<PoolZone, std::deque<DemandSample>> m_samples;
};

/*! \brief Adds the requests in flight that endpoints last announced to \a history. */
auto recordInFlight(DemandHistory &history,
                    const Fleet::State &state,
                    const Membership::EndpointDirectory &directory,
                    Fleet::WallTimeMs nowMs) -> void;

} // namespace Planning
