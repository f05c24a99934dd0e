#pragma once

#include "hostoccupancy.h"
#include "ports.h"
#include "runledger.h"

#include "scheduling/poolsizing.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Execution {

/*! \brief A host that should change its pool now. */
struct MoveStep
{
    std::string host;
    std::string from;
    std::string to;
    Control::EndpointLife life; //!< Of the endpoint that runs there; without id if there is none.
};

/*! \brief What the plan wants done next. */
struct HostMoves
{
    std::vector<MoveStep> steps;
    std::vector<std::string>
        close; //!< Endpoints that get no new tasks, so that their hosts can move.
    std::vector<std::string> open; //!< Endpoints that get tasks again.
};

/*!
    \brief Sizes the pools by their work and chooses the hosts that move. Pure.

    Only hosts on which nothing runs are moved.
*/
class HostMovePlan
{
public:
    /*! \brief Returns the load of each pool, for reports. */
    auto loads(const Control::Configuration &configuration,
               const RunLedger &ledger,
               const HostList &hosts,
               Utils::Instant now) const -> std::vector<Scheduling::PoolLoad>;
    /*! \brief Updates what is measured over time; called often. */
    auto observe(const RunLedger &ledger, Utils::Instant now) -> void;
    /*! \brief Returns what to do next, with at most \a mostMoves steps. */
    auto next(const Control::Configuration &configuration,
              const RunLedger &ledger,
              const HostList &hosts,
              std::int64_t mostMoves,
              Utils::Instant now) -> HostMoves;
    /*! \brief Notes what became of an order; returns true if the endpoint is to be opened again. */
    auto ordered(const MoveStep &step, HostOrderResult result, Utils::Instant now) -> bool;
    /*! \brief Returns the endpoints whose hosts did not move after all, once the list shows it. */
    auto takeUnmoved(const HostList &hosts, Utils::Instant listedAt) -> std::vector<std::string>;

private:
    /*! \brief How the work of a pool changes. */
    struct Trend
    {
        double millicores = 0;      //!< At the last observation.
        double millicoresPerMs = 0; //!< Smoothed.
    };
    struct Moving
    {
        MoveStep step;
        Utils::Instant at;
    };

    auto loadOf(const Control::Pool &pool,
                const RunLedger &ledger,
                const HostOccupancy &occupancy,
                const HostList &hosts,
                Utils::Instant now) const -> Scheduling::PoolLoad;
    auto mayMove(const RunLedger &ledger, const HostList &hosts, Utils::Instant now) const -> bool;
    auto isIdle(const RunLedger &ledger, const HostOccupancy &occupancy, const HostInfo &host) const
        -> bool;
    auto releaseHosts(std::span<const Scheduling::Release> releases,
                      const Control::Configuration &configuration,
                      const RunLedger &ledger,
                      HostMoves &moves) -> void;
    auto chooseHosts(const Scheduling::Transfer &transfer,
                     const RunLedger &ledger,
                     const HostOccupancy &occupancy,
                     const HostList &hosts,
                     Utils::Instant now) -> std::vector<MoveStep>;

    std::map<std::string, Trend> m_trends;             //!< By pool.
    std::map<std::string, Utils::Instant> m_idleSince; //!< By endpoint.
    std::map<std::string, Moving> m_moving;            //!< By host.
    std::set<std::string> m_releasing; //!< Endpoints closed so that their hosts can move.
    Utils::Instant m_observedAt;
    Utils::Instant m_firstObserved;
};

} // namespace Execution
