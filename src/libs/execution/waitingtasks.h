#pragma once

#include "jobs/jobtypes.h"
#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Execution {

/*! \brief Why a long-running task is not at work. */
enum class WaitReason {
    Starting,        //!< Its start has been decided and is not answered yet.
    StartUnanswered, //!< Its start got no reply, and nothing has settled the run yet.
    EarlierRun,      //!< An earlier run may not have ended, or its end is being recorded.
    NoOpenEndpoint,  //!< No endpoint of the pool accepts tasks.
    NoRoom,          //!< No open endpoint has room for it.
    HostLimit,       //!< Endpoints with room run as many tasks of its step as one may.
    Label,           //!< Endpoints with room lack the label that its step requires.
    AccountQuota,    //!< Its account is at its quota.
    EndpointSilent,  //!< It may be at work, but its endpoint did not answer the last poll.
    NotListed,       //!< It counts as at work, but the last complete list did not hold it.
    NextPass,        //!< An endpoint can run it, and the next scheduling pass starts it.
};

/*! \brief A long-running task that is not at work, and what it waits for. */
struct WaitingTask
{
    Jobs::TaskId task;
    std::string pool;
    WaitReason reason = WaitReason::NextPass;
    std::string endpoint; //!< Endpoint of the run that it waits for; empty if there is none.
    Jobs::Resources demand;
    //! The largest free amount of each resource among the open endpoints of the pool.
    Jobs::Resources mostFree;
    std::int64_t openEndpoints = 0; //!< Endpoints of the pool that accept tasks.
    //! Time from which on no leader has known the task to be at work, as far as the log tells.
    std::optional<Utils::Instant> since;
    //! Time by which the run that it waits for has ended, if there is one.
    std::optional<Utils::Instant> heldUntil;
};

/*! \brief Returns the reason as it appears in the log. */
auto nameOf(WaitReason reason) -> std::string_view;

} // namespace Execution
