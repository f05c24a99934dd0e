#pragma once

#include "hostoccupancy.h"
#include "ports.h"
#include "runledger.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Execution {

/*!
    \brief An order for a host may be carried out within this time of its record.

    It is sent within 1.5 s of the record.
*/
inline constexpr Utils::Milliseconds longestInheritedOrder{14'500};

/*! \brief The inputs of a maintenance plan beside the waves. */
struct MaintenanceView
{
    const RunLedger &ledger;
    const HostList &hosts;
    Utils::Instant listedAt; //!< Time at which \c hosts was requested.
    Utils::Instant now;
    std::int64_t wallMs = 0;        //!< Time in milliseconds since 1970.
    std::int64_t maximumOrders = 0; //!< Orders that the provider of hosts accepts now.
    //! Hosts with a move order that \c hosts may not reflect yet; the provider refuses to maintain
    //! them.
    std::set<std::string> moving;
};

/*! \brief Maintenance of a host that is to be ordered now. */
struct MaintenanceStep
{
    std::int64_t wave = 0;
    std::string host;
    //! Incarnation of the host's endpoint; its id is empty if there is none.
    Control::EndpointIncarnation incarnation;
    //! This leader or an earlier one may have ordered the maintenance before. If that order was
    //! carried out, \c incarnation may be the incarnation that started after the maintenance.
    bool repeated = false;
};

/*! \brief The actions that the plan requests next. */
struct MaintenanceWork
{
    std::vector<MaintenanceStep> begin;            //!< Maintenance orders to send.
    std::vector<Control::FinishWaveHost> departed; //!< Hosts that are no longer in the fleet.
    std::vector<std::string> close;                //!< Endpoints to close for new tasks.
    //! Closed endpoints whose long-running tasks are to move elsewhere.
    std::vector<std::string> evacuate;
    //! Incarnations that were ended by an order that was possibly given before.
    std::vector<Control::EndpointIncarnation> ended;
    //! Endpoints that started after their host was maintained, to be opened for new tasks again.
    std::vector<std::string> open;
};

/*!
    \brief Chooses which hosts of the waves are drained and maintained next.

    The plan makes at most as many hosts of a wave unavailable at once as the wave allows, and orders
    no more than the provider of hosts accepts. Hosts that run no tasks go first. Only as many busy
    hosts are drained at once as the remaining time requires. They are closed for new tasks, and
    maintained once no task runs there, or once the time for draining is over and the steps of their
    tasks allow it. The class sends nothing and reads no clock.
*/
class MaintenancePlan
{
public:
    /*!
        \brief Starts a term: earlier leaders may have ordered maintenance for the waves in \a state.

        Their last recorded orders may still be carried out.
    */
    auto begin(const Control::State &state) -> void;
    /*! \brief Returns the next actions. Hosts in \c begin count as unavailable from then on. */
    auto next(const Control::State &state, const MaintenanceView &view) -> MaintenanceWork;
    /*! \brief Returns true if next() has to be called although all waves are done. */
    auto hasUnconfirmedOrders() const -> bool { return !m_unconfirmed.empty(); }
    /*! \brief Returns true if an order for \a host without a reply may still be carried out. */
    auto mayBeCarriedOut(const std::string &host, Utils::Instant now) const -> bool;
    /*! \brief Handles that the order was not sent. */
    auto withdraw(const MaintenanceStep &step) -> void;
    /*! \brief Handles the result of a maintenance order. */
    auto ordered(const MaintenanceStep &step, HostOrderResult result, Utils::Instant now) -> void;

private:
    using HostsByName = std::map<std::string_view, const HostInfo *>;

    /*! \brief A maintenance order that the list of hosts may not reflect yet. */
    struct Order
    {
        Utils::Instant at;
        bool uncertain = false; //!< The order got no reply and may be carried out much later.
    };
    /*! \brief The draining of a host's endpoint before its maintenance. */
    struct Preparation
    {
        Utils::Instant since;
        std::string endpoint; //!< Another endpoint on the host has to be drained anew.
    };
    /*! \brief An accepted order that may already have been carried out before. */
    struct Unconfirmed
    {
        Control::EndpointIncarnation incarnation;
        Utils::Instant at;
    };
    /*! \brief A host that one pass may choose for maintenance. */
    struct Candidate
    {
        const HostInfo *host = nullptr;
        bool empty = false; //!< No task runs there.
        std::size_t runs = 0;
        bool preparing = false;
        bool countsAsUnavailable = false; //!< The host is already counted as unavailable.
    };

    auto planWave(const Control::Wave &wave,
                  const MaintenanceView &view,
                  const HostOccupancy &occupancy,
                  const HostsByName &hosts,
                  MaintenanceWork &work) -> void;
    auto prepare(const Control::Wave &wave,
                 const MaintenanceView &view,
                 std::vector<Candidate> candidates,
                 std::int64_t unavailable,
                 MaintenanceWork &work) -> void;
    auto confirmOrders(const MaintenanceView &view, const HostsByName &hosts, MaintenanceWork &work)
        -> void;
    auto isPreparing(const HostInfo &host) const -> bool;
    auto hasDeparted(const std::string &host, const MaintenanceView &view) -> bool;
    auto waitsForNewerList(const std::string &host, const MaintenanceView &view) const -> bool;

    std::set<std::int64_t> m_inheritedWaves;            //!< Waves that began in an earlier term.
    std::map<std::string, Preparation> m_preparing;     //!< By host.
    std::map<std::string, Order> m_orders;              //!< Last order by host.
    std::map<std::string, Utils::Instant> m_unanswered; //!< Last order without a reply by host.
    //! Waves and hosts with an order that was or may have been carried out.
    std::set<std::pair<std::int64_t, std::string>> m_maybeMaintained;
    std::map<std::string, Unconfirmed> m_unconfirmed; //!< Accepted orders by host.
    std::map<std::string, Utils::Instant> m_refused;  //!< Time of the last refusal by host.
    //! Time of the first of the lists in a row that lack a host, by host.
    std::map<std::string, Utils::Instant> m_missingSince;
};

} // namespace Execution
