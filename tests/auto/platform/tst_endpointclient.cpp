#include "platform/endpointclient.h"

#include "asyncnet/tcpsocket.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <gtest/gtest.h>

#include <deque>
#include <memory>

namespace {

namespace http = boost::beast::http;
using AsyncNet::Task;
using Execution::StartResult;

constexpr Utils::Milliseconds testTimeout{20'000};
constexpr std::size_t connectionLimit = 3;

/*! \brief What the endpoint does with a request. */
struct Reaction
{
    int status = 0; //!< Status of the response; 0 closes the connection without a response.
    std::string body = "{}";
};

/*! \brief An endpoint that reacts to the requests, in the order of their arrival, as specified. */
class ScriptedEndpoint
{
public:
    ScriptedEndpoint(AsyncNet::asio::io_context &loop, std::deque<Reaction> reactions)
        : m_loop(loop)
        , m_acceptor(loop, {AsyncNet::asio::ip::make_address("127.0.0.1"), 0})
        , m_reactions(std::move(reactions))
    {
        AsyncNet::start(loop, "endpoint", accept());
    }

    auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    auto accept() -> Task<void>
    {
        while (true) {
            auto socket = std::make_shared<AsyncNet::TcpSocket>(m_loop);
            boost::system::error_code error;
            co_await m_acceptor.async_accept(
                *socket, AsyncNet::asio::redirect_error(AsyncNet::useAwaitable, error));
            if (error)
                co_return;
            AsyncNet::start(m_loop, "connection", serve(socket));
        }
    }
    auto serve(std::shared_ptr<AsyncNet::TcpSocket> socket) -> Task<void>
    {
        boost::beast::flat_buffer buffer;
        while (true) {
            http::request<http::string_body> request;
            boost::system::error_code error;
            co_await http::async_read(
                *socket,
                buffer,
                request,
                AsyncNet::asio::redirect_error(AsyncNet::useAwaitable, error));
            if (error || m_reactions.empty())
                co_return;
            const auto reaction = m_reactions.front();
            m_reactions.pop_front();
            if (reaction.status == 0)
                co_return;
            http::response<http::string_body> response;
            response.result(unsigned(reaction.status));
            response.body() = reaction.body;
            response.prepare_payload();
            co_await http::async_write(
                *socket, response, AsyncNet::asio::redirect_error(AsyncNet::useAwaitable, error));
        }
    }

    AsyncNet::asio::io_context &m_loop;
    AsyncNet::TcpAcceptor m_acceptor;
    std::deque<Reaction> m_reactions;
};

auto startOrder(const std::string &address) -> Execution::StartOrder
{
    Execution::StartOrder order;
    order.target.incarnation = {"endpoint-1", 1000};
    order.target.address = address;
    order.task = {"job", 0, 0, 0};
    order.run = 1;
    return order;
}

/*! \brief Sends a start order for each reaction but those to copies; returns the last reply. */
auto lastStartReply(std::deque<Reaction> reactions, int orders) -> Execution::StartReply
{
    AsyncNet::asio::io_context loop;
    ScriptedEndpoint endpoint(loop, std::move(reactions));
    Platform::EndpointClient client(loop, connectionLimit);
    Execution::StartReply last;
    last.result = StartResult::Invalid;
    auto finished = false;
    const auto send = [&]() -> Task<void> {
        for (auto order = 0; order < orders; ++order) {
            auto start = startOrder(endpoint.address());
            last = co_await client.start(std::move(start));
        }
        finished = true;
        loop.stop();
    };
    AsyncNet::start(loop, "test", send());
    loop.run_for(testTimeout);
    EXPECT_TRUE(finished);
    return last;
}

auto lastStartResult(std::deque<Reaction> reactions, int orders) -> StartResult
{
    return lastStartReply(std::move(reactions), orders).result;
}

/*! \brief Returns the result of a poll on a kept connection that breaks; a copy of it is answered. */
auto lastPollResult(std::int64_t recordedEnds) -> Execution::PollResult
{
    AsyncNet::asio::io_context loop;
    const std::string lists = R"({"clock_ms":1,"born":1000,"running_count":[],"ended":[]})";
    ScriptedEndpoint endpoint(loop, {{200, lists}, {0}, {200, lists}});
    Platform::EndpointClient client(loop, connectionLimit);
    auto result = Execution::PollResult::Refused;
    auto finished = false;
    const auto send = [&]() -> Task<void> {
        Execution::PollOrder order;
        order.target = startOrder(endpoint.address()).target;
        co_await client.poll(order);
        order.recordedEnds = recordedEnds;
        const auto reply = co_await client.poll(order);
        result = reply.result;
        finished = true;
        loop.stop();
    };
    AsyncNet::start(loop, "test", send());
    loop.run_for(testTimeout);
    EXPECT_TRUE(finished);
    return result;
}

// The first copy of an order that was sent twice may still be carried out.
TEST(EndpointClient, RefusalOfASecondCopyDoesNotSayThatTheFirstOneIsNotCarriedOut)
{
    const std::vector<Reaction> refusals = {{503},
                                            {429},
                                            {400},
                                            {421},
                                            {409, R"({"reason":"room"})"},
                                            {409, R"({"reason":"late"})"},
                                            {409, R"({"reason":"old"})"}};
    for (const auto &refusal : refusals)
        EXPECT_EQ(lastStartResult({{200}, {0}, refusal}, 2), StartResult::Unknown)
            << refusal.status << refusal.body;
}

TEST(EndpointClient, SecondCopyOfAStartIsAnsweredLikeTheFirstOne)
{
    EXPECT_EQ(lastStartResult({{200}, {0}, {200}}, 2), StartResult::Started);
    EXPECT_EQ(lastStartResult({{200}, {0}, {409, R"({"reason":"fence"})"}}, 2),
              StartResult::Fenced);
}

// Guards against TWICE: the next incarnation carries out the first copy, of which the leader did not know.
TEST(EndpointClient, ReplyToASecondCopySaysThatTheFirstOneMayBeCarriedOut)
{
    EXPECT_TRUE(lastStartReply({{200}, {0}, {200}}, 2).repeated);
    EXPECT_FALSE(lastStartReply({{200}, {200}}, 2).repeated);
}

TEST(EndpointClient, RefusalOfTheOnlyCopySaysThatNothingIsCarriedOut)
{
    EXPECT_EQ(lastStartResult({{503}}, 1), StartResult::Unhealthy);
    EXPECT_EQ(lastStartResult({{200}, {409, R"({"reason":"room"})"}}, 2), StartResult::NoRoom);
}

// Guards against a first copy that the next incarnation carries out after the second one was answered.
TEST(EndpointClient, PollThatNamesRecordedEndsIsSentOnce)
{
    EXPECT_EQ(lastPollResult(0), Execution::PollResult::Seen);
    EXPECT_EQ(lastPollResult(1), Execution::PollResult::Unknown);
}

} // namespace
