#pragma once

#include "control/controlcommands.h"
#include "jobs/jobtypes.h"
#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/*! Running tasks on endpoints: leases, orders and their results. */
namespace Execution {

/*!
    \brief Fencing tokens that the leader of one term has for the incarnations under one endpoint id.

    Terms are multiples of this number, so that the tokens of a term are below the next term.
*/
inline constexpr std::int64_t tokensPerTerm = 100'000;

/*! \brief The endpoint incarnation that an order is for, and the fencing token that it carries. */
struct OrderTarget
{
    Control::EndpointIncarnation incarnation;
    std::string address;
    //! The leader's term and, added to it, the number of incarnations that had this id before in this term.
    std::int64_t fencingToken = 0;
    std::string zone;
};

struct StartOrder
{
    OrderTarget target;
    Jobs::TaskId task;
    std::int64_t run = 0; //!< Run number; increases with each start of the task.
    std::string payload;
    std::int64_t leaseEndMs = 0; //!< End of the lease on the endpoint's clock.
    std::string checkpoint;      //!< Checkpoint to resume from; empty to start from the beginning.
};

enum class StartResult {
    Started,
    Fenced,   //!< The endpoint has seen a higher fencing token.
    Outdated, //!< A run with this or a higher number has ended there.
    TooLate,  //!< The lease in the order had expired.
    NoRoom,
    Invalid,          //!< The endpoint cannot interpret the order.
    Unhealthy,        //!< The endpoint has refused the order and done nothing.
    OtherIncarnation, //!< Another incarnation replies at this address.
    Unknown,          //!< There was no reply: the task may be running or may still start.
};

struct StartReply
{
    StartResult result = StartResult::Unknown;
    std::int64_t clockMs = 0; //!< Time on the endpoint's clock; 0 if it is not in the reply.
    //! The reply is that to a second copy of the order; the first one may still be carried out.
    bool repeated = false;
};

/*! \brief Why a run is stopped. */
enum class StopReason {
    NotWanted,       //!< The job has ended or is not known, or the task is done.
    Draining,        //!< The endpoint is draining.
    Maintenance,     //!< The host is due for maintenance.
    HostMove,        //!< The host is to move to another pool.
    SecondRun,       //!< The task already runs elsewhere.
    StartUnanswered, //!< The start order got no reply, so the task may or may not run.
};

/*! \brief Returns true if the stop may be delayed until the step can do without the task. */
constexpr auto canWait(StopReason reason) -> bool
{
    return reason == StopReason::Maintenance || reason == StopReason::HostMove
           || reason == StopReason::StartUnanswered;
}

struct StopOrder
{
    OrderTarget target;
    Jobs::TaskId task;
    std::int64_t run = 0;
    StopReason reason = StopReason::NotWanted;
    //! Other tasks of a long-running step that were unavailable; otherwise 0.
    std::int64_t othersUnavailable = 0;
    //! Tasks of the step that may be unavailable at once; 0 means no limit.
    std::int64_t mayMiss = 0;
};

/*! \brief The evidence for which a run counts as gone, so that its task may start again. */
enum class ReleaseReason {
    Refused,         //!< The start order was refused.
    NotListed,       //!< A poll after the start was confirmed does not list the run.
    Stopped,         //!< A stop was accepted, and a later poll does not list the run.
    LeaseOver,       //!< The order got no reply, and its lease is over on the endpoint's clock.
    LeaseExpired,    //!< The lease of the endpoint is over on the leader's clock.
    IncarnationOver, //!< The endpoint's incarnation has ended.
    NotInherited,    //!< A poll does not list what an earlier leader may have started.
};

/*! \brief A run that counts as gone although the endpoint has not reported its end. */
struct Release
{
    Jobs::TaskId task;
    std::int64_t run = 0; //!< 0 for a task that an earlier leader may have started.
    std::string endpoint;
    ReleaseReason reason = ReleaseReason::Refused;
    //! Time at which the wait for a reply to its start ended; none if there was a reply, or if it is not known.
    std::optional<Utils::Instant> unansweredAt;
};

/*! \brief A run that another incarnation of the endpoint has begun than the one that its start was for. */
struct MisdirectedRun
{
    Jobs::TaskId task;
    std::int64_t run = 0;
    std::string endpoint;
    std::int64_t orderedForMs = 0; //!< Birth of the incarnation that the start was for.
    std::int64_t bornMs = 0;       //!< Birth of the incarnation that has begun the run.
};

/*! \brief A status poll: renews the lease of all runs, and asks for running and ended tasks. */
struct PollOrder
{
    OrderTarget target;
    //! New end of the lease on the endpoint's clock; 0 renews nothing.
    std::int64_t leaseEndMs = 0;
    std::int64_t recordedEnds = 0; //!< The endpoint may forget task ends up to this number.
    //! Maximum time for which the endpoint may delay its reply until a task ends.
    std::int64_t waitMs = 0;
};

/*! \brief How a run ended. */
enum class EndKind {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    PartnerEnded, //!< Another member of the gang has ended.
    NoPartners,   //!< The gang was not complete in time.
};

struct RunningTask
{
    Jobs::TaskId task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::int64_t percent = 0; //!< Readiness of the task; 100 once it is fully working.
    //! Tail latency in ms if the task has a latency target, otherwise millicores in use.
    std::int64_t load = 0;
};

struct EndedTask
{
    //! Number of the task end within this incarnation of the endpoint.
    std::int64_t number = 0;
    Jobs::TaskId task;
    std::int64_t run = 0;
    EndKind kind = EndKind::Stopped;
    std::string checkpoint;
};

enum class PollResult {
    Seen,             //!< The reply is valid.
    Fenced,           //!< The endpoint has seen a higher fencing token.
    OtherIncarnation, //!< Another incarnation replies at this address.
    Refused,          //!< Nothing listens at the address, or a node on the way refuses.
    Unknown,
};

struct PollReply
{
    PollResult result = PollResult::Unknown;
    //! Start time of the incarnation that replied; 0 if it is not in the reply.
    std::int64_t bornMs = 0;
    std::int64_t clockMs = 0; //!< Time on the endpoint's clock.
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
    //! The lists may lack entries, so a task that they do not hold may run or have ended.
    bool truncated = false;
};

enum class OrderResult { Accepted, Fenced, OtherIncarnation, Refused, Unknown };

/*! \brief Limits the speed of a backfill task to \c percent of its full speed. */
struct PaceOrder
{
    OrderTarget target;
    Jobs::TaskId task;
    std::int64_t run = 0;
    std::int64_t percent = 100;
};

} // namespace Execution
