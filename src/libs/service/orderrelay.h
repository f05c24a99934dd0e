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
    \brief Sends orders to endpoints on behalf of a leader in another control process.

    Replies are stored until the leader collects them in batches. Must be used from one event loop.
*/
class OrderRelay
{
public:
    OrderRelay(AsyncNet::asio::io_context &loop,
               Execution::EndpointLink &endpoints,
               const Utils::Clock &clock);

    /*! \brief Starts sending the orders in \a request; collect() returns their replies later. */
    auto carryOut(const Wire::ControlRequest &request) -> void;
    /*! \brief Returns the stored replies; if none is stored, waits at most 250 ms for one. */
    auto collect(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>;
    /*! \brief Makes collect() ask leaders to send no more orders before this process exits. */
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
    auto execute(const Wire::EndpointOrder &order) -> AsyncNet::Task<Wire::EndpointAnswer>;

    AsyncNet::asio::io_context &m_loop;
    Execution::EndpointLink &m_endpoints;
    const Utils::Clock &m_clock;
    std::map<std::string, std::shared_ptr<Session>> m_sessions;
    bool m_leaving = false;
};

} // namespace Service
