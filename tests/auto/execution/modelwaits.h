#pragma once

#include "modelhosts.h"
#include "modelleader.h"
#include "modellog.h"
#include "modelmembership.h"
#include "modelnetwork.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ExecutionTest {

/*! \brief What was seen in one play of ModelWaits. */
struct WaitResult
{
    std::string late;                 //!< First task that waited too long; empty if there was none.
    std::string breach;               //!< First breach of the rule TWICE; empty if there was none.
    std::optional<Jobs::TaskId> task; //!< The task of either.
    std::string waits;                //!< What the late task waited for, from RunLedger.
    std::string trace;                //!< Events of the traced task.
    std::int64_t starts = 0;
    std::int64_t faults = 0;
    std::int64_t leaders = 0;
    //! Longest time for which a long-running task counted as missing in the calm stretch.
    std::int64_t longestMissingUs = 0;
};

/*! \brief Least and most milliseconds of the longest short task of a play. */
struct LongestTask
{
    std::int64_t leastMs = 500;
    std::int64_t mostMs = 2500;
};

/*! \brief What a test adds to the plays. */
struct WaitOptions
{
    LongestTask longest;
    //! Planned restarts change the leader, in the calm stretch as well: they do not end the calm.
    bool leadersChange = false;
    bool plannedOnly = false; //!< Endpoints leave or are maintained, and nothing else happens.
    bool shortTerms = false;  //!< Long series of leaders that last 0.4 to 1.5 s each.
    //! Endpoints crash for good, too, and the leader crashes soon after one has been lost or cut off.
    bool leadersEndAfterEndpoints = false;
    std::optional<Jobs::TaskId> trace; //!< Task whose events are kept.
};

/*!
    \brief One random play of a pool with a backlog of short tasks, long-running ones and faults.

    After the last fault the backlog goes on. A long-running task is late by the rule LOST of the
    pages: for 3 s it is not at work though an endpoint could hold it beside the other long-running
    tasks there, and these 3 s begin after 4 calm seconds and 6 s after the end of its last run.
*/
class ModelWaits
{
public:
    ModelWaits(std::uint64_t seed, const WaitOptions &options);

    auto play() -> WaitResult;

private:
    //! Planned events are those from Leave to CloseAndReopen.
    enum class Fault {
        Restart,
        Flap,
        Replace,
        Leave,
        HalfLeave,
        Depart,
        Maintain,
        CloseAndReopen,
        CutOrders,
        CutReplies,
        LostReplies,
        CrashForGood, //!< Only if leadersEndAfterEndpoints is set.
    };
    /*! \brief How long a long-running task has been missing, and what it waited for. */
    struct Wait
    {
        std::optional<std::int64_t> missingSinceUs; //!< Since then an endpoint could have held it.
        std::string reason;                         //!< What it waits for now.
        std::vector<std::string> lines;
    };

    auto configure() -> void;
    auto drawFaults() -> void;
    auto submit(const Jobs::JobSpec &job) -> void;
    auto newJob(const Jobs::StepSpec &step, std::int64_t durationMs) -> Jobs::JobSpec;
    auto submitLongRunning() -> void;
    auto submitShort() -> void;
    auto fillBacklog() -> void;

    auto startLeader() -> void;
    auto planLeaderChanges() -> void;
    auto changeLeaderEvery(std::int64_t gapUs, std::int64_t times) -> void;
    auto changeLeaderSoon(std::int64_t times) -> void;
    auto changeLeader() -> std::int64_t;
    auto crashLeaderAfter(Fault fault) -> void;

    auto nextFault() -> void;
    auto strike(Fault fault) -> void;
    auto flap(std::size_t host, std::int64_t times) -> void;
    auto drawDrainUs() -> std::int64_t;
    auto leave(std::size_t host) -> void;
    auto depart(std::size_t host) -> void;
    auto crashForGood(std::size_t host) -> void;
    auto maintain(std::size_t host, bool reopen) -> void;
    auto evacuate(const Control::EndpointIncarnation &incarnation) -> void;
    auto endMaintenance(std::size_t host,
                        const Control::EndpointIncarnation &incarnation,
                        bool reopen) -> void;
    auto openAgain(const std::string &endpoint) -> void;
    auto forget(const Control::EndpointIncarnation &incarnation) -> void;
    auto cut(std::size_t host, bool orders) -> void;
    auto loseReplies() -> void;
    auto isDisturbed() const -> bool;

    auto observe() -> void;
    auto noteReasons() -> void;
    auto judge(const Jobs::TaskId &task, const Jobs::StepSpec &step) -> void;
    auto reportLate(const Jobs::TaskId &task) -> void;
    auto couldRun(const Jobs::TaskId &task, const Jobs::StepSpec &step) const -> bool;

    RandomSource m_random;
    VirtualTime m_time;
    RunWatch m_watch;
    ModelGangs m_gangs;
    ModelLog m_log;
    ModelNetwork m_network;
    ModelMembership m_membership;
    ModelHosts m_hosts;
    std::shared_ptr<ModelLeader> m_leader; //!< None while the leader changes.
    std::int64_t m_term = 0;
    std::vector<Fault> m_kinds; //!< Faults of this play; frequent ones are listed several times.
    std::int64_t m_faultGapUs = 0;
    std::int64_t m_disturbedUntilUs = 0; //!< The last fault of the network or the leader ends then.
    std::set<std::size_t> m_departed;    //!< Hosts whose endpoints leave and do not come back.
    std::set<std::string> m_closed;      //!< Endpoints that are closed for maintenance.
    std::int64_t m_calmSinceUs = 0;
    std::size_t m_backlog = 0; //!< Active short jobs that are kept up.
    WaitOptions m_options;
    std::int64_t m_longestTaskMs = 0;
    std::int64_t m_largestShortPercent = 0; //!< Of a host's capacity.
    std::int64_t m_jobs = 0;
    std::vector<Jobs::JobSpec> m_longRunning;
    std::map<Jobs::TaskId, Wait> m_waits;
    WaitResult m_result;
};

} // namespace ExecutionTest
