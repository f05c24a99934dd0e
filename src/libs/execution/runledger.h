#pragma once

#include "accountdemand.h"
#include "endpointtable.h"
#include "jobprogress.h"
#include "orders.h"
#include "placewaits.h"
#include "poolbacklog.h"
#include "pooldemand.h"
#include "quotawaits.h"
#include "waitingtasks.h"

#include "accounts/accountuse.h"
#include "control/controlstate.h"
#include "scheduling/durationmodel.h"
#include "scheduling/joborder.h"
#include "scheduling/placement.h"
#include "scheduling/placewait.h"
#include "utils/clock.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_set>
#include <vector>

namespace Execution {

/*! \brief Durations that the ledger uses. */
struct LedgerTiming
{
    //! Maximum length of a lease; endpoints shorten longer leases to this length.
    Utils::Milliseconds maximumLease{6000};
    //! Lease requested with each poll, and with the start of a short task.
    Utils::Milliseconds lease{5000};
    //! Lease requested with the start of a long-running task; polls renew it.
    Utils::Milliseconds startLease{2500};
    //! Like startLease, where no poll has renewed the lease yet: outlives that one poll is lost.
    Utils::Milliseconds firstStartLease{3200};
    //! Maximum time from the reply to a stop until the run has ended.
    Utils::Milliseconds longestStop{400};
    Utils::Milliseconds pollWait{1500}; //!< Maximum time for which a poll waits for a task end.
    //! An endpoint whose last poll reply is older gets no new tasks.
    Utils::Milliseconds maximumPollAge{2800};
    //! Duration of a task away from its data or its group, relative to that near them. Places make no
    //! difference if it is 1 or less.
    double farFactor = 1;
    //! Room in a full pool goes to owed work by the weights of accounts, too, and not by objectives alone.
    bool sharesOwedWork = true;
};

/*! \brief Returns the longest local time in which \a onEndpoint passes on an endpoint's clock. */
auto longestLocalTime(Utils::Milliseconds onEndpoint) -> Utils::Milliseconds;

/*! \brief An order without a reply may be carried out within this time. */
inline constexpr Utils::Milliseconds longestLateOrder{13'000};

/*! \brief Returns the longest time from a start order without a reply to the end of its run, unless renewed. */
auto longestLateRun(const LedgerTiming &timing) -> Utils::Milliseconds;

/*! \brief The orders that are to be sent to endpoints. */
struct Orders
{
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PaceOrder> paces;
    //! Tasks that wait and that nothing runs any more, although a start of them is recorded.
    std::vector<Jobs::TaskId> gone;
    //! Runs that polls found and that no record names; their start is to be recorded.
    std::vector<StartOrder> found;
};

/*! \brief The consequences of a poll reply: task ends to record, and changes of the endpoint. */
struct PollEffects
{
    //! Task ends to record before the endpoint may forget them.
    Control::RecordEnds record;
    std::int64_t lastEnd = 0; //!< Number of the last task end not durable yet; 0 if there is none.
    bool incarnationOver = false; //!< The polled incarnation of the endpoint has ended.
    bool fenced = false;          //!< The endpoint has seen orders of a leader with a higher term.
    //! The endpoint answers again, which has to be recorded before its lease may be renewed.
    bool renewable = false;
};

/*! \brief How much of the capacity of one pool is in use. */
struct PoolUse
{
    std::int64_t openEndpoints = 0;   //!< Endpoints that accept new tasks.
    std::int64_t freeMillicores = 0;  //!< Capacity of open endpoints that no task occupies.
    std::int64_t unconfirmedRuns = 0; //!< Runs whose start order has not been answered.
};

/*!
    \brief The leader's knowledge of the runs on endpoints. It sends nothing and reads no clock.

    The ledger is not durable, but the start of a task is recorded in the replicated log before its
    order is sent. A new leader polls every endpoint with its own fencing token. It restarts a task
    that was already ordered to start on some endpoint only when that endpoint has replied, the
    endpoint's incarnation has ended or its lease has expired.
*/
class RunLedger
{
public:
    explicit RunLedger(LedgerTiming timing);

    /*! \brief Starts a term: clears all runs and takes over the endpoints and jobs in \a state. */
    auto begin(std::int64_t term, const Control::State &state, Utils::Instant now) -> void;

    /*! \brief Adds or updates an endpoint that is durably recorded. */
    auto addEndpoint(const Control::EndpointRecord &record, Utils::Instant now) -> void;
    /*! \brief Like that, and takes over which of its ends are recorded if the incarnation is not known yet. */
    auto addEndpoint(const Control::KnownEndpoint &known, Utils::Instant now) -> void;
    /*! \brief Closes an endpoint for new tasks, and moves its long-running tasks elsewhere. */
    auto drain(const std::string &endpoint) -> void;
    /*! \brief Handles an endpoint's announcement that it is shutting down. */
    auto leave(const Control::EndpointIncarnation &incarnation, Utils::Instant now) -> void;
    /*!
        \brief Sets whether orders of this kind close an endpoint for new tasks.

        An endpoint is open if neither kind closes it.
    */
    auto setClosed(const std::string &endpoint, bool closed, ClosedFor orders = ClosedFor::Move)
        -> void;
    /*!
        \brief Has the long-running tasks of an endpoint moved elsewhere, until it is opened again.

        A task is stopped once another endpoint has room for it. No stop makes more tasks of a step
        unavailable at once than the step allows. The endpoint gets no new tasks.
    */
    auto evacuate(const std::string &endpoint) -> void;
    /*!
        \brief Returns the first of \a candidates whose long-running tasks have places elsewhere.

        The candidates are endpoints of \a pool, and \a count of them at most are to be evacuated together.
    */
    auto evacuable(const std::string &pool,
                   std::span<const EndpointEntry *const> candidates,
                   std::int64_t count,
                   Utils::Instant now) -> std::vector<std::string>;
    /*! \brief Sets whether an order that ends all tasks on the endpoint is in progress. */
    auto setEndOrdered(const std::string &endpoint, bool ordered) -> void;
    /*! \brief Returns true if all steps stay within their limits if the endpoint ends now. */
    auto canLose(const std::string &endpoint) const -> bool;
    /*!
        \brief Removes the endpoint and its runs, because \a incarnation has ended.

        Runs whose order may be carried out by the next incarnation under the same id stay booked
        until that one, a reply to the order or the end of the lease settles them.
    */
    auto endIncarnation(const Control::EndpointIncarnation &incarnation) -> void;

    auto endpoints() const -> const EndpointTable & { return m_endpoints; }
    auto target(const EndpointEntry &endpoint) const -> OrderTarget;
    /*!
        \brief Returns true if an endpoint that refuses an order to \a target for its fencing token has seen a
        later leader, and not only an order for a later incarnation.
    */
    auto showsLaterTerm(const OrderTarget &target) const -> bool;

    /*!
        \brief Returns the next poll of the endpoint, or std::nullopt if it is not known.

        The poll renews the lease from \a provenAt on, see Leadership::provenAt(): the next leader counts the
        leases of this one from the beginning of its own term. Without that time it renews nothing.
    */
    auto pollOrder(const std::string &endpoint,
                   Utils::Instant now,
                   std::optional<Utils::Instant> provenAt) -> std::optional<PollOrder>;
    auto pollAnswered(const PollOrder &order,
                      const PollReply &reply,
                      Utils::Instant sentAt,
                      Utils::Instant now) -> PollEffects;
    /*!
        \brief Returns the records of leases that are not renewed because their endpoints are silent.

        From then on, the leases are not renewed before leaseRenewable() is called.
    */
    auto takeEndingLeases(Utils::Instant now) -> std::vector<Control::RecordLease>;
    /*!
        \brief Returns true if a record of takeEndingLeases() is still to be committed.

        It would replace the record that the endpoint answers again.
    */
    auto isEnding(const Control::RecordLease &lease) -> bool;
    /*! \brief Lets polls renew the lease again; that they do is durable now. */
    auto leaseRenewable(const Control::EndpointIncarnation &incarnation) -> void;
    /*! \brief Lets the endpoint forget task ends up to \a number, which are durable now. */
    auto endsRecorded(const Control::RecordEnds &record, std::int64_t number) -> void;

    /*! \brief Decides which orders to send now, and updates the runs accordingly. */
    auto schedule(const Control::State &state, Utils::Instant now, std::int64_t wallMs) -> Orders;
    /*!
        \brief Returns true if the start is still to be recorded.

        Removes a run that is not wanted any more, as its job has ended or its task is done.
    */
    auto confirmRecord(const StartOrder &order) -> bool;
    /*!
        \brief Returns the tasks that wait and that nothing runs any more, once for each start of
        them that \a state holds.
    */
    auto takeGone(const Control::State &state, Utils::Instant now) -> std::vector<Jobs::TaskId>;
    /*! \brief Returns true if the run is booked on the incarnation that the order names. */
    auto holds(const StartOrder &order) -> bool;
    /*! \brief Returns true if the task waits, and nothing runs it. */
    auto isOpen(const Jobs::TaskId &task) const -> bool;
    /*! \brief Like confirmRecord() for a recorded start, which counts as sent if that is true. */
    auto confirmStart(const StartOrder &order) -> bool;
    auto startAnswered(const StartOrder &order, const StartReply &reply, Utils::Instant now)
        -> void;
    auto stopAnswered(const StopOrder &order, OrderResult result, Utils::Instant now) -> void;
    auto paceAnswered(const PaceOrder &order, OrderResult result) -> void;

    /*!
        \brief Reopens the tasks of endpoints whose leases have expired.

        Returns the expired incarnations that had announced their shutdown, or that they drain and do not answer.
    */
    auto expireLeases(Utils::Instant now) -> std::vector<Control::EndpointIncarnation>;

    /*! \brief Returns and forgets the runs that were released, up to a limit, since the last call. */
    auto takeReleases() -> std::vector<Release>;
    /*!
        \brief Returns and forgets the runs, up to a limit, that polls since the last call have shown on
        another incarnation than their start was for.
    */
    auto takeMisdirectedRuns() -> std::vector<MisdirectedRun>;
    /*! \brief Returns how many starts got no reply and may still be carried out. */
    auto lateStarts() const -> std::size_t;
    /*!
        \brief Returns and forgets the tasks whose duration depends on their place, up to a limit, that
        were to start since the last call.
    */
    auto takePlacedTasks() -> std::vector<PlacedTask>;
    /*! \brief Returns true if a task of the job is known to have been started. */
    auto hasStarted(const std::string &job) const -> bool;
    /*! \brief Returns the tasks that could have started in the last pass, but had no room. */
    auto waitingTasks() const -> std::size_t { return m_waitingTasks; }
    /*! \brief Returns the long-running tasks that are not at work at \a now, with the reasons. */
    auto waitingLongRunningTasks(Utils::Instant now) -> std::vector<WaitingTask>;
    /*! \brief Returns true if the last pass kept the endpoint free for a long-running task. */
    auto isKeptFree(const std::string &endpoint) const -> bool;
    /*!
        \brief Returns true if the endpoint is closed, and could run a long-running task of its pool that no
        open endpoint could run in the last pass.
    */
    auto isToBeOpened(const std::string &endpoint) const -> bool;
    /*! \brief Returns the demand of each pool at the last call of updateDemand(). */
    auto demand() const -> const std::map<std::string, PoolDemand> & { return m_demand; }
    /*! \brief Returns for how many steps the last pass looked for room in their pool. */
    auto searches() const -> std::size_t { return m_searches; }
    /*! \brief Returns how much of the capacity of \a pool is in use at \a now. */
    auto useOf(std::string_view pool, Utils::Instant now) const -> PoolUse;
    /*! \brief Computes the demand of each pool. */
    auto updateDemand(std::int64_t wallMs) -> void;
    /*! \brief Returns the work that is not done, and the hosts for it, of each pool with endpoints. */
    auto backlog(const Control::State &state, Utils::Instant now, std::int64_t wallMs) -> Backlog;
    /*! \brief Returns how long a task of each step of a job is expected to take, in milliseconds. */
    auto expectedDurations(const Jobs::JobSpec &job) const -> std::vector<std::int64_t>;
    /*! \brief Returns what the accounts occupied at the last pass, with the tasks that it started. */
    auto accounts() const -> const Accounts::AccountUse & { return m_accounts; }
    /*! \brief Returns the tasks that the last pass kept from starting for quotas, by account. */
    auto quotaWaits() const -> const QuotaWaits & { return m_quotaWaits; }

private:
    /*! \brief The endpoints of one pool during one scheduling pass. */
    struct PoolPlacement
    {
        std::size_t number = 0; //!< Pools are counted in the order in which a pass looks at them.
        std::vector<EndpointEntry *> endpoints;
        std::vector<Scheduling::EndpointView> views;
        Utils::Instant now;
        Jobs::Resources mostFree; //!< Upper bound of the free resources of each open endpoint.
        //! The same, once short tasks have ended there.
        Jobs::Resources mostOnceShortTasksEnd;
        Jobs::Resources unclaimed; //!< Free in all open endpoints, without what waiting work needs.
        bool isFull = false;       //!< See noteWanted().
        // Of a full pool alone:
        Jobs::Resources capacity;
        std::vector<Jobs::Resources> useOfAccounts; //!< By placeOf() the account.
        std::vector<Jobs::Resources> tooLarge;      //!< Demands that no open endpoint has room for.
        //! Tasks of a step on each endpoint, with claims, by the first task of the step.
        std::map<Jobs::TaskId, std::vector<std::int64_t>> tasksOfSteps;
        //! Endpoints by rack; empty until a step needs it.
        std::map<std::string_view, std::vector<std::size_t>> racks;
        //! By rack and required label; a step adds those that it needs.
        std::map<std::pair<std::string_view, std::string_view>, Scheduling::RackOutlook> outlooks;
    };
    /*! \brief A step whose open tasks are to be placed. */
    struct StepPlaces
    {
        const Jobs::StepSpec *spec = nullptr;
        //! Running tasks of the step on each endpoint, empty if nothing depends on them.
        std::span<const std::int64_t> tasksOfStep;
        std::int64_t open = 0;
    };
    struct RackWait
    {
        std::string_view rack;
        std::int64_t waitMs = 0; //!< Expected time until all open tasks have places there.
        std::int64_t room = 0;   //!< Tasks that have places now.
    };
    enum class RoomAt { Now, OnceShortTasksEnd };
    using PoolPlacements = std::map<std::string, PoolPlacement>;
    using TaskVisitor = std::function<void(EndpointEntry &, Run &, PoolPlacement &)>;
    struct Candidate
    {
        Scheduling::JobRank rank;
        JobProgress *job;
        PoolPlacement *pool;
        std::int64_t places = 0; //!< For long-running tasks, see fewestPlaces().
    };

    auto nextToken(const std::string &id) -> std::int64_t;
    auto lastToken() const -> std::int64_t;
    auto isOfThisTerm(const OrderTarget &target) const -> bool;
    auto placementFor(const std::string &pool, Utils::Instant now) -> PoolPlacement;
    static auto waitsForMaintenance(const EndpointEntry &endpoint) -> bool;
    auto isUsable(const EndpointEntry &endpoint, Utils::Instant now) const -> bool;
    auto acceptsTasks(const EndpointEntry &endpoint, Utils::Instant now) const -> bool;
    auto updateRun(EndpointEntry &endpoint, const RunningTask &row, Utils::Instant now) -> void;
    auto adopt(EndpointEntry &endpoint, const RunningTask &row, Utils::Instant now) -> Run &;
    auto noteEarlierRun(EndpointEntry &endpoint, Run &run, std::int64_t earlier) -> void;
    auto removeRun(EndpointEntry &endpoint, const Jobs::TaskId &task) -> void;
    auto noteLateStart(const StartOrder &order, Utils::Instant now) -> void;
    auto findLateStart(const std::string &endpoint,
                       const Jobs::TaskId &task,
                       std::int64_t run) const -> const LateStart *;
    auto findUnfinished(const Jobs::TaskId &task) -> JobProgress *;
    auto processEnd(EndpointEntry &endpoint,
                    const EndedTask &end,
                    Utils::Instant now,
                    PollEffects &effects) -> void;
    auto learnDuration(const Run &run, Utils::Instant now) -> void;
    auto reconcile(EndpointEntry &endpoint, const PollReply &reply, Utils::Instant sentAt) -> void;
    auto timeUntilStopIsOver(const EndpointEntry &endpoint, Utils::Instant now) const
        -> Utils::Milliseconds;
    auto isNeverCarriedOut(Run &run, Utils::Instant now, Utils::Instant sentAt) const -> bool;
    auto releaseRuns(EndpointEntry &endpoint, ReleaseReason reason) -> void;
    auto releaseExpiredRuns(EndpointEntry &endpoint, Utils::Instant now) -> void;
    auto endOfRuns(const EndpointEntry &endpoint) const -> Utils::Instant;
    auto keepOutlivingRuns(EndpointEntry &endpoint) -> void;
    auto takeOutlivingRuns(EndpointEntry &endpoint) -> void;
    auto expireOutlivingRuns(Utils::Instant now) -> void;
    auto blockLateStarts(const EndpointEntry &endpoint) -> void;
    auto takeFound(const Control::State &state) -> std::vector<StartOrder>;
    auto tasksOfLateStarts() const -> std::set<Jobs::TaskId>;
    auto forgetLateOrders(Utils::Instant now) -> void;
    auto settleForgettingPoll(const PollOrder &order, PollResult result, Utils::Instant now)
        -> void;
    auto mayLoseEnds(const EndpointEntry &endpoint) const -> bool;
    auto reopen(const Jobs::TaskId &task) -> void;
    auto release(Release release) -> void;
    auto noteIfMisdirected(const EndpointEntry &endpoint, const Run &run) -> void;
    auto isBooked(const Jobs::TaskId &task) const -> bool;
    auto specOf(const Jobs::TaskId &task) const -> const Jobs::StepSpec *;
    auto syncJobs(const Control::State &state) -> void;
    auto inheritStarts(const Control::State &state, Utils::Instant now) -> void;
    auto inheritStart(const Control::State &state,
                      const Jobs::TaskId &task,
                      const Control::RecordedStart &start,
                      Utils::Instant now) -> bool;
    auto noteFormerWait(const Control::State &state,
                        const Jobs::TaskId &task,
                        const Control::RecordedStart &start) -> void;
    auto mayGetLateOrders(const EndpointEntry &endpoint, Utils::Instant now) const -> bool;
    auto longestFormerLease(const EndpointEntry &endpoint, Utils::Instant now) const
        -> Utils::Milliseconds;
    auto releaseInherited(const FormerStarts &starts, const std::string &id, ReleaseReason reason)
        -> void;
    using JobsById = std::map<std::string, JobProgress>;

    auto addJob(JobsById::iterator position, const Jobs::Job &job, const Jobs::QueueTerms &terms)
        -> void;
    auto removeJob(JobsById::iterator job) -> JobsById::iterator;
    auto endpointsOfPool(const std::string &pool) -> const std::vector<EndpointEntry *> &;
    auto stopUnwanted(Utils::Instant now, Orders &orders) -> void;
    auto stopOrder(const EndpointEntry &endpoint, const Run &run) const -> StopOrder;
    auto paceBackfill(Utils::Instant now, Orders &orders) -> void;
    auto startTasks(Utils::Instant now, std::int64_t wallMs, Orders &orders) -> void;
    auto rankOf(JobProgress &job, std::int64_t wallMs) const -> Scheduling::JobRank;
    static auto fewestPlaces(JobProgress &job, PoolPlacement &pool) -> std::int64_t;
    auto startJob(JobProgress &job, PoolPlacement &pool, std::int64_t wallMs, Orders &orders)
        -> void;
    static auto countTasksOfStep(const JobProgress &job,
                                 const Jobs::TaskId &first,
                                 const PoolPlacement &pool) -> std::vector<std::int64_t>;
    static auto tasksOfStep(const JobProgress &job, const Jobs::TaskId &task, PoolPlacement &pool)
        -> std::vector<std::int64_t> &;
    auto placementOf(PoolPlacements &pools, const std::string &pool, Utils::Instant now)
        -> PoolPlacement &;
    auto startStep(JobProgress &job, const Jobs::TaskId &first, PoolPlacement &pool, Orders &orders)
        -> void;
    auto dependsOnPlace(const Jobs::StepSpec &step) const -> bool;
    auto planPlaces(JobProgress &job, const Jobs::TaskId &first, PoolPlacement &pool) -> PlacePlan;
    static auto racksFor(const StepPlaces &step, PoolPlacement &pool)
        -> std::vector<std::string_view>;
    static auto
    roomOn(std::string_view rack, const StepPlaces &step, const PoolPlacement &pool, RoomAt when)
        -> std::int64_t;
    static auto bestFittingRack(std::span<const std::string_view> racks,
                                const StepPlaces &step,
                                const PoolPlacement &pool) -> std::optional<std::string_view>;
    static auto soonestRack(std::span<const std::string_view> racks,
                            const StepPlaces &step,
                            PoolPlacement &pool) -> std::optional<RackWait>;
    static auto outlookOf(std::string_view rack, const Jobs::StepSpec &step, PoolPlacement &pool)
        -> Scheduling::RackOutlook &;
    auto payingWaitMs(JobProgress &job,
                      const Jobs::TaskId &first,
                      std::int64_t nearInMs,
                      Utils::Instant now) const -> std::int64_t;
    auto timeUntilOthersEnd(const JobProgress &job,
                            const Jobs::TaskId &first,
                            Utils::Instant now) const -> std::int64_t;
    auto notePlace(Run &run, const EndpointEntry &endpoint, const JobProgress &job) -> void;
    auto nearDuration(const Run &run, Utils::Instant now) const -> std::optional<std::int64_t>;
    auto hasRoom(PoolPlacement &pool, const Jobs::Resources &demand) -> bool;
    auto keepFree(const Jobs::StepSpec &step,
                  std::vector<std::int64_t> &tasksOfStep,
                  PoolPlacement &pool) -> bool;
    auto noteToBeOpened(const Jobs::StepSpec &step,
                        const std::vector<std::int64_t> &tasksOfStep,
                        const PoolPlacement &pool) -> void;
    auto keepFreeForLost(PoolPlacements &pools, Utils::Instant now) -> void;
    auto lostTasks(Utils::Instant now) -> std::set<Jobs::TaskId>;
    auto claim(std::size_t endpoint,
               const Jobs::StepSpec &step,
               std::vector<std::int64_t> &tasksOfStep,
               PoolPlacement &pool) -> void;
    auto endEvacuation(EndpointEntry &endpoint) -> void;
    auto visitTasksToMove(PoolPlacements &pools, Utils::Instant now, const TaskVisitor &visit)
        -> void;
    auto reserveForStopped(PoolPlacements &pools, Utils::Instant now) -> void;
    auto evacuateEndpoints(PoolPlacements &pools, Utils::Instant now) -> void;
    auto moveAway(const EndpointEntry &endpoint, Run &run, PoolPlacement &pool) -> void;
    auto takeRoom(const Jobs::StepSpec &step,
                  std::vector<std::int64_t> &tasksOfStep,
                  PoolPlacement &pool) -> bool;
    auto claimPlacesElsewhere(const EndpointEntry &endpoint, PoolPlacement &pool) -> bool;
    auto keepFreeForGang(const JobProgress &job, const Jobs::StepSpec &step, PoolPlacement &pool)
        -> void;
    auto capacities() -> const std::vector<Jobs::Resources> &;
    auto addUnplaced(const JobProgress &job,
                     const Jobs::StepSpec &step,
                     std::int64_t count,
                     const PoolPlacement &pool) -> void;
    auto startGang(JobProgress &job, const Jobs::TaskId &first, PoolPlacement &pool, Orders &orders)
        -> void;
    auto book(EndpointEntry &endpoint,
              JobProgress &job,
              const Jobs::TaskId &task,
              std::int64_t number,
              Utils::Instant now) -> StartOrder;
    auto startLeaseOf(const Jobs::StepSpec &step, const EndpointEntry &endpoint) const
        -> Utils::Milliseconds;
    auto updateAvoided(PoolPlacement &pool) -> void;
    auto addWork(JobProgress &job, std::int64_t wallMs, PoolBacklog &pool) -> void;
    auto serves(const EndpointEntry &endpoint, Utils::Instant now) const -> bool;
    auto demandOf(JobProgress &job, std::int64_t wallMs) const -> JobDemand;
    auto unfinishedLongRunningTasks() -> std::vector<Jobs::TaskId>;
    auto explainPlacement(WaitingTask &waiting, Utils::Instant now) -> void;
    auto findEndpoint(const Control::EndpointIncarnation &incarnation) -> EndpointEntry *;
    auto findRun(const OrderTarget &target, const Jobs::TaskId &task, std::int64_t number) -> Run *;
    auto findStarted(const StartOrder &order) -> Run *;
    auto extendLeaseOfNextIncarnation(const Control::EndpointIncarnation &former,
                                      Utils::Instant now) -> void;
    auto leaseEndOfNext(const std::string &endpoint, Utils::Instant earliest) const
        -> Utils::Instant;
    auto dropStart(const StartOrder &order) -> void;
    auto resultOfAllCopies(const StartOrder &order, const StartReply &reply) const -> StartResult;
    auto countUnanswered(const OrderTarget &target, StartResult result) -> void;
    auto unavailableTasks(const Jobs::TaskId &task, std::string_view withoutEndpoint) const
        -> std::int64_t;
    auto mayMiss(const Jobs::TaskId &task, std::string_view withoutEndpoint) const -> bool;
    auto mayStopNow(const Run &run) const -> bool;
    auto nextNumber() -> std::int64_t;
    auto syncAccounts(const Control::State &state) -> void;
    auto countAccounts(const Control::State &state, Utils::Instant now, std::int64_t wallMs)
        -> void;
    auto countRuns(const Control::State &state) -> void;
    auto countInherited(const Control::State &state,
                        const FormerStarts &starts,
                        const Jobs::Resources &capacity) -> void;
    auto countLateStarts() -> void;
    auto noteFormerEnds(const Control::State &state, std::int64_t wallMs) -> void;
    auto countFormerEnds(Utils::Instant now) -> void;
    auto countUnsizedRuns(const Control::State &state) -> void;
    auto mayBeCarriedOut(const std::string &endpoint, const LateStart &late) const -> bool;
    auto noteBlocked(const StopOrder &order) -> void;
    static auto noteWanted(PoolPlacement &pool, const ReadyWork &work) -> void;
    auto countShares(PoolPlacement &pool) const -> void;
    auto shareOf(Accounts::AccountId account, const PoolPlacement &pool) const -> double;
    auto startInOrder(std::span<const Candidate> candidates, std::int64_t wallMs, Orders &orders)
        -> void;
    auto startByShares(std::span<const Candidate> candidates, std::int64_t wallMs, Orders &orders)
        -> void;
    auto startClass(std::span<const Candidate> candidates, std::int64_t wallMs, Orders &orders)
        -> void;
    auto mayStart(const JobProgress &job, const Jobs::StepSpec &step) const -> bool;
    auto noteQuotaWait(const JobProgress &job, std::size_t tasks) -> void;

    const LedgerTiming m_timing;
    std::int64_t m_term = 0;
    std::int64_t m_starts = 0;
    EndpointTable m_endpoints;
    std::map<std::string, std::int64_t> m_tokens; //!< Last fencing token, by the id of an endpoint.
    std::map<std::string, std::vector<LateStart>> m_lateStarts; //!< By the id of an endpoint.
    //! By the id of an endpoint.
    std::map<std::string, std::vector<ForgettingPoll>> m_forgettingPolls;
    std::vector<StopOrder> m_blockingStops; //!< Sent with the next orders.
    //! When incarnations have ended, by id, for as long as orders for them may be late. None if it was
    //! since the last call of expireLeases().
    std::map<std::string, std::optional<Utils::Instant>> m_ended;
    //! By the id of an endpoint, the end of the lease that its next incarnation may have taken from orders for the
    //! former one.
    std::map<std::string, Utils::Instant> m_nextLeases;
    std::map<std::string, OutlivingRuns>
        m_outliving; //!< By the id of an endpoint that is not known.
    //! Endpoints by pool; empty until it is computed again after a change of m_endpoints.
    std::map<std::string, std::vector<EndpointEntry *>> m_endpointsByPool;
    JobsById m_jobs;
    std::uint64_t m_jobsVersion = 0; //!< Version of the job table that m_jobs reflects.
    std::int64_t m_termsVersion =
        -1; //!< Version of the configuration that the jobs' terms reflect.
    Scheduling::DurationModel m_durations;
    bool m_stopsDue = true; //!< Runs may have to be stopped.
    Utils::Instant m_stopsCheckedAt;
    std::map<Jobs::TaskId, std::string> m_checkpoints;
    Utils::Instant m_pacesCheckedAt;
    std::unordered_set<std::string> m_startedJobs; //!< Jobs of m_jobs that have been started.
    std::vector<Release> m_releases;
    std::vector<MisdirectedRun> m_misdirectedRuns;
    //! Tasks whose run is gone since their start was recorded, until they start again.
    std::set<Jobs::TaskId> m_gone;
    std::set<Jobs::TaskId> m_takenGone; //!< Tasks that takeGone() has returned in this term.
    //! Tasks that an earlier leader had started, and that were released while that order may be late.
    std::set<Jobs::TaskId> m_formerStarts;
    //! Since when tasks were without a run, as far as earlier leaders have recorded it.
    std::map<Jobs::TaskId, Utils::Instant> m_formerWaits;
    std::vector<StartOrder> m_found; //!< Runs that polls found since the last pass.
    Utils::Instant m_beganAt;        //!< Beginning of the term.
    std::map<std::string, PoolDemand> m_demand;
    //! Endpoints that the last pass kept free for long-running tasks.
    std::set<std::string> m_keptFree;
    std::set<std::string> m_toBeOpened;              //!< See isToBeOpened().
    std::map<std::string, UnplacedTasks> m_unplaced; //!< By pool, at the last pass.
    //! Capacities of all endpoints, each once; empty until a pass needs them.
    std::vector<Jobs::Resources> m_capacities;
    PlaceWaits m_places;
    std::vector<PlacedTask> m_placedTasks;
    std::int64_t m_passWallMs = 0; //!< Time of the last pass since 1970.
    std::size_t m_waitingTasks = 0;
    std::size_t m_searches = 0;
    Accounts::AccountUse m_accounts;     //!< Counted anew by each pass.
    std::int64_t m_accountsVersion = -1; //!< Version of the configuration that m_accounts reflects.
    QuotaWaits m_quotaWaits;
    //! Runs of ended jobs that polls found, by endpoint: what they occupy is not known any more.
    std::vector<std::pair<std::string, Jobs::TaskId>> m_unsizedRuns;
    //! Accounts whose jobs ended under earlier leaders, which may not have stopped their runs. None before the
    //! first pass of the term.
    std::optional<std::set<Accounts::AccountId>> m_formerEnds;
};

} // namespace Execution
