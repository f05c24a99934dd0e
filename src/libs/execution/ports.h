#pragma once

#include "orders.h"

#include "asyncnet/task.h"
#include "utils/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Execution {

/*! \brief Sends orders to endpoints. An order without a reply may have been carried out. */
class EndpointLink
{
public:
    virtual ~EndpointLink() = default;
    virtual auto start(StartOrder order) -> AsyncNet::Task<StartReply> = 0;
    virtual auto stop(StopOrder order) -> AsyncNet::Task<OrderResult> = 0;
    virtual auto pace(PaceOrder order) -> AsyncNet::Task<OrderResult> = 0;
    virtual auto poll(PollOrder order) -> AsyncNet::Task<PollReply> = 0;
};

/*! \brief Proves that this process leads. */
class Leadership
{
public:
    virtual ~Leadership() = default;
    /*!
        \brief Returns the latest time, on the local clock, that is known to precede each term after \a term.

        Returns std::nullopt if this process does not lead \a term, or if no majority has confirmed yet that it
        does. A right that counts from this time never outlives what the next leader grants for it,
        however long this process is frozen before it uses the result.
    */
    virtual auto provenAt(std::int64_t term) const -> std::optional<Utils::Instant> = 0;
};

/*! \brief Result of a commit of commands. */
enum class CommitResult {
    Committed,    //!< The commands are committed and applied in this process.
    NotCommitted, //!< The commands are not committed and never will be.
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

/*! \brief A host as listed by the provider of hosts. */
struct HostInfo
{
    std::string name;
    std::string pool;
    HostState state = HostState::Up;
    std::string endpoint; //!< Id of the endpoint that the host runs; empty if there is none.
};

struct HostList
{
    //! False if the provider did not return the whole list.
    bool complete = false;
    bool hasUnreadable = false; //!< True if an entry could not be read, and is left out.
    std::vector<HostInfo> hosts;
};

enum class HostOrderResult {
    Accepted, //!< The order was accepted now or was already carried out before.
    Fenced,   //!< A higher fencing token was used for this host.
    Busy,
    Refused, //!< There is no such host, pool or wave.
    Unknown,
};

/*! \brief Lists, maintains and moves hosts through the provider of hosts. */
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
