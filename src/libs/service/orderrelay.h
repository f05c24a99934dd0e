#pragma once

#include "execution/ports.h"
#include "utils/clock.h"

#include "control_types.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Service {

/*!
    \brief Carries out the orders of a leader that another control process has passed on.

    Answers wait until the leader collects them, several at a time. Lives on one event loop.
*/
class OrderRelay
{
public:
    OrderRelay(AsyncNet::asio::io_context &loop,
               Execution::EndpointLink &endpoints,
               const Utils::Clock &clock);

    /*! \brief Begins with the request's orders; their answers are collected later. */
    auto carryOut(const Wire::ControlRequest &request) -> void;
    /*! \brief Returns the answers that are there, or soon will be. */
    auto collect(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>;
    /*! \brief Asks leaders to pass no more orders on, since this process is about to end. */
    auto leave() -> void { m_leaving = true; }

private:
    struct Session
    {
        explicit Session(AsyncNet::asio::io_context &loop)
            : answered(loop)
        {}
        std::vector<Wire::EndpointAnswer> answers;
        AsyncNet::Signal answered;
        Utils::Instant usedAt;
    };

    auto sessionFor(const std::string &id) -> std::shared_ptr<Session>;
    auto carryOutOne(std::shared_ptr<Session> session, Wire::EndpointOrder order)
        -> AsyncNet::Task<void>;
    auto answerTo(const Wire::EndpointOrder &order) -> AsyncNet::Task<Wire::EndpointAnswer>;

    AsyncNet::asio::io_context &m_loop;
    Execution::EndpointLink &m_endpoints;
    const Utils::Clock &m_clock;
    std::map<std::string, std::shared_ptr<Session>> m_sessions;
    bool m_leaving = false;
};

} // namespace Service
