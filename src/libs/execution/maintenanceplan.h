#pragma once

#include "hostoccupancy.h"
#include "ports.h"
#include "runledger.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Execution {

/*! \brief A host whose maintenance is due now. */
struct MaintenanceStep
{
    std::int64_t wave = 0;
    std::string host;
    Control::EndpointLife life; //!< Of the endpoint that runs there; without id if there is none.
    //! An earlier order was not answered: it may have been carried out, and that life be a new one.
    bool repeated = false;
};

/*! \brief What the plan wants done next. */
struct MaintenanceWork
{
    std::vector<MaintenanceStep> begin;        //!< Order maintenance of these hosts.
    std::vector<Control::FinishWaveHost> left; //!< Hosts that have left the fleet.
    std::vector<std::string> close;            //!< Endpoints that get no new tasks.
    std::vector<std::string> evacuate; //!< Closed endpoints to move long-running tasks from.
};

/*!
    \brief Chooses which hosts of the waves are emptied and maintained next. Pure.

    At most as many hosts of a wave are away at once as it allows. Hosts on which nothing runs go
    first. Of the others only as many are emptied at once as the time left needs: closed for new
    tasks, and maintained once nothing runs there or their time has come.
*/
class MaintenancePlan
{
public:
    /*!
        \brief Returns what to do next, by a list of hosts that was asked for at \a listedAt.

        \a wallMs is the time since 1970. Hosts in \c begin count as away from then on.
    */
    auto next(const Control::State &state,
              const RunLedger &ledger,
              const HostList &hosts,
              Utils::Instant listedAt,
              Utils::Instant now,
              std::int64_t wallMs) -> MaintenanceWork;
    /*! \brief Notes what became of an order. */
    auto ordered(const MaintenanceStep &step, HostOrderResult result, Utils::Instant now) -> void;

private:
    /*! \brief An order of maintenance that the list of hosts may not show yet. */
    struct Order
    {
        Utils::Instant at;
        bool uncertain = false; //!< Not answered: it may be carried out much later.
    };
    /*! \brief What one pass needs to know of a host. */
    struct Candidate
    {
        const HostInfo *host = nullptr;
        bool empty = false; //!< Nothing runs there.
        std::size_t runs = 0;
        bool preparing = false;
        bool countsAsAway = false; //!< Already counted.
    };

    auto prepare(const Control::Wave &wave,
                 const RunLedger &ledger,
                 Utils::Instant now,
                 std::int64_t wallMs,
                 std::vector<Candidate> candidates,
                 std::int64_t away,
                 MaintenanceWork &work) -> void;
    auto planWave(const Control::Wave &wave,
                  const RunLedger &ledger,
                  const HostOccupancy &occupancy,
                  const std::map<std::string_view, const HostInfo *> &hosts,
                  Utils::Instant listedAt,
                  Utils::Instant now,
                  std::int64_t wallMs,
                  MaintenanceWork &work) -> void;

    std::map<std::string, Utils::Instant> m_preparing; //!< By host: since when it is emptied.
    std::map<std::string, Order> m_orders;             //!< By host.
};

} // namespace Execution
