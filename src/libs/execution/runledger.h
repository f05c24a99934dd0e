#pragma once

#include "endpointtable.h"
#include "jobprogress.h"
#include "orders.h"

#include "control/controlstate.h"
#include "scheduling/durationmodel.h"
#include "scheduling/joborder.h"
#include "scheduling/placement.h"
#include "utils/clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Execution {

/*! \brief Times that the ledger works with. */
struct LedgerTiming
{
    Utils::Milliseconds maximumLease{6000};  //!< Longer leases are cut by endpoints.
    Utils::Milliseconds lease{5000};         //!< Asked for with each order.
    Utils::Milliseconds longestStop{400};    //!< From a stop's answer to the end of the run.
    Utils::Milliseconds lookWait{1500};      //!< How long a look waits for an end.
    Utils::Milliseconds lookFreshness{2800}; //!< An endpoint not seen for longer gets no tasks.
};

/*! \brief Returns the longest real time in which \a onEndpoint passes on an endpoint's clock. */
auto longestReal(Utils::Milliseconds onEndpoint) -> Utils::Milliseconds;

/*! \brief The orders that the ledger wants sent. */
struct Orders
{
    std::vector<StartOrder> starts;
    std::vector<StopOrder> stops;
    std::vector<PaceOrder> paces;
};

/*! \brief An end that has to be logged before the endpoint may forget it. */
struct LookEffects
{
    Control::RecordEnds record;
    std::int64_t lastEnd = 0; //!< Number of the last end in the reply; 0 if there was none.
    bool lifeOver = false;    //!< The endpoint's life has ended.
    bool fenced = false;      //!< A leader of a higher term has given orders there.
};

/*! \brief The work of one pool. */
struct PoolDemand
{
    double batchMillicores = 0;         //!< To do all known work with an end by its objectives.
    std::int64_t lastingMillicores = 0; //!< Of long-running tasks, running or waiting.
    std::int64_t minimumHosts = 0;      //!< For long-running tasks that must not share a host.
};

/*!
    \brief What the leader knows of runs on endpoints. Pure: it sends nothing and reads no clock.

    Nothing here is durable, but where a task starts is logged before its order is sent. A new leader
    looks at every endpoint with its own fencing token; a task that was ordered to start somewhere is
    started again only when that endpoint has answered, its life has ended or its lease has run out.
*/
class RunLedger
{
public:
    explicit RunLedger(LedgerTiming timing);

    /*! \brief Starts a term: forgets all runs and takes over the endpoints in \a state. */
    auto begin(std::int64_t term, const Control::State &state, Utils::Instant now) -> void;

    /*! \brief Notes an announced endpoint that is durably known. */
    auto addEndpoint(const Control::EndpointRecord &record, Utils::Instant now) -> void;
    /*! \brief Gives an endpoint no new tasks, and moves its long-running tasks elsewhere. */
    auto drain(const std::string &endpoint) -> void;
    /*! \brief Notes that an endpoint has said that it leaves. */
    auto leave(const Control::EndpointLife &life, Utils::Instant now) -> void;
    /*! \brief Closes an endpoint for new tasks, or opens it again. */
    auto setClosed(const std::string &endpoint, bool closed) -> void;
    /*!
        \brief Stops long-running tasks on a closed endpoint, as far as their steps allow it.

        They start again elsewhere; a step never misses more tasks at once than it may.
    */
    auto evacuate(const std::string &endpoint) -> void;
    /*! \brief Notes that an order that ends everything on the endpoint is under way, or is not. */
    auto setEndOrdered(const std::string &endpoint, bool ordered) -> void;
    /*! \brief Returns true if no step would miss too many tasks if the endpoint ended now. */
    auto canLose(const std::string &endpoint) const -> bool;
    /*! \brief Notes that everything on the endpoint has ended, because its life is over. */
    auto endLife(const Control::EndpointLife &life) -> void;

    auto endpoints() const -> const EndpointTable & { return m_endpoints; }
    auto target(const EndpointEntry &endpoint) const -> OrderTarget;

    auto lookOrder(const std::string &endpoint, Utils::Instant now) -> std::optional<LookOrder>;
    auto lookAnswered(const LookOrder &order,
                      const LookReply &reply,
                      Utils::Instant sentAt,
                      Utils::Instant now) -> LookEffects;
    /*! \brief Lets the endpoint forget ends up to \a number, which are durable now. */
    auto endsRecorded(const Control::RecordEnds &record, std::int64_t number) -> void;

    /*! \brief Decides on starts and stops, and books them. */
    auto schedule(const Control::State &state, Utils::Instant now, std::int64_t wallMs) -> Orders;
    /*! \brief Returns false if the order is not to be sent any more; its task is then open again. */
    auto confirmStart(const StartOrder &order) -> bool;
    auto startAnswered(const StartOrder &order, const StartReply &reply, Utils::Instant now)
        -> void;
    auto stopAnswered(const StopOrder &order, OrderResult result, Utils::Instant now) -> void;
    auto paceAnswered(const PaceOrder &order, OrderResult result) -> void;

