#include "orderrelay.h"

#include "orderconversion.h"

namespace Service {
namespace {

// Must be shorter than the time after which the leader treats a silent relay as lost.
constexpr Utils::Milliseconds maximumCollectWait{250};
// Replies that arrive within this time after the first one are sent in the same message.
constexpr Utils::Milliseconds batchDelay{8};
// Time after which unused sessions, such as those of earlier terms, are removed.
constexpr Utils::Milliseconds sessionRetention{10'000};

} // namespace

OrderRelay::OrderRelay(AsyncNet::asio::io_context &loop,
                       Execution::EndpointLink &endpoints,
                       const Utils::Clock &clock)
    : m_loop(loop)
    , m_endpoints(endpoints)
    , m_clock(clock)
{}

auto OrderRelay::sessionFor(const std::string &id) -> std::shared_ptr<Session>
{
    const auto now = m_clock.now();
    auto &session = m_sessions[id];
    if (!session)
        session = std::make_shared<Session>(m_loop);
    session->usedAt = now;
    const auto found = session;
    std::erase_if(m_sessions,
                  [&](const auto &item) { return now - item.second->usedAt > sessionRetention; });
    return found;
}

auto OrderRelay::carryOut(const Wire::ControlRequest &request) -> void
{
    const auto session = sessionFor(request.session);
    for (const auto &order : request.orders)
        AsyncNet::start(m_loop, "relayed order", carryOutOne(session, order));
}

auto OrderRelay::carryOutOne(std::shared_ptr<Session> session, Wire::EndpointOrder order)
    -> AsyncNet::Task<void>
{
    auto answer = co_await execute(order);
    answer.number = order.number;
    session->answers.push_back(std::move(answer));
    session->answered.notify();
}

auto OrderRelay::execute(const Wire::EndpointOrder &order) -> AsyncNet::Task<Wire::EndpointAnswer>
{
    if (order.kind == Wire::OrderKind::START) {
        const auto reply = co_await m_endpoints.start(startOrder(order));
        co_return toWire(reply);
    }
    if (order.kind == Wire::OrderKind::STOP) {
        const auto result = co_await m_endpoints.stop(stopOrder(order));
        co_return toWire(result);
    }
    if (order.kind == Wire::OrderKind::PACE) {
        const auto result = co_await m_endpoints.pace(paceOrder(order));
        co_return toWire(result);
    }
    const auto reply = co_await m_endpoints.poll(pollOrder(order));
    co_return toWire(reply);
}

auto OrderRelay::collect(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>
{
    const auto session = sessionFor(request.session);
    if (session->answers.empty())
        co_await session->answered.waitFor(maximumCollectWait);
    if (!session->answers.empty())
        co_await AsyncNet::pause(batchDelay);
    Wire::ControlReply reply;
    reply.outcome = m_leaving ? Wire::ControlOutcome::REFUSED : Wire::ControlOutcome::DONE;
    reply.answers = std::exchange(session->answers, {});
    co_return reply;
}

} // namespace Service
