#pragma once

#include "modellog.h"
#include "modelpoolhosts.h"

#include "execution/hostmoveplan.h"
#include "execution/orderbudget.h"
#include "execution/runledger.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ExecutionTest {

/*! \brief Sections of a play of ModelPools, in microseconds. */
inline constexpr std::int64_t backlogEndUs = 25'000 * usPerMs;
// What hosts still do once the last short task has ended: the lease of a lost endpoint (6 s) and the time
// constants of the demand (0.7 s) and of idle hosts (1.2 s) run out, and hosts move (1.5 s).
inline constexpr std::int64_t restUs = 10'000 * usPerMs;
inline constexpr std::int64_t stillUs =
    4'000 * usPerMs; //!< Afterwards nothing changes for so long.
inline constexpr std::int64_t longestPlayUs = 60'000 * usPerMs;

/*! \brief What was seen in one play of ModelPools. Texts are empty if nothing was. */
struct PoolResult
{
    std::string late;     //!< The first task that waited too long (rule LOST).
    std::string missed;   //!< The first order that made too many tasks unavailable (rule AVAIL).
    std::string wavering; //!< The first endpoint that is closed and opened in turn too often.
    std::string restless; //!< The first order for hosts once the fleet should have come to rest.
    std::string breach;   //!< The first breach of the rule TWICE.
    std::optional<Jobs::TaskId> task; //!< The task that was late or missed, or ran twice.
    std::string trace;                //!< Events of the traced task.
    std::string loads;                //!< Sizes of the pools as the task was late.
    std::int64_t starts = 0;
    std::int64_t moves = 0;
    std::int64_t evacuations = 0; //!< Endpoints closed although long-running tasks were there.
    std::int64_t crashes = 0;
    std::int64_t longestMissingUs = 0; //!< Longest time for which a task counted as missing.
};

/*!
    \brief One random play of several pools under one leader, between which hosts move.

    Up to 10 s, hosts crash, most of them in one pool and for good. Then follows a calm stretch with backlogs of
    short tasks, and, in half of the plays, with hosts that are maintained one by one. In the end only
    long-running tasks are left, and the fleet has to come to rest.
*/
class ModelPools
{
public:
    explicit ModelPools(std::uint64_t seed, std::optional<Jobs::TaskId> traced = {});

    auto play() -> PoolResult;

private:
    struct Wait
    {
        std::optional<std::int64_t> missingSinceUs; //!< Since then the fleet could have run it.
        std::int64_t awaySinceUs = 0;               //!< Not at work since.
    };

    auto configure() -> void;
    auto drawPool(const std::string &pool) -> void;
    auto drawLongRunning(const std::string &pool) -> void;
    auto planCrashes() -> void;
    auto mayCrash() const -> bool;
    auto crash(std::size_t host) -> void;
    auto submit(const Jobs::JobSpec &job, std::int64_t durationMs) -> void;
    auto fillBacklogs() -> void;
    auto cancelShort() -> void;
    auto submitShort(const std::string &pool) -> void;

    auto announce(const Control::EndpointRecord &record) -> void;
    auto every(std::int64_t gapUs, void (ModelPools::*action)()) -> void;
    auto pollHosts() -> void;
    auto poll(const Control::EndpointIncarnation &incarnation) -> void;
    auto schedulePass() -> void;
    auto send(const Execution::StartOrder &order) -> void;
    auto send(const Execution::StopOrder &order) -> void;
    auto recordGone(std::vector<Jobs::TaskId> tasks) -> void;
    auto forget(const Control::EndpointIncarnation &incarnation) -> void;
    auto listHosts() -> void;
    auto manageHosts() -> void;
    auto move(const Execution::MoveStep &step) -> void;
    auto maintainNext() -> void;
    auto continueMaintenance() -> void;

    auto observe() -> void;
    auto judgeWait(const Jobs::JobSpec &job, const Jobs::TaskId &task) -> void;
    auto judgeStop(const Jobs::TaskId &task) -> void;
    auto judgeEnd(std::string_view endpoint) -> void;
    auto countMissed(const Jobs::JobSpec &job) -> void;
    auto judgeClosings(const Execution::HostMoves &moves) -> void;
    auto judgeRest(const Execution::HostMoves &moves) -> void;
    auto textOfLoads() const -> std::string;
    auto hasShortJobs() const -> bool;

    RandomSource m_random;
    VirtualTime m_time;
    RunWatch m_watch;
    ModelLog m_log;
    ModelPoolHosts m_hosts;
    Execution::RunLedger m_ledger;
    Execution::HostMovePlan m_plan;
    Execution::OrderBudget m_budget;
    Execution::HostList m_list;
    std::vector<std::string> m_pools; //!< Without the spare pool.
    std::size_t m_shrinking = 0;      //!< Index of the pool whose hosts crash.
    std::vector<Jobs::JobSpec> m_longRunning;
    std::map<std::string, std::int64_t> m_durations; //!< By job.
    std::map<std::string, std::int64_t> m_backlogs;  //!< Active short jobs by pool.
    std::int64_t m_longestTaskMs = 0;
    std::int64_t m_largestShortPercent = 0;
    std::int64_t m_jobs = 0;
    bool m_maintains = false;
    std::size_t m_nextMaintained = 0;
    //! From then on the host is maintained although tasks are there, if their steps can miss them.
    std::int64_t m_maintenanceDueUs = 0;
    std::optional<std::size_t> m_maintained; //!< Host whose endpoint is closed for maintenance.
    std::int64_t m_calmSinceUs = 0;
    std::int64_t m_busyUntilUs = 0;        //!< The last short task or maintenance was seen then.
    std::map<std::string, int> m_closings; //!< In the calm stretch, by endpoint.
    std::map<Jobs::TaskId, Wait> m_waits;
    std::set<Jobs::TaskId> m_ordered; //!< Ended by orders, and not ready again.
    PoolResult m_result;
};

} // namespace ExecutionTest