    /*! \brief Frees the tasks of endpoints whose leases have run out; returns the lives that are over. */
    auto expireLeases(Utils::Instant now) -> std::vector<Control::EndpointLife>;

    /*! \brief Returns true if a task of the job has been started, as far as is known here. */
    auto hasStarted(const std::string &job) const -> bool;
    /*! \brief Returns the work of each pool, as of the last update. */
    auto demand() const -> const std::map<std::string, PoolDemand> & { return m_demand; }
    /*! \brief Adds up the work of each pool. */
    auto updateDemand(std::int64_t wallMs) -> void;

private:
    /*! \brief The endpoints of one pool during one scheduling pass. */
    struct PoolPlacement
    {
        std::vector<EndpointEntry *> endpoints;
        std::vector<Scheduling::EndpointView> views;
        Utils::Instant now;
        std::vector<Jobs::Resources> tooLarge; //!< What no open endpoint has room for.
    };
    struct Candidate
    {
        Scheduling::JobRank rank;
        JobProgress *job;
    };

    auto placementFor(const std::string &pool, Utils::Instant now) -> PoolPlacement;
    auto adopt(EndpointEntry &endpoint, const RunningTask &row, Utils::Instant now) -> void;
    auto
    takeEnd(EndpointEntry &endpoint, const EndedTask &end, Utils::Instant now, LookEffects &effects)
        -> void;
    auto learnDuration(const Run &run, Utils::Instant now) -> void;
    auto reconcile(EndpointEntry &endpoint, const LookReply &reply, Utils::Instant sentAt) -> void;
    auto releaseRuns(EndpointEntry &endpoint) -> void;
    auto reopen(const Jobs::TaskId &task) -> void;
    auto isBooked(const Jobs::TaskId &task) const -> bool;
    auto specOf(const Jobs::TaskId &task) const -> const Jobs::StepSpec *;
    auto syncJobs(const Control::State &state) -> void;
    auto inheritStarts(const Control::State &state) -> void;
    auto addJob(const Jobs::Job &job) -> void;
    auto stopUnwanted(Utils::Instant now, Orders &orders) -> void;
    auto stopOrder(const EndpointEntry &endpoint, const Run &run) const -> StopOrder;
    auto paceFilling(Orders &orders) -> void;
    auto startTasks(Utils::Instant now, std::int64_t wallMs, Orders &orders) -> void;
    auto rankOf(JobProgress &job, std::int64_t wallMs) const -> Scheduling::JobRank;
    auto startJob(JobProgress &job, PoolPlacement &pool, std::int64_t wallMs, Orders &orders)
        -> void;
    auto startStep(JobProgress &job, const Jobs::TaskId &first, PoolPlacement &pool, Orders &orders)
        -> void;
    auto startGang(JobProgress &job, const Jobs::TaskId &first, PoolPlacement &pool, Orders &orders)
        -> void;
    auto book(EndpointEntry &endpoint,
              JobProgress &job,
              const Jobs::TaskId &task,
              std::int64_t number,
              Utils::Instant now) -> StartOrder;
    auto updateAvoided(PoolPlacement &pool) -> void;
    auto noteDemand(JobProgress &job, std::int64_t wallMs) -> void;
    auto findRun(const OrderTarget &target, const Jobs::TaskId &task, std::int64_t number) -> Run *;
    auto tasksAway(const Jobs::TaskId &task, std::string_view withoutEndpoint) const
        -> std::int64_t;
    auto mayMiss(const Jobs::TaskId &task, std::string_view withoutEndpoint) const -> bool;
    auto mayStopNow(const Run &run) const -> bool;
    auto nextNumber() -> std::int64_t;

    const LedgerTiming m_timing;
    std::int64_t m_term = 0;
    std::int64_t m_starts = 0;
    EndpointTable m_endpoints;
    std::map<std::string, JobProgress> m_jobs;
    std::uint64_t m_jobsVersion = 0;                       //!< Of the table that m_jobs follows.
    std::map<std::string, Scheduling::QueueTerms> m_terms; //!< By queue.
    std::int64_t m_termsVersion = -1;                      //!< Of the configuration they are from.
    Scheduling::DurationModel m_durations;
    bool m_stopsDue = true; //!< Something may have to be stopped.
    Utils::Instant m_stopsCheckedAt;
    std::map<Jobs::TaskId, std::string> m_checkpoints;
    std::set<std::string> m_startedJobs;
    std::map<std::string, PoolDemand> m_demand;
};

} // namespace Execution
