#include "relaylink.h"

#include "utils/log.h"

#include <utility>

namespace Service {
namespace {

constexpr Utils::Milliseconds connectTimeout{300};
constexpr Utils::Milliseconds reconnectPause{500};
// A relay replies to a collect request after about 250 ms at most, so a longer silence means that
// the process is down.
constexpr Utils::Milliseconds collectTimeout{700};
constexpr Utils::Milliseconds sendTimeout{700};

} // namespace

RelayLink::RelayLink(AsyncNet::asio::io_context &loop, RelayAddress relay, std::string session)
    : m_loop(loop)
    , m_relay(std::move(relay))
    , m_session(std::move(session))
{}

auto RelayLink::start() -> void
{
    AsyncNet::start(m_loop, "relay", run(), shared_from_this());
}

auto RelayLink::stop() -> void
{
    m_stopped = true;
    if (m_client)
        m_client->close();
}

auto RelayLink::run() -> AsyncNet::Task<void>
{
    while (!m_stopped) {
        const auto client = std::make_shared<AsyncNet::FrameClient>(m_loop, m_relay.address);
        const auto connected = co_await client->connect(connectTimeout);
        if (connected && !m_stopped) {
            m_client = client;
            co_await collectFrom(client);
            abandonCalls();
        }
        client->close();
        if (!m_stopped)
            co_await AsyncNet::pause(reconnectPause);
    }
}

auto RelayLink::collectFrom(Client client) -> AsyncNet::Task<void>
{
    Wire::ControlRequest request;
    request.call = Wire::ControlCall::COLLECT_ANSWERS;
    request.session = m_session;
    while (!m_stopped) {
        auto reply = co_await client->call(request, collectTimeout);
        if (!reply) {
            Utils::Log::warning("service",
                                "lost a process that carries out orders",
                                {{"address", m_relay.address},
                                 {"unanswered", m_calls.size()},
                                 {"reason", reply.error().message}});
            co_return;
        }
        const auto ready = reply.value().outcome == Wire::ControlOutcome::DONE;
        if (ready != std::exchange(m_ready, ready))
            Utils::Log::info("service",
                             ready ? "a process carries out orders"
                                   : "a process that carries out orders is shutting down",
                             {{"address", m_relay.address}, {"zone", m_relay.zone}});
        completeCalls(std::move(reply.value().answers));
    }
}

auto RelayLink::completeCalls(std::vector<Wire::EndpointAnswer> answers) -> void
{
    for (auto &answer : answers) {
        const auto found = m_calls.find(answer.number);
        if (found == m_calls.end())
            continue;
        found->second->answer = std::move(answer);
        found->second->completed.notify();
    }
}

auto RelayLink::abandonCalls() -> void
{
    m_ready = false;
    m_client.reset();
    m_unsent.clear();
    for (const auto &[number, call] : m_calls)
        call->completed.notify();
}

auto RelayLink::call(Wire::EndpointOrder order, Utils::Milliseconds timeout)
    -> AsyncNet::Task<std::optional<Wire::EndpointAnswer>>
{
    const auto self = shared_from_this();
    if (!m_client)
        co_return std::nullopt;
    const auto number = ++m_lastOrderNumber;
    order.number = number;
    const auto call = std::make_shared<Call>(m_loop);
    m_calls[number] = call;
    m_unsent.push_back(std::move(order));
    if (!std::exchange(m_sending, true))
        AsyncNet::start(m_loop, "orders", sendOrders(m_client), self);
    co_await call->completed.waitFor(timeout);
    m_calls.erase(number);
    co_return std::move(call->answer);
}

// Runs after the handlers that are already queued on the event loop, so that orders issued together
// share a message.
auto RelayLink::sendOrders(Client client) -> AsyncNet::Task<void>
{
    Wire::ControlRequest request;
    request.call = Wire::ControlCall::CARRY_OUT;
    request.session = m_session;
    request.orders = std::exchange(m_unsent, {});
    m_sending = false;
    const auto sent = co_await client->call(std::move(request), sendTimeout);
    if (!sent)
        client->close();
}

} // namespace Service
