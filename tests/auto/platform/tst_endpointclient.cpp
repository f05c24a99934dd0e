#include "platform/endpointclient.h"

#include "asyncnet/tcpsocket.h"

#include "utils/fields.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <gtest/gtest.h>

#include <netinet/tcp.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace {

namespace http = boost::beast::http;
using AsyncNet::Task;
using Execution::StartResult;

constexpr Utils::Milliseconds testTimeout{20'000};
constexpr std::size_t connectionLimit = 3;
constexpr std::int64_t firstBornMs = 1000;
constexpr std::int64_t nextBornMs = 2000;

auto listsOf(std::int64_t bornMs) -> std::string
{
    return R"({"clock_ms":1,"running_count":[],"ended":[],"born":)" + std::to_string(bornMs) + '}';
}

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
    ScriptedEndpoint(AsyncNet::asio::io_context &loop,
                     std::deque<Reaction> reactions,
                     std::int64_t bornMs = firstBornMs,
                     unsigned short port = 0)
        : m_loop(loop)
        , m_acceptor(loop, {AsyncNet::asio::ip::make_address("127.0.0.1"), port})
        , m_reactions(std::move(reactions))
        , m_bornMs(bornMs)
    {}

    auto start() -> void { AsyncNet::start(m_loop, "endpoint", accept()); }
    /*! \brief Closes the connections and no longer listens. */
    auto end() -> void
    {
        m_acceptor.close();
        for (const auto &socket : m_sockets)
            socket->close();
    }
    /*! \brief Ends once the system of the clients knows that the connections are closed. */
    auto endVisibly() -> Task<void>
    {
        for (const auto &socket : m_sockets) {
            socket->shutdown(AsyncNet::TcpSocket::shutdown_send);
            while (stateOf(*socket) == TCP_FIN_WAIT1)
                co_await AsyncNet::asio::post(m_loop.get_executor(), AsyncNet::useAwaitable);
        }
        end();
    }
    /*! \brief Lets another incarnation answer, also on connections that are open. */
    auto setBorn(std::int64_t bornMs) -> void { m_bornMs = bornMs; }
    /*! \brief Takes reactions for all requests. Otherwise polls that only ask are answered with empty lists. */
    auto scriptQuestions() -> void { m_answersQuestions = false; }

    auto port() const -> unsigned short { return m_acceptor.local_endpoint().port(); }
    auto address() const -> std::string { return "127.0.0.1:" + std::to_string(port()); }
    /*! \brief The last parts of the paths of all requests, or "question" for polls that only ask. */
    auto received() const -> const std::vector<std::string> & { return m_received; }
    auto connections() const -> std::size_t { return m_sockets.size(); }

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
            m_sockets.push_back(socket);
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
            if (error)
                co_return;
            const auto reaction = react(request);
            if (reaction.status == 0) {
                socket->close();
                co_return;
            }
            http::response<http::string_body> response;
            response.result(unsigned(reaction.status));
            response.body() = reaction.body;
            response.prepare_payload();
            co_await http::async_write(
                *socket, response, AsyncNet::asio::redirect_error(AsyncNet::useAwaitable, error));
        }
    }
    auto react(const http::request<http::string_body> &request) -> Reaction
    {
        const auto question = isQuestion(request);
        const auto target = std::string(request.target());
        m_received.push_back(question ? "question" : target.substr(target.rfind('/') + 1));
        if (question && m_answersQuestions)
            return {200, listsOf(m_bornMs)};
        if (m_reactions.empty())
            return {};
        auto reaction = m_reactions.front();
        m_reactions.pop_front();
        return reaction;
    }
    static auto stateOf(AsyncNet::TcpSocket &socket) -> int
    {
        tcp_info info{};
        socklen_t size = sizeof(info);
        EXPECT_EQ(::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size), 0);
        return info.tcpi_state;
    }
    static auto isQuestion(const http::request<http::string_body> &request) -> bool
    {
        const auto body = Utils::Json::parse(request.body(), nullptr, false);
        return request.target() == "/trefoilshelf/hold" && !body.contains("until_ms")
               && !body.contains("wait_ms") && body.value("last_seen", 0) == 0;
    }

    AsyncNet::asio::io_context &m_loop;
    AsyncNet::TcpAcceptor m_acceptor;
    std::deque<Reaction> m_reactions;
    std::int64_t m_bornMs;
    bool m_answersQuestions = true;
    std::vector<std::shared_ptr<AsyncNet::TcpSocket>> m_sockets;
    std::vector<std::string> m_received;
};

