#pragma once

#include "task.h"

#include "utils/error.h"

#include "control_types.h"

#include <functional>
#include <memory>
#include <string>

namespace AsyncNet {

/*! \brief Handles one request of another process of the system and returns the reply. */
using FrameHandler = std::function<Task<Wire::ControlReply>(Wire::ControlRequest)>;

/*! \brief Serves Thrift requests, several at once on each connection, on one event loop. */
class FrameServer
{
public:
    FrameServer(asio::io_context &loop, FrameHandler handler);
    ~FrameServer();
    FrameServer(const FrameServer &) = delete;
    auto operator=(const FrameServer &) -> FrameServer & = delete;

    auto start(const std::string &address) -> Utils::Result<void>;
    auto stop() -> void;
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
