#pragma once

#include "orders.h"

#include "asyncnet/task.h"

#include <string>
#include <vector>

namespace Execution {

/*! \brief Sends orders to endpoints. A call without an answer may have been carried out. */
class EndpointLink
{
public:
    virtual ~EndpointLink() = default;
    virtual auto start(StartOrder order) -> AsyncNet::Task<StartReply> = 0;
    virtual auto stop(StopOrder order) -> AsyncNet::Task<OrderResult> = 0;
    virtual auto pace(PaceOrder order) -> AsyncNet::Task<OrderResult> = 0;
    virtual auto look(LookOrder order) -> AsyncNet::Task<LookReply> = 0;
};

/*! \brief What became of submitted commands. */
enum class CommitResult {
    Committed,    //!< And applied here.
    NotCommitted, //!< Certainly not, now or later.
    Unknown,
};

/*! \brief Writes to the replicated log. */
class CommandLog
{
public:
    virtual ~CommandLog() = default;
    virtual auto commit(std::vector<Control::Command> commands) -> AsyncNet::Task<CommitResult> = 0;
};

enum class HostState { Up, Moving, Maintenance, Down };

/*! \brief A host as the provider of hosts lists it. */
struct HostInfo
{
    std::string name;
    std::string pool;
    HostState state = HostState::Up;
    std::string endpoint; //!< Id of the endpoint that it runs; empty if there is none.
};

struct HostList
{
    bool complete = false; //!< False if the provider did not answer in full.
    std::vector<HostInfo> hosts;
};

enum class HostOrderResult {
    Accepted, //!< Also if it was done before.
    Fenced,   //!< A higher token was used for this host.
    Busy,
    Refused, //!< There is no such host, pool or wave.
    Unknown,
};

/*! \brief The provider of hosts. */
class HostProvider
{
public:
    virtual ~HostProvider() = default;
    virtual auto list() -> AsyncNet::Task<HostList> = 0;
    virtual auto maintain(std::string host, std::int64_t wave, std::int64_t fencingToken)
        -> AsyncNet::Task<HostOrderResult> = 0;
    virtual auto move(std::string host, std::string pool, std::int64_t fencingToken)
        -> AsyncNet::Task<HostOrderResult> = 0;
};

} // namespace Execution
