#pragma once

#include "hostmoveplan.h"
#include "leaderload.h"
#include "maintenanceplan.h"
#include "orderbudget.h"
#include "ports.h"
#include "quotawaits.h"
#include "runledger.h"
#include "submissiongate.h"

#include "control/controlstate.h"
#include "utils/logbudget.h"
#include "utils/metrics.h"

#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace Execution {

/*! \brief Interval between attempts to commit commands that must not be lost. */
inline constexpr Utils::Milliseconds commitRetry{100};

/*! \brief The dependencies of a LeaderSession. All of them outlive the session. */
struct LeaderParts
{
    AsyncNet::asio::io_context &loop;
    const Control::StateReplica &state;
    EndpointLink &endpoints;
    CommandLog &log;
    const Leadership &leadership;
    HostProvider &hosts;
    const Utils::Clock &clock;
    Utils::Metrics &metrics;
    //! Rate of orders that the provider accepts from all processes together.
    double hostOrdersPerS = 0;
    Accounts::RateTerms accountRates = {};
};

/*!
    \brief One term of leadership: polls endpoints, schedules tasks, moves and maintains hosts.

    The session belongs to one event loop. Its coroutines hold a reference to it and finish soon
    after end().
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

    /*! \brief Requests a scheduling pass. */
    auto wake() -> void;
    /*! \brief Takes changes of the state over, whoever committed them, and requests a pass. */
    auto stateChanged() -> void;
    auto markEndpointLeaving(const Control::EndpointIncarnation &incarnation) -> void;
    /*! \brief Ends \a incarnation, because another process has its address. */
    auto endpointReplaced(const Control::EndpointIncarnation &incarnation) -> void;
    /*!
        \brief Decides whether a submitted job is accepted, and sets whether it exceeds its account's rate.

        The result of the commit of an accepted job is to be passed to submissionSettled().
    */
    auto admit(Jobs::JobSpec &job) -> Scheduling::Admission;
    auto submissionSettled(const std::string &job, CommitResult result) -> void;

private:
    using Task = AsyncNet::Task<void>;

    auto takeOverEndpoints() -> void;
    /*! \brief Adds an endpoint that is durably recorded, and starts to poll it. */
    auto addEndpoint(const Control::KnownEndpoint &known) -> void;
    auto pollEndpoint(Control::EndpointIncarnation incarnation) -> Task;
    auto processPoll(const PollOrder &order, const PollReply &reply, Utils::Instant sentAt) -> Task;
    auto schedulePass() -> Task;
    auto tick() -> Task;
    auto recordAndSend(std::vector<StartOrder> orders) -> Task;
    auto recordGone(std::vector<Jobs::TaskId> tasks) -> Task;
    auto recordFound(std::vector<StartOrder> runs) -> Task;
    auto recordEndingLeases(std::vector<Control::RecordLease> leases) -> Task;
    auto commitUntilDone(std::vector<Control::Command> commands, std::vector<Jobs::TaskId> gone)
        -> AsyncNet::Task<bool>;
    auto commit(std::vector<Control::Command> commands) -> AsyncNet::Task<CommitResult>;
    auto recordLag(Utils::Milliseconds lag) -> void;
    auto recordProof() -> void;
    auto sendStart(StartOrder order) -> Task;
    auto sendStop(StopOrder order) -> Task;
    auto sendPace(PaceOrder order) -> Task;
    auto endIncarnation(Control::EndpointIncarnation incarnation, std::string_view reason) -> Task;
    auto inheritHostOrders() -> void;
    auto recordHostOrders(std::vector<Control::RecordHostOrder> orders) -> AsyncNet::Task<bool>;
    auto listHosts() -> Task;
    auto manageHosts() -> Task;
    auto updateDemand() -> void;
    auto planMaintenance() -> MaintenanceWork;
    auto runWaves() -> Task;
    auto orderMoves() -> void;
    auto markMaintained(std::string_view host) -> void;
    auto maintainHosts(std::vector<MaintenanceStep> steps) -> Task;
    auto withdrawMaintenance(const MaintenanceStep &step) -> void;
    auto maintainHost(MaintenanceStep step) -> Task;
    auto moveHosts(std::vector<MoveStep> steps) -> Task;
    auto moveHost(MoveStep step) -> Task;
    auto forgetEndpoint(Control::EndpointIncarnation incarnation,
                        std::vector<Control::Command> commands) -> Task;
    auto hasOpenWave() const -> bool;
    auto reportPools() -> void;
    auto reportReleasedHosts(const HostMoves &moves) const -> void;
    auto reportLoad() -> void;
    auto logEnds(const PollOrder &order, const PollReply &reply) -> void;
    auto logEndedJobs(const Control::RecordEnds &record) -> void;
    auto reportStart(const StartOrder &order, const StartReply &reply) -> void;
    auto reportFirstStart(const StartOrder &order) -> void;
    auto reportStop(const StopOrder &order, OrderResult result) -> void;
    auto reportReleases() -> void;
    auto reportMisdirectedRuns() -> void;
    auto reportPlacedTasks() -> void;
    auto reportEndingLeases(std::span<const Control::RecordLease> leases) -> void;
    auto reportWaitingTasks() -> void;
    auto updateBacklog() -> void;
    auto reportAdmission(const Jobs::JobSpec &job, const Scheduling::Admission &admission) -> void;
    auto reportQuotas() -> void;
    auto reportWaitingTask(const WaitingTask &waiting, Utils::Milliseconds waited) -> void;

    LeaderParts m_parts;
    RunLedger m_ledger;
    MaintenancePlan m_maintenance;
    HostMovePlan m_moves;
    OrderBudget m_hostOrders;
    SubmissionGate m_submissions;
    Utils::Instant m_backlogUpdatedAt;
    bool m_movesWait = false; //!< The last plan of moves may have left out some for want of orders.
    HostList m_hosts;
    Utils::Instant m_hostsListedAt; //!< Time at which the list was requested.
    std::int64_t m_term;
    bool m_active = true;
    bool m_isProven = true; //!< The last check found a proof of leadership.
    bool m_passPending = false;
    Utils::Instant m_lastPass;
    Utils::Milliseconds m_passInterval{0}; //!< Minimum time between the starts of two passes.
    Utils::Instant m_lastReport;
    Utils::Instant m_waitsReportedAt;
    //! Since when long-running tasks have been waiting, by task.
    std::map<Jobs::TaskId, Utils::Instant> m_waitingSince;
    LeaderLoad m_load;
    Utils::Instant m_loadReportedAt;
    Utils::LogBudget m_startLines;
    Utils::LogBudget m_endLines;
    Utils::LogBudget m_stopLines;
    Utils::LogBudget m_releaseLines;
    Utils::LogBudget m_endedJobLines;
    // First starts and failures have separate limits, since callers ask about slow and failed jobs.
    Utils::LogBudget m_firstStartLines;
    Utils::LogBudget m_failureLines;
    Utils::LogBudget m_waitLines;
    Utils::LogBudget m_placeLines;
    Utils::LogBudget m_leaseLines;
    Utils::LogBudget m_refusalLines;
    Utils::LogBudget m_quotaLines;
    QuotaWatch m_quotas;
    std::set<Control::EndpointIncarnation> m_polled;
    std::uint64_t m_endpointsVersion = 0; //!< State::endpointsVersion that has been taken over.
};

} // namespace Execution
