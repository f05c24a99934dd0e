#pragma once

#include "control/controlcommands.h"
#include "jobs/jobtypes.h"

#include <cstdint>
#include <string>
#include <vector>

/*! Running tasks on endpoints: leases, orders and what becomes of them. */
namespace Execution {

/*! \brief Which life of which endpoint an order is for, and who sends it. */
struct OrderTarget
{
    Control::EndpointLife life;
    std::string address;
    std::int64_t fencingToken = 0; //!< The leader's term.
    std::string zone;
};

struct StartOrder
{
    OrderTarget target;
    Jobs::TaskId task;
    std::int64_t run = 0; //!< Rises with each start of the task.
    std::string payload;
    std::int64_t leaseEndMs = 0; //!< On the endpoint's clock.
    std::string checkpoint;      //!< Empty: from the beginning.
};

enum class StartResult {
    Started,
    Fenced,   //!< The endpoint has seen a higher fencing token.
    Outdated, //!< A run of this or a higher number has ended there.
    TooLate,  //!< The lease in the order had run out.
    NoRoom,
    Invalid,   //!< The endpoint does not understand the order.
    Unhealthy, //!< The endpoint refused and did nothing.
    OtherLife, //!< Another life answers at this address.
    Unknown,   //!< No answer: the task may run now or start later.
};

struct StartReply
{
    StartResult result = StartResult::Unknown;
    std::int64_t clockMs = 0; //!< The endpoint's clock; 0 if it did not tell.
};

/*! \brief Why a run is stopped. */
enum class StopReason {
    NotWanted,       //!< Its job has ended or is not known, or the task is done.
    Draining,        //!< Its endpoint is about to leave.
    Maintenance,     //!< Its host is due for maintenance.
    SecondRun,       //!< The task runs elsewhere too.
    StartUnanswered, //!< Whether it runs is not known.
};

/*! \brief Returns true if such a stop waits until the step of a long-running task can miss it. */
constexpr auto canWait(StopReason reason) -> bool
{
    return reason == StopReason::Maintenance || reason == StopReason::StartUnanswered;
}

struct StopOrder
{
    OrderTarget target;
    Jobs::TaskId task;
    std::int64_t run = 0;
    StopReason reason = StopReason::NotWanted;
    std::int64_t othersAway = 0; //!< Tasks of a long-running step that were away; else 0.
    std::int64_t mayMiss = 0;    //!< Tasks that this step may miss; 0: no limit.
};

/*! \brief Prolongs the lease of all runs, and asks what runs and what has ended. */
struct LookOrder
{
    OrderTarget target;
    std::int64_t leaseEndMs = 0; //!< On the endpoint's clock; 0 prolongs nothing.
    std::int64_t notedEnds = 0;  //!< Ends up to this number may be forgotten.
    std::int64_t waitMs = 0;     //!< How long the endpoint may wait for an end.
};

/*! \brief How a run ended. */
enum class EndKind {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    PartnerEnded, //!< Another member of the gang ended.
    NoPartners,   //!< The gang did not become complete in time.
};

struct RunningTask
{
    Jobs::TaskId task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::int64_t percent = 0; //!< 100 when at work.
    std::int64_t load = 0; //!< Latency tail in ms of a task with a target; else millicores in use.
};

struct EndedTask
{
    std::int64_t number = 0; //!< Of the end in this life of the endpoint.
    Jobs::TaskId task;
    std::int64_t run = 0;
    EndKind kind = EndKind::Stopped;
    std::string checkpoint;
};

enum class LookResult {
    Seen,
    Fenced,    //!< The endpoint has seen a higher fencing token.
    OtherLife, //!< Another life answers at this address.
    Refused,   //!< Nothing listens at this address, or something on the way refuses.
    Unknown,
};

struct LookReply
{
    LookResult result = LookResult::Unknown;
    std::int64_t bornMs = 0;  //!< Of the life that answered; 0 if it did not tell.
    std::int64_t clockMs = 0; //!< The endpoint's clock.
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

enum class OrderResult { Accepted, Fenced, OtherLife, Refused, Unknown };

struct PaceOrder
{
    OrderTarget target;
    Jobs::TaskId task;
    std::int64_t run = 0;
    std::int64_t percent = 100;
};

} // namespace Execution
