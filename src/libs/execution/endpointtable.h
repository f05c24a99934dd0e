#pragma once

#include "orders.h"

#include "accounts/accountuse.h"
#include "control/controlcommands.h"
#include "jobs/jobtypes.h"
#include "utils/clock.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Execution {

/*! \brief Minimum speed of an endpoint's clock, in percent of the speed of the local clock. */
inline constexpr std::int64_t slowestClockPercent = 98;
/*! \brief Maximum speed of an endpoint's clock, in percent of the speed of the local clock. */
inline constexpr std::int64_t fastestClockPercent = 100;

enum class RunState {
    Ordered,   //!< The start order has been issued, and no reply has arrived yet.
    Running,   //!< The endpoint has confirmed the start or reported the run.
    Uncertain, //!< The start order got no reply; a poll or a stop has to settle the run.
};

//! Share of their full speed that backfill tasks get beside tasks with a latency target at first.
inline constexpr std::int64_t initialBackfillPercent = 40;
//! What a backfill task was last told may not be what it does.
inline constexpr std::int64_t unknownPercent = -1;

/*! \brief The orders for which an endpoint is closed. */
enum class ClosedFor { Move, Maintenance };

/*! \brief What the log tells about the lease of an endpoint. */
enum class LeaseRecord {
    Renewed,  //!< Polls may renew it at any time.
    Ending,   //!< It is over at a recorded time, and not renewed.
    Outdated, //!< As before, by the record of an earlier leader or by one to be replaced.
    Renewing, //!< As before, and the record that it may be renewed is being committed.
};

/*! \brief Whether the start order of an earlier leader may still be carried out. */
enum class FormerStart { MayBeLate, Settled };

/*! \brief Tasks that an earlier leader may have started. */
using FormerStarts = std::map<Jobs::TaskId, FormerStart>;

/*! \brief One execution of a task on an endpoint, from its start order until it has ended. */
struct Run
{
    Jobs::TaskId task;
    std::int64_t number = 0;
    RunState state = RunState::Ordered;
    Jobs::Resources occupies;
    Jobs::Resources demand; //!< What it counts for with its account, also if it fills.
    Accounts::AccountId account = Accounts::noAccount;
    bool fills = false; //!< Uses only capacity that other tasks leave unused (backfill).
    bool longRunning = false;
    bool adopted = false; //!< Found by a poll; its start time is not known.
    bool resumed = false; //!< The run started from a checkpoint.
    std::int64_t latencyTargetMs = 0;
    bool sent = false; //!< The start order has been given out to be sent.
    //! A poll of the incarnation that it is booked on has listed the run.
    bool carriedOut = false;
    //! Birth of the incarnation that the start is for; 0 if that is not known.
    std::int64_t orderedForMs = 0;
    std::int64_t leaseEndMs = 0; //!< Lease end in the start order, on the endpoint's clock.
    Utils::Instant confirmedAt;  //!< Time at which the start was confirmed.
    std::int64_t percent = 0;    //!< Last reported readiness; 100 once the task is fully working.
    std::int64_t load = 0;       //!< Last reported load, see RunningTask::load.
    Utils::Instant orderedAt;    //!< Time at which the start was decided.
    //! Share of its full speed that a backfill task may use, or unknownPercent.
    std::int64_t pacePercent = 100;
    bool paceInFlight = false;   //!< An order that changes pacePercent is waiting for its reply.
    std::int64_t expectedMs = 0; //!< Expected duration where it runs; 0 if it is not known.
    bool far = false;            //!< Takes longer, as it runs away from its data or its group.
    bool listed = false;         //!< The poll reply that is being processed lists the run.
    //! An earlier run of the task that the last list holds; it counts once this one is gone. Or 0.
    std::int64_t earlierRun = 0;
    bool earlierListed = false; //!< The poll reply that is being processed lists the earlier run.
    //! The last complete list is that of a poll sent after the start, and does not hold the run.
    bool unlisted = false;
    Utils::Instant unlistedAt;   //!< Time of the reply from which on the run is unlisted.
    Utils::Instant unansweredAt; //!< Time at which the wait for a reply to the start has ended.
    //! Time of the first list without the run that was asked for when the start could not be late any more.
    Utils::Instant notStartedAt;
    std::optional<StopReason> stopReason; //!< Set if the run is to be stopped.
    bool hasNoPlace =
        false; //!< The task is to move, and no endpoint could run it in the last pass.
    Utils::Instant stopSentAt;     //!< Time of the last stop order; zero if there was none.
    Utils::Instant stopAnsweredAt; //!< Time of the first accepted stop; zero if there was none.