auto startOrder(const std::string &address) -> Execution::StartOrder
{
    Execution::StartOrder order;
    order.target.incarnation = {"endpoint-1", firstBornMs};
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
    endpoint.start();
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
    const auto lists = listsOf(firstBornMs);
    ScriptedEndpoint endpoint(loop, {{200, lists}, {0}, {200, lists}});
    endpoint.scriptQuestions();
    endpoint.start();
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

enum class OrderKind { Start, Stop, Pace, RenewingPoll, ForgettingPoll };

auto nameOf(OrderKind kind) -> std::string_view
{
    switch (kind) {
    case OrderKind::Start:
        return "Start";
    case OrderKind::Stop:
        return "Stop";
    case OrderKind::Pace:
        return "Pace";
    case OrderKind::RenewingPoll:
        return "RenewingPoll";
    case OrderKind::ForgettingPoll:
        return "ForgettingPoll";
    }
    return "Unknown";
}

/*! \brief Sends an order for the first incarnation; returns true if another one is known to be there. */
auto reportsOtherIncarnation(Platform::EndpointClient &client, OrderKind kind, std::string address)
    -> Task<bool>
{
    const auto start = startOrder(address);
    if (kind == OrderKind::Start) {
        const auto reply = co_await client.start(start);
        co_return reply.result == StartResult::OtherIncarnation;
    }
    if (kind == OrderKind::Stop) {
        Execution::StopOrder stop{start.target, start.task, start.run};
        const auto result = co_await client.stop(std::move(stop));
        co_return result == Execution::OrderResult::OtherIncarnation;
    }
    if (kind == OrderKind::Pace) {
        Execution::PaceOrder pace{start.target, start.task, start.run, 50};
        const auto result = co_await client.pace(std::move(pace));
        co_return result == Execution::OrderResult::OtherIncarnation;
    }
    Execution::PollOrder poll;
    poll.target = start.target;
    if (kind == OrderKind::RenewingPoll)
        poll.leaseEndMs = 5000;
    else
        poll.recordedEnds = 1;
    const auto reply = co_await client.poll(std::move(poll));
    co_return reply.result == Execution::PollResult::OtherIncarnation;
}

class BoundOrders : public testing::Test
{
protected:
    using Received = std::vector<std::string>;

    auto run(Task<void> task) -> void
    {
        m_loop.restart();
        m_finished = false;
        AsyncNet::start(m_loop, "test", finish(std::move(task)));
        m_loop.run_for(testTimeout);
        ASSERT_TRUE(m_finished);
    }
    auto startAt(const ScriptedEndpoint &endpoint, std::int64_t bornMs = firstBornMs)
        -> Task<Execution::StartReply>
    {
        auto order = startOrder(endpoint.address());
        order.target.incarnation.bornMs = bornMs;
        auto reply = co_await m_client.start(std::move(order));
        co_return reply;
    }
    auto pollAt(const ScriptedEndpoint &endpoint) -> Task<Execution::PollReply>
    {
        Execution::PollOrder order;
        order.target = startOrder(endpoint.address()).target;
        auto reply = co_await m_client.poll(std::move(order));
        co_return reply;
    }

    AsyncNet::asio::io_context m_loop;
    Platform::EndpointClient m_client{m_loop, connectionLimit};

private:
    auto finish(Task<void> task) -> Task<void>
    {
        co_await std::move(task);
        m_finished = true;
        m_loop.stop();
    }

    bool m_finished = false;
};

class OrderForAFormerIncarnation
    : public BoundOrders
    , public testing::WithParamInterface<OrderKind>
{};

TEST_P(OrderForAFormerIncarnation, DoesNotReachTheNextOneThatListensAtItsAddress)
{
    ScriptedEndpoint former(m_loop, {{200}});
    former.start();
    const auto address = former.address();
    const auto port = former.port();
    auto reported = false;
    std::unique_ptr<ScriptedEndpoint> next;
    const auto calls = [&]() -> Task<void> {
        co_await startAt(former);
        former.end();
        const std::deque<Reaction> reactions{{200, listsOf(nextBornMs)}, {200}};
        next = std::make_unique<ScriptedEndpoint>(m_loop, reactions, nextBornMs, port);
        next->start();
        co_await reportsOtherIncarnation(m_client, GetParam(), address);
        reported = co_await reportsOtherIncarnation(m_client, GetParam(), address);
    };
    run(calls());
    EXPECT_TRUE(reported);
    for (const auto &request : next->received())
        EXPECT_EQ(request, "question");
}

TEST_P(OrderForAFormerIncarnation, IsNotCarriedOutByTheNextOneThatAcceptsItsConnection)
{
    ScriptedEndpoint next(m_loop, {{200, listsOf(nextBornMs)}}, nextBornMs);
    next.start();
    auto reported = false;
    const auto calls = [&]() -> Task<void> {
        reported = co_await reportsOtherIncarnation(m_client, GetParam(), next.address());
    };
    run(calls());
    EXPECT_TRUE(reported);
    EXPECT_EQ(next.received(), Received{"question"});
}

INSTANTIATE_TEST_SUITE_P(Orders,
                         OrderForAFormerIncarnation,
                         testing::Values(OrderKind::Start,
                                         OrderKind::Stop,
                                         OrderKind::Pace,
                                         OrderKind::RenewingPoll,
                                         OrderKind::ForgettingPoll),
                         [](const auto &kind) { return std::string(nameOf(kind.param)); });

// Guards against a question for each order, which the users pay for.
TEST_F(BoundOrders, KeptConnectionServesOrdersWithoutAFurtherQuestion)
{
    ScriptedEndpoint endpoint(m_loop, {{200}, {200}, {200, listsOf(firstBornMs)}, {200}});
    endpoint.start();
    const auto calls = [&]() -> Task<void> {
        for (const auto kind :
             {OrderKind::Start, OrderKind::Stop, OrderKind::RenewingPoll, OrderKind::Pace})
            co_await reportsOtherIncarnation(m_client, kind, endpoint.address());
    };
    run(calls());
    EXPECT_EQ(endpoint.received(), (Received{"question", "run-start", "run-stop", "hold", "pace"}));
    EXPECT_EQ(endpoint.connections(), 1U);
}

TEST_F(BoundOrders, PollThatOnlyAsksNeedsNoQuestionBeforeIt)
{
    ScriptedEndpoint endpoint(m_loop, {{200}});
    endpoint.start();
    const auto calls = [&]() -> Task<void> {
        const auto seen = co_await pollAt(endpoint);
        EXPECT_EQ(seen.result, Execution::PollResult::Seen);
        const auto reply = co_await startAt(endpoint);
        EXPECT_EQ(reply.result, StartResult::Started);
    };
    run(calls());
    EXPECT_EQ(endpoint.received(), (Received{"question", "run-start"}));
    EXPECT_EQ(endpoint.connections(), 1U);
}

TEST_F(BoundOrders, SecondCopyOfAStartFollowsAQuestionOnItsConnection)
{
    ScriptedEndpoint endpoint(m_loop, {{200}, {0}, {200}});
    endpoint.start();
    const auto calls = [&]() -> Task<void> {
        co_await startAt(endpoint);
        const auto reply = co_await startAt(endpoint);
        EXPECT_EQ(reply.result, StartResult::Started);
        EXPECT_TRUE(reply.repeated);
    };
    run(calls());
    EXPECT_EQ(endpoint.received(),
              (Received{"question", "run-start", "run-start", "question", "run-start"}));
    EXPECT_EQ(endpoint.connections(), 2U);
}

// Guards against a start that counts as sent, and its copy, after each restart of an endpoint.
TEST_F(BoundOrders, StartIsNotSentOnAConnectionThatItsEndpointHasClosed)
{
    ScriptedEndpoint former(m_loop, {{200}});
    former.start();
    std::unique_ptr<ScriptedEndpoint> next;
    const auto calls = [&]() -> Task<void> {
        co_await startAt(former);
        const auto port = former.port();
        co_await former.endVisibly();
        next = std::make_unique<ScriptedEndpoint>(m_loop, std::deque<Reaction>(), nextBornMs, port);
        next->start();
        const auto reply = co_await startAt(*next);
        EXPECT_EQ(reply.result, StartResult::OtherIncarnation);
        EXPECT_FALSE(reply.repeated);
    };
    run(calls());
    EXPECT_EQ(next->received(), Received{"question"});
}

TEST_F(BoundOrders, ConnectionOnWhichAnotherIncarnationHasAnsweredIsNotUsed)
{
    ScriptedEndpoint endpoint(m_loop, {{200}});
    endpoint.start();
    const auto calls = [&]() -> Task<void> {
        co_await startAt(endpoint);
        endpoint.setBorn(nextBornMs);
        const auto seen = co_await pollAt(endpoint);
        EXPECT_EQ(seen.bornMs, nextBornMs);
        const auto reply = co_await startAt(endpoint);
        EXPECT_EQ(reply.result, StartResult::OtherIncarnation);
    };
    run(calls());
    EXPECT_EQ(endpoint.received(), (Received{"question", "run-start", "question", "question"}));
    EXPECT_EQ(endpoint.connections(), 2U);
}

TEST_F(BoundOrders, ConnectionServesTheIncarnationThatHasAnsweredTheQuestion)
{
    ScriptedEndpoint endpoint(m_loop, {{200}}, nextBornMs);
    endpoint.start();
    const auto calls = [&]() -> Task<void> {
        co_await startAt(endpoint);
        const auto reply = co_await startAt(endpoint, nextBornMs);
        EXPECT_EQ(reply.result, StartResult::Started);
    };
    run(calls());
    EXPECT_EQ(endpoint.received(), (Received{"question", "run-start"}));
    EXPECT_EQ(endpoint.connections(), 1U);
}

// Guards against a start that counts as sent, for which its task waits without a run.
TEST_F(BoundOrders, StartIsNotSentIfTheQuestionHasNoUsableAnswer)
{
    const std::vector<Reaction> answers = {
        {0}, {503}, {400}, {200, R"({"clock_ms":1})"}, {200, "{}"}};
    for (const auto &answer : answers) {
        ScriptedEndpoint endpoint(m_loop, {answer});
        endpoint.scriptQuestions();
        endpoint.start();
        auto result = StartResult::Unknown;
        const auto calls = [&]() -> Task<void> {
            const auto reply = co_await startAt(endpoint);
            result = reply.result;
        };
        run(calls());
        EXPECT_EQ(result, StartResult::Unhealthy) << answer.status << answer.body;
        EXPECT_EQ(endpoint.received(), Received{"question"});
        endpoint.end();
    }
}

TEST_F(BoundOrders, EndpointThatNeverTellsItsBirthGetsOrders)
{
    ScriptedEndpoint endpoint(m_loop, {{200, R"({"clock_ms":1})"}, {200}, {200}});
    endpoint.scriptQuestions();
    endpoint.start();
    const auto calls = [&]() -> Task<void> {
        for (auto order = 0; order < 2; ++order) {
            const auto reply = co_await startAt(endpoint, 0);
            EXPECT_EQ(reply.result, StartResult::Started);
        }
    };
    run(calls());
    EXPECT_EQ(endpoint.received(), (Received{"question", "run-start", "run-start"}));
}

TEST_F(BoundOrders, RefusalOfTheQuestionIsThatOfTheOrder)
{
    ScriptedEndpoint endpoint(m_loop, {{409, R"({"reason":"fence"})"}, {421}});
    endpoint.scriptQuestions();
    endpoint.start();
    const auto calls = [&]() -> Task<void> {
        const auto fenced = co_await startAt(endpoint);
        EXPECT_EQ(fenced.result, StartResult::Fenced);
        const auto misdirected = co_await startAt(endpoint);
        EXPECT_EQ(misdirected.result, StartResult::OtherIncarnation);
    };
    run(calls());
    EXPECT_EQ(endpoint.received(), (Received{"question", "question"}));
}

} // namespace
