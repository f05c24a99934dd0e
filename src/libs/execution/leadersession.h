#pragma once

#include "hostmoveplan.h"
#include "maintenanceplan.h"
#include "orderbudget.h"
#include "ports.h"
#include "runledger.h"

#include "control/controlstate.h"
#include "utils/logbudget.h"
#include "utils/metrics.h"

#include <memory>
#include <set>
#include <string>

namespace Execution {

/*! \brief Between two tries to commit what must not be lost. */
inline constexpr Utils::Milliseconds commitRetry{100};

/*! \brief What a leader's work needs. All outlive the session. */
struct LeaderParts
{
    AsyncNet::asio::io_context &loop;
    const Control::StateReplica &state;
    EndpointLink &endpoints;
    CommandLog &log;
    HostProvider &hosts;
    const Utils::Clock &clock;
    Utils::Metrics &metrics;
    double hostOrdersPerS = 0; //!< That the provider of hosts takes from all processes together.
};

/*!
    \brief One term of leadership: looks at endpoints, schedules tasks, maintains hosts.

    Lives on one event loop. Its coroutines hold a reference and end soon after end().
*/
class LeaderSession : public std::enable_shared_from_this<LeaderSession>
{
public:
    LeaderSession(LeaderParts parts, LedgerTiming timing, std::int64_t term);

    auto start() -> void;
    auto end() -> void;
    auto isActive() const -> bool { return m_active; }
    auto term() const -> std::int64_t { return m_term; }
    auto ledger() const -> const RunLedger & { return m_ledger; }

    /*! \brief Schedules soon; called when jobs or endpoints have changed. */
    auto wake() -> void;
    /*! \brief Takes up an endpoint that is durably known. */
    auto endpointKnown(const Control::EndpointRecord &record) -> void;
    auto endpointLeaves(const Control::EndpointLife &life) -> void;
    /*! \brief Notes that a life is over, because another process has its address. */
    auto endpointReplaced(const Control::EndpointLife &life) -> void;

private:
    using Task = AsyncNet::Task<void>;

    auto watch(Control::EndpointLife life) -> Task;
    auto takeLook(const LookOrder &order, const LookReply &reply, Utils::Instant sentAt) -> Task;
    auto schedulePass() -> Task;
    auto tick() -> Task;
    auto recordAndSend(std::vector<StartOrder> orders) -> Task;
    auto commitUntilDone(std::vector<Control::Command> commands) -> AsyncNet::Task<bool>;
    auto noteLag(Utils::Milliseconds lag) -> void;
    auto sendStart(StartOrder order) -> Task;
    auto sendStop(StopOrder order) -> Task;
    auto sendPace(PaceOrder order) -> Task;
    auto endLife(Control::EndpointLife life, std::string_view reason) -> Task;
    auto listHosts() -> Task;
    auto manageHosts() -> Task;
    auto runWaves() -> Task;
    auto orderMoves() -> void;
    auto maintainHost(MaintenanceStep step) -> Task;
    auto moveHost(MoveStep step) -> Task;
    auto forgetEndpoint(Control::EndpointLife life, std::vector<Control::Command> commands) -> Task;
    auto hasOpenWave() const -> bool;
    auto reportPools() -> void;
    auto logEnds(const LookOrder &order, const LookReply &reply) -> void;
    auto logEndedJobs(const Control::RecordEnds &record) -> void;
    auto noteStart(const StartOrder &order, const StartReply &reply) -> void;
    auto noteFirstStart(const StartOrder &order) -> void;
    auto noteStop(const StopOrder &order, OrderResult result) -> void;

    LeaderParts m_parts;
    RunLedger m_ledger;
    MaintenancePlan m_maintenance;
    HostMovePlan m_moves;
    OrderBudget m_hostOrders;
    HostList m_hosts;
    Utils::Instant m_hostsListedAt; //!< When the list was asked for.
    std::int64_t m_term;
    bool m_active = true;
    bool m_passPending = false;
    Utils::Instant m_lastPass;
    Utils::Milliseconds m_passPause{0}; //!< Between two passes, by the time that they take.
    Utils::Instant m_lastReport;
    Utils::LogBudget m_startLines;
    Utils::LogBudget m_endLines;
    Utils::LogBudget m_stopLines;
    Utils::LogBudget m_endedJobLines;
    // Apart from the others, since callers ask about slow and failed jobs.
    Utils::LogBudget m_firstStartLines;
    Utils::LogBudget m_failureLines;
    std::set<Control::EndpointLife> m_watched;
};

} // namespace Execution
