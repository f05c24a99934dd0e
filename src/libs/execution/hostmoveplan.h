#pragma once

#include "hostoccupancy.h"
#include "ports.h"
#include "runledger.h"

#include "scheduling/poolsizing.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Execution {

/*! \brief A move of a host to another pool that is to be ordered now. */
struct MoveStep
{
    std::string host;
    std::string from;
    std::string to;
    //! Incarnation of the host's endpoint; its id is empty if there is none.
    Control::EndpointIncarnation incarnation;
};

/*! \brief The actions that the plan requests next. */
struct HostMoves
{
    std::vector<MoveStep> steps;
    //! Endpoints to close for new tasks, so that their hosts can move.
    std::vector<std::string> close;
    //! Closed endpoints whose long-running tasks are to move elsewhere.
    std::vector<std::string> evacuate;
    std::vector<std::string> open; //!< Endpoints to open for new tasks again.
};

/*! \brief Closes, evacuates and opens the endpoints that \a moves names. Its steps are not considered. */
auto closeAndOpen(const HostMoves &moves, RunLedger &ledger) -> void;

/*!
    \brief Sizes the pools by their work and chooses the hosts that move.

    Only hosts on which no task runs are moved. The class sends nothing and reads no clock.
*/
class HostMovePlan
{
public:
    /*! \brief Returns the load of each pool, for reports. */
    auto loads(const Control::Configuration &configuration,
               const RunLedger &ledger,
               const HostList &hosts,
               Utils::Instant now) const -> std::vector<Scheduling::PoolLoad>;
    /*!
        \brief Takes over a move that an earlier leader may have ordered at \a orderedAt.

        Its host counts as moving until a repeated order is answered, or until \a mayMoveUntil.
    */
    auto inherit(const MoveStep &step, Utils::Instant orderedAt, Utils::Instant mayMoveUntil)
        -> void;
    /*! \brief Updates the demand trends and idle times; to be called periodically. */
    auto observe(const RunLedger &ledger, Utils::Instant now) -> void;
    /*! \brief Returns the next actions, with at most \a maximumMoves moves. */
    auto next(const Control::Configuration &configuration,
              RunLedger &ledger,
              const HostList &hosts,
              std::int64_t maximumMoves,
              Utils::Instant now) -> HostMoves;
    /*!
        \brief Handles the result of a move order.

        Returns true if the endpoint is to be opened again, because the host does not move.
    */
    auto ordered(const MoveStep &step, HostOrderResult result, Utils::Instant now) -> bool;
    /*!
        \brief Removes the moves that are complete or overdue, and outdated refusals.

        Returns the endpoints of overdue hosts that are still in their old pool in \a hosts.
    */
    auto takeUnmoved(const HostList &hosts, Utils::Instant listedAt) -> std::vector<std::string>;
    /*! \brief Returns the names of the hosts whose move is in progress. */
    auto movingHosts() const -> std::set<std::string>;
    /*! \brief Returns how many hosts are on their way to each pool. */
    auto arrivingHosts() const -> std::map<std::string, std::int64_t>;

private:
    /*! \brief Change of a pool's batch work over time. */
    struct Trend
    {
        double millicores = 0;      //!< Demand at the last observation.
        double millicoresPerMs = 0; //!< Smoothed rate of change.
    };
    struct Moving
    {
        MoveStep step;
        Utils::Instant at;
        //! Set if an order got no reply; it may be carried out before this time.
        std::optional<Utils::Instant> uncertainUntil;
        bool inFlight = false; //!< The reply to an order is still to come.
    };

    auto updateIdleSince(const RunLedger &ledger, Utils::Instant now) -> void;
    auto demandOf(const Control::Pool &pool, const RunLedger &ledger) const -> Scheduling::PoolLoad;
    auto addHost(const HostInfo &host,
                 const RunLedger &ledger,
                 const HostOccupancy &occupancy,
                 Utils::Instant now,
                 std::span<Scheduling::PoolLoad> loads) const -> void;
    auto loads(const Control::Configuration &configuration,
               const RunLedger &ledger,
               const HostOccupancy &occupancy,
               const HostList &hosts,
               Utils::Instant now) const -> std::vector<Scheduling::PoolLoad>;
    auto mayMove(const RunLedger &ledger, const HostList &hosts, Utils::Instant now) const -> bool;
    auto isIdle(const RunLedger &ledger, const HostOccupancy &occupancy, const HostInfo &host) const
        -> bool;
    auto repeatUnanswered(const RunLedger &ledger,
                          const HostList &hosts,
                          std::int64_t maximumMoves,
                          Utils::Instant now) -> std::vector<MoveStep>;
    auto releaseHosts(std::span<const Scheduling::Release> releases,
                      const Control::Configuration &configuration,
                      RunLedger &ledger,
                      Utils::Instant now,
                      HostMoves &moves) -> void;
    auto releaseHostsOf(Scheduling::Release wanted,
                        RunLedger &ledger,
                        Utils::Instant now,
                        HostMoves &moves) -> void;
    auto evacuate(const Scheduling::Release &wanted,
                  std::span<const EndpointEntry *const> evacuating,
                  std::span<const EndpointEntry *const> open,
                  RunLedger &ledger,
                  Utils::Instant now,
                  HostMoves &moves) -> std::int64_t;
    auto reopen(const std::string &endpoint, HostMoves &moves) -> void;
    auto chooseHosts(const Scheduling::Transfer &transfer,
                     const RunLedger &ledger,
                     const HostOccupancy &occupancy,
                     const HostList &hosts,
                     Utils::Instant now) -> std::vector<MoveStep>;

    std::map<std::string, Trend> m_trends;             //!< Trends by pool.
    std::map<std::string, Utils::Instant> m_idleSince; //!< Start of the idle time by endpoint.
    std::map<std::string, Moving> m_moving;            //!< Moves in progress by host.
    //! Time of the last refusal by host. The host is not chosen again before a newer list is there.
    std::map<std::string, Utils::Instant> m_refused;
    std::set<std::string> m_releasing; //!< Endpoints closed so that their hosts can move.
    Utils::Instant m_observedAt;
    Utils::Instant m_firstObserved;
};

} // namespace Execution
