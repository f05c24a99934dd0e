#pragma once

#include "ports.h"
#include "runledger.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Execution {

/*! \brief A host whose maintenance is due now. */
struct MaintenanceStep
{
    std::int64_t wave = 0;
    std::string host;
    Control::EndpointLife life; //!< Of the endpoint that runs there; without id if there is none.
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

    At most as many hosts of a wave are away at once as it allows. A host is closed for new tasks
    first; its maintenance begins once nothing runs there, or when its time has come.
*/
class MaintenancePlan
{
public:
    auto next(const Control::State &state,
              const RunLedger &ledger,
              const HostList &hosts,
              Utils::Instant now) -> MaintenanceWork;
    /*! \brief Notes what became of an order. */
    auto ordered(const MaintenanceStep &step, HostOrderResult result, Utils::Instant now) -> void;

private:
    auto prepare(const Control::Wave &wave,
                 const RunLedger &ledger,
                 const HostList &hosts,
                 Utils::Instant now,
                 MaintenanceWork &work) -> void;

    std::map<std::string, Utils::Instant> m_preparing; //!< By host: since when it is emptied.
    std::map<std::string, Utils::Instant> m_away;      //!< Hosts whose maintenance was ordered.
};

} // namespace Execution
