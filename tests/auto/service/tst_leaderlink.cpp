#include "service/addresses.h"
#include "service/leaderlink.h"

#include <gtest/gtest.h>

namespace {

using AsyncNet::FrameServer;
using Service::LeaderLink;
using Utils::Milliseconds;

constexpr Milliseconds longestTest{5000};
constexpr auto anyPort = "127.0.0.1:0";

auto addressOf(const FrameServer &server) -> std::string
{
    return "127.0.0.1:" + std::to_string(server.port());
}

auto answer(Wire::ControlOutcome::type outcome) -> Wire::ControlReply
{
    Wire::ControlReply reply;
    reply.outcome = outcome;
    return reply;
}

class LeaderLinkTest : public testing::Test
{
protected:
    auto listen(AsyncNet::FrameHandler handler) -> std::unique_ptr<FrameServer>
    {
        auto server = std::make_unique<FrameServer>(m_loop, std::move(handler));
        EXPECT_TRUE(server->start(anyPort));
        return server;
    }
    auto listenAsLeader() -> std::unique_ptr<FrameServer>
    {
        return listen([](Wire::ControlRequest) -> AsyncNet::Task<Wire::ControlReply> {
            co_return answer(Wire::ControlOutcome::DONE);
        });
    }
    // Sends one request through the link and stops the event loop after the call has returned.
    auto callOnce(LeaderLink &link, Milliseconds leaderTimeout) -> Utils::Result<Wire::ControlReply>
    {
        Utils::Result<Wire::ControlReply> result =
            Utils::failure(Utils::ErrorType::Timeout, "the call did not return");
        link.start();
        AsyncNet::start(m_loop, "test", call(link, leaderTimeout, result));
        m_loop.run_for(longestTest);
        return result;
    }

    AsyncNet::asio::io_context m_loop;

private:
    auto call(LeaderLink &link,
              Milliseconds leaderTimeout,
              Utils::Result<Wire::ControlReply> &result) -> AsyncNet::Task<void>
    {
        Wire::ControlRequest request;
        request.call = Wire::ControlCall::COUNT_WAITING;
        result = co_await link.call(request, leaderTimeout, Milliseconds(500));
        link.stop();
        m_loop.stop();
    }
};

TEST_F(LeaderLinkTest, FindsALeaderThatIsNotASeed)
{
    const auto leader = listenAsLeader();
    const auto seed = listen(
        [address = addressOf(*leader)](Wire::ControlRequest) -> AsyncNet::Task<Wire::ControlReply> {
            auto reply = answer(Wire::ControlOutcome::NOT_LEADER);
            reply.leaderAddress = address;
            co_return reply;
        });
    LeaderLink link(m_loop, {addressOf(*seed)}, {});
    const auto reply = callOnce(link, longestTest);
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply.value().outcome, Wire::ControlOutcome::DONE);
}

TEST_F(LeaderLinkTest, FindsALeaderAmongTheMembersThatASeedReports)
{
    const auto leader = listenAsLeader();
    const auto seed = listen(
        [address = addressOf(*leader)](Wire::ControlRequest) -> AsyncNet::Task<Wire::ControlReply> {
            auto reply = answer(Wire::ControlOutcome::NOT_LEADER);
            reply.members = {address};
            co_return reply;
        });
    LeaderLink link(m_loop, {addressOf(*seed)}, {});
    EXPECT_TRUE(callOnce(link, longestTest));
}

TEST_F(LeaderLinkTest, FailsWithUnavailableIfNoLeaderIsKnown)
{
    const auto seed = listen([](Wire::ControlRequest) -> AsyncNet::Task<Wire::ControlReply> {
        co_return answer(Wire::ControlOutcome::NOT_LEADER);
    });
    LeaderLink link(m_loop, {addressOf(*seed)}, {});
    const auto reply = callOnce(link, Milliseconds(50));
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().type, Utils::ErrorType::Unavailable);
}

TEST_F(LeaderLinkTest, ARequestWithoutAReplyHasAnUnknownOutcome)
{
    const auto leader =
        listen([](Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply> {
            if (request.call != Wire::ControlCall::HELLO)
                co_await AsyncNet::pause(longestTest);
            co_return answer(Wire::ControlOutcome::DONE);
        });
    LeaderLink link(m_loop, {addressOf(*leader)}, {});
    const auto reply = callOnce(link, longestTest);
    ASSERT_FALSE(reply);
    EXPECT_EQ(reply.error().type, Utils::ErrorType::OutcomeUnknown);
}

TEST(Addresses, TheLinkPortFollowsTheReplicationPort)
{
    EXPECT_EQ(Service::linkAddressOf("10.1.2.3:7000"), "10.1.2.3:7001");
    EXPECT_TRUE(Service::linkAddressOf("nonsense").empty());
}

} // namespace
