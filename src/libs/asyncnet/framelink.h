#pragma once

#include "task.h"

#include "utils/bytebudget.h"
#include "utils/error.h"

#include "control_types.h"

#include <functional>
#include <memory>
#include <string>

namespace AsyncNet {

/*! \brief Handles one request of another process of the system and returns the reply. */
using FrameHandler = std::function<Task<Wire::ControlReply>(Wire::ControlRequest)>;

/*! \brief Limits of a FrameServer. */
struct FrameServerLimits
{
    int connections = 512;
    //! What the frames and the unsent replies of all connections may hold.
    std::shared_ptr<Utils::ByteBudget> budget;
};

/*!
    \brief Limits the items that a list in a message may claim to hold.

    A claim takes no more than a few bytes, but memory for each item is taken before they are read.
*/
inline constexpr int maximumListItems = 65'536;

/*!
    \brief Serves Thrift requests, several at once on each connection, on one event loop.

    A connection that has many requests in progress or reads no replies is not read from meanwhile;
    one that stalls within a frame or a reply is closed, and so is one whose messages don't fit into
    the budget. If there are too many connections, the one that has sent nothing for longest is
    closed. So a process that doesn't keep to the protocol takes neither memory nor files without end.
*/
class FrameServer
{
public:
    FrameServer(asio::io_context &loop, FrameHandler handler);
    ~FrameServer();
    FrameServer(const FrameServer &) = delete;
    auto operator=(const FrameServer &) -> FrameServer & = delete;

    auto start(const std::string &address) -> Utils::Result<void>;
    auto stop() -> void;
    /*! \brief Sets limits. Must be called before start(). */
    auto setLimits(FrameServerLimits limits) -> void;
    auto port() const -> int;

private:
    class Private;
    std::shared_ptr<Private> m_d;
};

/*!
    \brief A connection to the FrameServer of another process, on one event loop.

    A call fails with Unavailable if the request was certainly not sent, else with OutcomeUnknown.
    If the connection fails, it is closed and every call in progress fails. A call that times out
    leaves the connection open.
*/
class FrameClient
{
public:
    FrameClient(asio::io_context &loop, std::string address);
    ~FrameClient();
    FrameClient(const FrameClient &) = delete;
    auto operator=(const FrameClient &) -> FrameClient & = delete;

    auto address() const -> const std::string &;
    auto connect(Utils::Milliseconds timeout) -> Task<Utils::Result<void>>;
    auto isOpen() const -> bool;
    auto call(Wire::ControlRequest request, Utils::Milliseconds timeout)
        -> Task<Utils::Result<Wire::ControlReply>>;
    auto close() -> void;

private:
    class Private;
    std::shared_ptr<Private> m_d;
};

} // namespace AsyncNet
