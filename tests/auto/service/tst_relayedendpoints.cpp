#include "service/orderconversion.h"
#include "service/orderrelay.h"
#include "service/relayedendpoints.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <set>

namespace {

using Execution::PollResult;
using Execution::StartResult;
using Utils::Milliseconds;

constexpr Milliseconds longestTest{10'000};
constexpr Milliseconds conditionCheck{5};

/*! \brief Fake endpoints that record the orders they receive. */
class RecordingEndpoints final : public Execution::EndpointLink
{
public:
    auto start(Execution::StartOrder order) -> AsyncNet::Task<Execution::StartReply> override
    {
        starts.push_back(order);
        const Execution::StartReply reply{startResult, 77};
        if (startDelay.count() > 0)
            co_await AsyncNet::pause(startDelay);
        if (hangs)
            co_await AsyncNet::pause(longestTest);
        if (silent)
            co_return Execution::StartReply();
        co_return reply;
    }
    auto stop(Execution::StopOrder) -> AsyncNet::Task<Execution::OrderResult> override
    {
        ++stops;
        co_return Execution::OrderResult::Accepted;
    }
    auto pace(Execution::PaceOrder) -> AsyncNet::Task<Execution::OrderResult> override
    {
        co_return Execution::OrderResult::Refused;
    }
    auto poll(Execution::PollOrder order) -> AsyncNet::Task<Execution::PollReply> override
    {
        polls.push_back(order);
        Execution::PollReply reply;
        reply.result = PollResult::Seen;
        reply.clockMs = 500;
        reply.bornMs = order.target.incarnation.bornMs;
        co_return reply;
    }

    bool silent = false;        //!< Start orders get no reply.
    bool hangs = false;         //!< Start orders are not completed during the test.
    Milliseconds startDelay{0}; //!< Time until a start order gets its reply.
    StartResult startResult = StartResult::Started;
    int stops = 0;
    std::vector<Execution::StartOrder> starts;
    std::vector<Execution::PollOrder> polls;
};

/*! \brief A leader and one relay that are connected over loopback. */
class RelayTest : public testing::Test
{
protected:
    RelayTest()
    {
        EXPECT_TRUE(m_server.start("127.0.0.1:0"));
        m_relays.push_back({"127.0.0.1:" + std::to_string(m_server.port()), "zone-1"});
    }
    ~RelayTest() override { m_leader.use({}, {}); }

    auto handle(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>
    {
        if (request.call == Wire::ControlCall::COLLECT_ANSWERS) {
            auto answers = co_await m_relay.collect(std::move(request));
            co_return answers;
        }
        ++m_messages;
        m_relay.carryOut(request);
        co_return Wire::ControlReply();
    }
    auto runUntil(const std::function<bool()> &condition) -> bool
    {
        const auto deadline = m_clock.now() + longestTest;
        while (!condition() && m_clock.now() < deadline)
            m_loop.run_for(conditionCheck);
        return condition();
    }
    // Sends status polls, which have no side effects, until one arrives through the relay.
    auto connect() -> bool
    {
        m_leader.use(m_relays, "session");
        return runUntil([&] {
            AsyncNet::start(m_loop, "poll", pollOnce());
            return !m_relayedEndpoints.polls.empty();
        });
    }
    auto pollOnce() -> AsyncNet::Task<void>
    {
        Execution::PollOrder order;
        co_await m_leader.poll(std::move(order));
    }
    auto startOrder(const std::string &endpoint) -> Execution::StartOrder
    {
        Execution::StartOrder order;
        order.target.incarnation = {endpoint, 5};
        order.target.address = endpoint + ":1";
        order.target.fencingToken = 6;
        order.target.zone = "zone-1";
        order.task = {"0123456789abcdef", 0, 1, 2};
        order.run = 3;
        order.payload = "payload";
        order.leaseEndMs = 4;
        order.checkpoint = "checkpoint";
        return order;
    }
    auto sendStart(const std::string &endpoint, std::vector<Execution::StartReply> &replies) -> void
    {
        AsyncNet::start(m_loop, "start", startAndRecordReply(startOrder(endpoint), replies));
    }
    auto startAndRecordReply(Execution::StartOrder order,
                             std::vector<Execution::StartReply> &replies) -> AsyncNet::Task<void>
    {
        const auto reply = co_await m_leader.start(std::move(order));
        replies.push_back(reply);
    }

    Utils::SystemClock m_clock;
    AsyncNet::asio::io_context m_loop;
    RecordingEndpoints m_directEndpoints;  //!< Endpoints as called by the leader directly.
    RecordingEndpoints m_relayedEndpoints; //!< Endpoints as called by the relay.
    Service::OrderRelay m_relay{m_loop, m_relayedEndpoints, m_clock};
    AsyncNet::FrameServer m_server{
        m_loop, [this](Wire::ControlRequest request) { return handle(std::move(request)); }};
    Service::RelayedEndpoints m_leader{m_loop, m_directEndpoints, m_clock};
    std::vector<Service::RelayAddress> m_relays;
    int m_messages = 0;
};

// Guards against one message per order when a scheduling pass under peak load issues a hundred
// start orders.
TEST_F(RelayTest, OrdersIssuedTogetherShareMessagesAndGetTheirOwnReplies)
{
    constexpr std::size_t orders = 100;
    ASSERT_TRUE(connect());
    m_messages = 0;
    std::vector<Execution::StartReply> replies;
    for (std::size_t number = 0; number < orders; ++number)
        sendStart("endpoint-" + std::to_string(number), replies);
    ASSERT_TRUE(runUntil([&] { return replies.size() == orders; }));
    for (const auto &reply : replies)
        EXPECT_EQ(reply.result, StartResult::Started);
    EXPECT_LT(m_messages, 10);
    EXPECT_TRUE(m_directEndpoints.starts.empty());
    ASSERT_EQ(m_relayedEndpoints.starts.size(), orders);
    const auto given = startOrder("endpoint-0");
    const auto &received = m_relayedEndpoints.starts.front();
    EXPECT_EQ(received.target.incarnation, given.target.incarnation);
    EXPECT_EQ(received.target.address, given.target.address);
    EXPECT_EQ(received.target.fencingToken, given.target.fencingToken);
    EXPECT_EQ(received.task, given.task);
    EXPECT_EQ(received.run, given.run);
    EXPECT_EQ(received.payload, given.payload);
    EXPECT_EQ(received.leaseEndMs, given.leaseEndMs);
    EXPECT_EQ(received.checkpoint, given.checkpoint);
}

TEST_F(RelayTest, AnEndpointWithoutAReplyThroughTheRelayIsCalledDirectlyNext)
{
    ASSERT_TRUE(connect());
    m_relayedEndpoints.silent = true;
    std::vector<Execution::StartReply> replies;
    sendStart("a", replies);
    ASSERT_TRUE(runUntil([&] { return replies.size() == 1; }));
    EXPECT_EQ(replies[0].result, StartResult::Unknown);
    sendStart("a", replies);
    ASSERT_TRUE(runUntil([&] { return replies.size() == 2; }));
    EXPECT_EQ(replies[1].result, StartResult::Started);
    EXPECT_EQ(m_directEndpoints.starts.size(), 1U);
}

TEST_F(RelayTest, AnOrderWithoutAReplyFromALostRelayHasAnUnknownOutcome)
{
    ASSERT_TRUE(connect());
    m_relayedEndpoints.hangs = true;
    std::vector<Execution::StartReply> replies;
    sendStart("a", replies);
    // The connection to the relay is lost before the relay can send the reply.
    ASSERT_TRUE(runUntil([&] { return !m_relayedEndpoints.starts.empty(); }));
    m_server.stop();
    ASSERT_TRUE(runUntil([&] { return replies.size() == 1; }));
    EXPECT_EQ(replies[0].result, StartResult::Unknown);
    // After the loss, orders to other endpoints are sent directly.
    sendStart("b", replies);
    ASSERT_TRUE(runUntil([&] { return replies.size() == 2; }));
    EXPECT_EQ(replies[1].result, StartResult::Started);
    EXPECT_EQ(m_directEndpoints.starts.size(), 1U);
}

// A relay that was cut off keeps the answers that it could not send, and may be used again in the
// same term. The orders that it then gets must not have the numbers of earlier ones.
TEST_F(RelayTest, AnAnswerFromBeforeTheLossOfARelayIsNotTakenForThatOfALaterOrder)
{
    constexpr std::size_t lostOrders = 30;
    constexpr std::size_t laterOrders = 60;
    ASSERT_TRUE(connect());
    m_relayedEndpoints.startDelay = Milliseconds(500);
    m_relayedEndpoints.startResult = StartResult::NoRoom;
    std::vector<Execution::StartReply> lost;
    for (std::size_t order = 0; order < lostOrders; ++order)
        sendStart("a", lost);
    ASSERT_TRUE(runUntil([&] { return m_relayedEndpoints.starts.size() == lostOrders; }));
    m_leader.use({}, "session");
    ASSERT_TRUE(runUntil([&] { return lost.size() == lostOrders; }));
    m_relayedEndpoints.startDelay = Milliseconds(900);
    m_relayedEndpoints.startResult = StartResult::Started;
    m_relayedEndpoints.polls.clear();
    ASSERT_TRUE(connect());
    std::vector<Execution::StartReply> replies;
    for (std::size_t order = 0; order < laterOrders; ++order)
        sendStart("b", replies);
    ASSERT_TRUE(runUntil([&] { return replies.size() == laterOrders; }));
    for (const auto &reply : replies)
        EXPECT_EQ(reply.result, StartResult::Started);
}

TEST_F(RelayTest, ARelayThatIsShuttingDownGetsNoMoreOrders)
{
    ASSERT_TRUE(connect());
    m_relay.leave();
    std::vector<Execution::StartReply> replies;
    ASSERT_TRUE(runUntil([&] {
        sendStart("a", replies);
        return !m_directEndpoints.starts.empty();
    }));
    const auto relayed = m_relayedEndpoints.starts.size();
    sendStart("b", replies);
    ASSERT_TRUE(runUntil([&] { return m_directEndpoints.starts.size() >= 2; }));
    EXPECT_EQ(m_relayedEndpoints.starts.size(), relayed);
}

TEST(RelayChoice, PrefersTheZoneOfTheEndpointAndOtherwiseSpreadsEndpoints)
{
    const std::array relays{Service::RelayView{"z1", true},
                            Service::RelayView{"z2", true},
                            Service::RelayView{"z2", false}};
    std::set<std::size_t> chosen;
    for (auto number = 0; number < 50; ++number) {
        const auto id = "endpoint-" + std::to_string(number);
        EXPECT_EQ(Service::chooseRelay(relays, id, "z1"), 0U);
        EXPECT_EQ(Service::chooseRelay(relays, id, "z2"), 1U);
        chosen.insert(*Service::chooseRelay(relays, id, "z3"));
    }
    EXPECT_EQ(chosen, (std::set<std::size_t>{0, 1}));
    EXPECT_FALSE(Service::chooseRelay({}, "endpoint", "z1"));
}

TEST(OrderConversion, KeepsAllFieldsOfAStartReply)
{
    const Execution::StartReply reply{StartResult::NoRoom, 4, true};
    const auto read = Service::startReply(Service::toWire(reply));
    EXPECT_EQ(read.result, reply.result);
    EXPECT_EQ(read.clockMs, 4);
    EXPECT_TRUE(read.repeated);
}

TEST(OrderConversion, KeepsAllFieldsOfAPollReply)
{
    Execution::PollReply reply;
    reply.result = PollResult::Seen;
    reply.bornMs = 3;
    reply.clockMs = 4;
    auto &running = reply.running.emplace_back();
    running.task = {"0123456789abcdef", 1, 2, 3};
    running.run = 9;
    running.checkpoint = "saved";
    running.percent = 100;
    running.load = 12;
    auto &ended = reply.ended.emplace_back();
    ended.number = 4;
    ended.task = {"0123456789abcdef", 0, 0, 1};
    ended.run = 8;
    ended.kind = Execution::EndKind::NoPartners;
    ended.checkpoint = "c";
    reply.truncated = true;
    const auto read = Service::pollReply(Service::toWire(reply));
    EXPECT_EQ(read.result, reply.result);
    EXPECT_EQ(read.bornMs, reply.bornMs);
    EXPECT_EQ(read.clockMs, reply.clockMs);
    ASSERT_EQ(read.running.size(), 1U);
    EXPECT_EQ(read.running[0].task, reply.running[0].task);
    EXPECT_EQ(read.running[0].run, 9);
    EXPECT_EQ(read.running[0].checkpoint, "saved");
    EXPECT_EQ(read.running[0].percent, 100);
    EXPECT_EQ(read.running[0].load, 12);
    ASSERT_EQ(read.ended.size(), 1U);
    EXPECT_EQ(read.ended[0].number, 4);
    EXPECT_EQ(read.ended[0].task, reply.ended[0].task);
    EXPECT_EQ(read.ended[0].run, 8);
    EXPECT_EQ(read.ended[0].kind, Execution::EndKind::NoPartners);
    EXPECT_EQ(read.ended[0].checkpoint, "c");
    EXPECT_TRUE(read.truncated);
}

} // namespace