    /*! \brief Returns true if the next incarnation under the endpoint's id may carry the order out. */
    auto mayOutliveIncarnation() const -> bool { return sent && !carriedOut; }
    auto isAwaitingReply() const -> bool { return sent && state == RunState::Ordered; }
    /*!
        \brief Returns true if an incarnation that is not known yet may have begun the run.

        A long-running task does not wait for that if nothing has confirmed the start: it may not be without a run
        for so long.
    */
    auto mayRunOnUnknownIncarnation() const -> bool
    {
        const auto unanswered = state == RunState::Uncertain && !longRunning;
        return mayOutliveIncarnation() && (state == RunState::Running || unanswered);
    }
    /*! \brief Returns the run as one that is gone from \a endpoint. */
    auto releasedFrom(const std::string &endpoint, ReleaseReason reason) const -> Release;
    /*! \brief Makes it a run of which nothing is known but that its start got no reply until \a unanswered. */
    auto awaitLateCopy(Utils::Instant unanswered) -> void;
    /*! \brief Marks the run to be stopped. An urgent reason replaces one that canWait(). */
    auto requestStop(StopReason reason) -> void;
};

/*! \brief Returns a run of a task of \a step with the resources that the step requires. */
auto makeRun(const Jobs::StepSpec &step, const Jobs::TaskId &task, std::int64_t number) -> Run;

/*! \brief The runs on one endpoint and the sum of the resources that they occupy. */
class RunTable
{
public:
    using Runs = std::map<Jobs::TaskId, Run>;
    /*! \brief Consecutive runs of the table. */
    class Part
    {
    public:
        Part(Runs::const_iterator begin, Runs::const_iterator end)
            : m_begin(begin)
            , m_end(end)
        {}
        auto begin() const { return m_begin; }
        auto end() const { return m_end; }

    private:
        Runs::const_iterator m_begin;
        Runs::const_iterator m_end;
    };

    auto begin() const { return m_runs.begin(); }
    auto end() const { return m_runs.end(); }
    auto begin() { return m_runs.begin(); }
    auto end() { return m_runs.end(); }
    auto size() const -> std::size_t { return m_runs.size(); }
    auto empty() const -> bool { return m_runs.empty(); }
    auto contains(const Jobs::TaskId &task) const -> bool { return m_runs.contains(task); }
    auto find(const Jobs::TaskId &task) -> Run *;
    auto find(const Jobs::TaskId &task) const -> const Run *;
    /*! \brief Adds \a run, which replaces an earlier run of the same task. */
    auto add(const Run &run) -> Run &;
    auto erase(const Jobs::TaskId &task) -> void;
    /*! \brief Removes and returns the runs for which \a isChosen returns true. */
    template <typename Predicate>
    auto takeIf(const Predicate &isChosen) -> std::vector<Run>
    {
        std::vector<Run> taken;
        for (const auto &[task, run] : m_runs) {
            if (isChosen(run))
                taken.push_back(run);
        }
        for (const auto &run : taken)
            erase(run.task);
        return taken;
    }
    /*! \brief Removes and returns all runs. */
    auto take() -> Runs;

    auto occupied() const -> const Jobs::Resources & { return m_occupied; }
    auto occupiedByLongRunning() const -> const Jobs::Resources &
    {
        return m_occupiedByLongRunning;
    }
    /*! \brief Returns what the runs of each account demand. */
    auto byAccount() const -> const Accounts::AccountParts & { return m_byAccount; }
    auto servesUsers() const -> bool { return m_withTarget > 0; }
    auto holdsLongRunning() const -> bool { return m_longRunning > 0; }
    /*! \brief Returns the number of runs of long-running tasks. */
    auto longRunning() const -> int { return m_longRunning; }
    auto holdsBackfill() const -> bool { return m_backfill > 0; }
    /*! \brief Returns the runs that belong to the same step and occurrence as \a task. */
    auto ofStep(const Jobs::TaskId &task) const -> Part;
    /*! \brief Returns the number of runs that belong to the same step and occurrence as \a task. */
    auto countOfStep(const Jobs::TaskId &task) const -> std::int64_t;

private:
    auto count(const Run &run, int by) -> void;

    Runs m_runs;
    Jobs::Resources m_occupied;
    Jobs::Resources m_occupiedByLongRunning; //!< Part of m_occupied.
    Accounts::AccountParts m_byAccount;
    int m_withTarget = 0;
    int m_longRunning = 0;
    int m_backfill = 0;
};

/*! \brief The leader's knowledge of one endpoint. */
struct EndpointEntry
{
    Control::EndpointRecord record;
    std::int64_t fencingToken = 0; //!< Higher than those of earlier incarnations under the id.
    bool tried = false;   //!< The outcome of a poll in this term is known, whatever it was.
    bool polled = false;  //!< The endpoint has replied to a poll in this term.
    bool answers = false; //!< The endpoint has replied to the last poll.
    bool draining = false;
    //! The endpoint gets no new tasks, because its host is to be moved.
    bool closedForMove = false;
    //! The endpoint gets no new tasks, because its host is to be maintained.
    bool closedForMaintenance = false;
    bool evacuating = false; //!< Its long-running tasks are to move elsewhere.
    //! An order that ends all tasks here has been issued and was not refused.
    bool endOrdered = false;
    bool leaving = false; //!< The endpoint has announced its shutdown.
    LeaseRecord leaseRecord = LeaseRecord::Renewed;
    std::int64_t recordedLeaseMs = 0; //!< Time left in the last record that the lease ends.
    bool leaseRenewed = false;        //!< The endpoint has replied to a poll that renews the lease.
    //! When the incarnation replaced another one under its id, if it did: orders for that one may be late.
    std::optional<Utils::Instant> replacedAt;
    Utils::Instant addedAt;      //!< Time from which on the endpoint is polled in this term.
    Utils::Instant firstReplyAt; //!< Time of the first reply to a poll in this term.
    //! Time of the last reply to a poll, or beginning of the term, or of the silence before it.
    Utils::Instant lastReplyAt;
    std::int64_t clockMs = 0; //!< Time on the endpoint's clock at clockAt.
    Utils::Instant clockAt;   //!< Local time of the poll reply that carried clockMs.
    //! Time by which all tasks there have ended, unless the lease is renewed.
    Utils::Instant leaseEnd;
    std::int64_t recordedEnds = 0;  //!< Number of the last task end that is durably recorded.
    std::int64_t forgottenEnds = 0; //!< Number of the last end that the endpoint has forgotten.
    std::int64_t processedEnds = 0; //!< Number of the last task end that has been processed.
    //! Tasks that an earlier leader may have started here. A reply to a poll settles them.
    FormerStarts inherited;
    std::vector<Jobs::TaskId> reopenWhenRecorded; //!< Tasks whose failure is being recorded.
    std::int64_t failureStreak = 0;               //!< Failed task ends since the last success.
    //! Starts that got no reply since an order has last been known to arrive.
    std::int64_t unansweredStarts = 0;
    Utils::Instant avoidUntil;          //!< The endpoint gets no new tasks before this time.
    std::int64_t backfillPercent = 100; //!< Share of their full speed that backfill tasks get here.
    bool loadUpdated = false; //!< Loads were reported since backfillPercent was last decided.
    RunTable runs;

    /*! \brief Notes that runs may hold their lease until \a until. */
    auto extendLease(Utils::Instant until) -> void { leaseEnd = std::max(leaseEnd, until); }
    auto mayRenewLease() const -> bool { return leaseRecord == LeaseRecord::Renewed; }
    /*! \brief Returns the number of runs, including those an earlier leader may have started. */
    auto possibleRuns() const -> std::size_t { return runs.size() + inherited.size(); }
    /*! \brief Returns true if the endpoint gets no new tasks because of orders for its host. */
    auto isClosed() const -> bool { return closedForMove || closedForMaintenance || evacuating; }
    auto freeResources() const -> Jobs::Resources;
    /*! \brief Returns what is free once all tasks have ended, except for the long-running ones. */
    auto freeOnceShortTasksEnd() const -> Jobs::Resources;
    auto servesUsers() const -> bool { return runs.servesUsers(); }
    auto holdsLongRunning() const -> bool { return runs.holdsLongRunning(); }
    /*!
        \brief Returns a lower bound of the time on the endpoint's clock at \a time.

        The time may precede the last reply.
    */
    auto clockAtLeast(Utils::Instant time) const -> std::int64_t;
};

/*!
    \brief What may still run under the id of an endpoint whose incarnation has ended.

    Orders name the id of an endpoint and not its incarnation. An order that was on its way when the
    incarnation ended is carried out by the next one, if that one starts under the same id. An endpoint
    has one lease for all of its runs, which each order renews, so they share the time of their end.
*/
struct OutlivingRuns
{
    std::vector<Run> runs;
    FormerStarts inherited;
    Utils::Instant leaseEnd; //!< Time by which all of them have ended.

    auto empty() const -> bool { return runs.empty() && inherited.empty(); }
    auto find(const Jobs::TaskId &task) -> Run *;
    auto contains(const Jobs::TaskId &task) const -> bool;
    auto erase(const Jobs::TaskId &task) -> void;
};

/*! \brief A start order of which a copy got no reply. That one may be carried out long after the run was settled. */
struct LateStart
{
    Jobs::TaskId task;
    std::int64_t run = 0;
    std::int64_t bornMs = 0; //!< Birth of the incarnation that the order is for.
    Utils::Instant unansweredAt;
    Accounts::AccountId account = Accounts::noAccount;
    Jobs::Resources demand;
    std::int64_t blockedByMs =
        0; //!< Birth of a later incarnation that refuses the run; 0 if none does.
};

/*! \brief A poll that names recorded ends, without a reply so far. */
struct ForgettingPoll
{
    std::int64_t bornMs = 0; //!< Birth of the incarnation that the poll is for.
    std::int64_t recordedEnds = 0;
    Utils::Instant sentAt; //!< Time of the order, or that at which the wait for a reply ended.
};

using EndpointTable = std::map<std::string, EndpointEntry>;

/*! \brief Returns the largest amount of each resource that an endpoint has. */
auto largestCapacity(const EndpointTable &endpoints) -> Jobs::Resources;

} // namespace Execution
