#include "asyncnet/httpclient.h"
#include "asyncnet/httplistener.h"
#include "asyncnet/tcpsocket.h"

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <thread>

namespace {

using namespace AsyncNet;
using Utils::Milliseconds;

constexpr Milliseconds testTimeout{5000};
constexpr Milliseconds callTimeout{1000};
constexpr std::size_t maximumConnections = 3;

class HttpTest : public testing::Test
{
protected:
    auto listen(HttpHandler handler, const std::string &address = "127.0.0.1:0") -> std::string
    {
        m_listener = std::make_unique<HttpListener>(m_loop, "test", std::move(handler));
        EXPECT_TRUE(m_listener->start(address));
        return "127.0.0.1:" + std::to_string(m_listener->port());
    }
    auto keepHeaders(std::vector<std::string> names) -> void
    {
        m_listener->keepHeaders(std::move(names));
    }
    auto run(Task<void> task) -> void
    {
        AsyncNet::start(m_loop, "test", finish(std::move(task)));
        m_loop.run_for(testTimeout);
        EXPECT_TRUE(m_finished);
    }
    auto post(std::string body) -> HttpRequest
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/path";
        request.body = std::move(body);
        return request;
    }
    // Sends raw bytes and stores all data received until the listener closes the connection.
    auto exchangeRaw(const std::string &address, std::string bytes, std::string &received)
        -> Task<void>
    {
        TcpSocket socket(m_loop);
        const auto port =
            static_cast<unsigned short>(std::stoi(address.substr(address.find(':') + 1)));
        boost::system::error_code error;
        const asio::ip::tcp::endpoint server(asio::ip::make_address("127.0.0.1"), port);
        co_await socket.async_connect(server, asio::redirect_error(useAwaitable, error));
        co_await asio::async_write(
            socket, asio::buffer(bytes), asio::redirect_error(useAwaitable, error));
        co_await asio::async_read(
            socket, asio::dynamic_buffer(received), asio::redirect_error(useAwaitable, error));
    }

    asio::io_context m_loop;
    std::shared_ptr<ConnectionPool> m_connections =
        std::make_shared<ConnectionPool>(m_loop, maximumConnections);
    HttpClient m_client{m_loop, 2, m_connections};
    std::unique_ptr<HttpListener> m_listener;

private:
    auto finish(Task<void> task) -> Task<void>
    {
        co_await std::move(task);
        m_finished = true;
        m_listener->stopAccepting();
        m_loop.stop();
    }

    bool m_finished = false;
};

TEST_F(HttpTest, EachRequestGetsItsOwnResponseOverKeepAliveConnections)
{
    const auto address = listen([](HttpRequest request) -> Task<HttpResponse> {
        HttpResponse response;
        response.body = request.body + request.target;
        co_return response;
    });
    const auto calls = [&]() -> Task<void> {
        for (const auto *body : {"one", "two", "three"}) {
            const auto response = co_await m_client.call(address, post(body), callTimeout);
            EXPECT_TRUE(response);
            if (response) {
                EXPECT_EQ(response.value().body, std::string(body) + "/path");
            }
        }
    };
    run(calls());
}

TEST_F(HttpTest, CallWithoutResponseHasUnknownOutcome)
{
    const auto address = listen([](HttpRequest) -> Task<HttpResponse> {
        co_await pause(testTimeout);
        co_return HttpResponse();
    });
    const auto calls = [&]() -> Task<void> {
        const auto response = co_await m_client.call(address, post("x"), Milliseconds(100));
        EXPECT_FALSE(response);
        if (!response) {
            EXPECT_EQ(response.error().type, Utils::ErrorType::OutcomeUnknown);
        }
    };
    run(calls());
}

TEST_F(HttpTest, RefusedConnectionIsUnavailable)
{
    const auto address =
        listen([](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse(); });
    m_listener->stopAccepting();
    const auto calls = [&]() -> Task<void> {
        const auto response = co_await m_client.call(address, post("x"), callTimeout);
        EXPECT_FALSE(response);
        if (!response) {
            EXPECT_EQ(response.error().type, Utils::ErrorType::Unavailable);
        }
    };
    run(calls());
}

TEST_F(HttpTest, RefusesMalformedAndOversizedRequests)
{
    const auto address =
        listen([](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse(); });
    HttpListenerLimits limits;
    limits.bodyBytes = 10;
    limits.headerBytes = 300;
    m_listener->setLimits(limits);
    const auto calls = [&]() -> Task<void> {
        std::string received;
        co_await exchangeRaw(address, "nonsense\r\n\r\n", received);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 400")) << received;
        received.clear();
        co_await exchangeRaw(
            address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", received);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 413")) << received;
        received.clear();
        co_await exchangeRaw(
            address, "GET / HTTP/1.1\r\nX: " + std::string(400, 'x') + "\r\n\r\n", received);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 431")) << received;
    };
    run(calls());
}

TEST_F(HttpTest, PassesOnTheKeptHeadersAloneEachAsOftenAsItCame)
{
    std::vector<HttpHeader> headers;
    const auto address = listen([&](HttpRequest request) -> Task<HttpResponse> {
        headers = std::move(request.headers);
        co_return plainResponse(200);
    });
    keepHeaders({"X-Kept"});
    std::string received;
    run(exchangeRaw(address,
                    "GET / HTTP/1.1\r\nHost: h\r\nx-kept: 1\r\nX-Other: 2\r\n"
                    "X-Kept: 3\r\nConnection: close\r\n\r\n",
                    received));
    ASSERT_EQ(headers.size(), 2U);
    EXPECT_EQ(headers[0].value + headers[1].value, "13");
    EXPECT_EQ(headers[1].name, "X-Kept");
}

TEST_F(HttpTest, ClosesConnectionAfterResponseWhenEndingConnections)
{
    const auto address = listen([this](HttpRequest) -> Task<HttpResponse> {
        m_listener->endConnections();
        HttpResponse response;
        response.body = "last";
        co_return response;
    });
    const auto calls = [&]() -> Task<void> {
        std::string received;
        co_await exchangeRaw(address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", received);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
        EXPECT_NE(received.find("Connection: close"), std::string::npos);
        EXPECT_TRUE(received.ends_with("last"));
    };
    run(calls());
}

// All addresses in 127.0.0.0/8 reach a listener that is bound to 0.0.0.0.
TEST_F(HttpTest, CallsToThousandServersStayWithinConnectionLimit)
{
    constexpr int servers = 1000;
    listen([](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse(); }, "0.0.0.0:0");
    const auto port = ':' + std::to_string(m_listener->port());
    auto answered = 0;
    const auto calls = [&]() -> Task<void> {
        for (auto server = 0; server < servers; ++server) {
            const auto address = "127.1." + std::to_string(server / 250) + '.'
                                 + std::to_string(server % 250 + 1) + port;
            const auto response = co_await m_client.call(address, post("x"), callTimeout);
            answered += response ? 1 : 0;
            EXPECT_LE(m_connections->openConnections(), maximumConnections);
        }
    };
    run(calls());
    EXPECT_EQ(answered, servers);
}

TEST_F(HttpTest, CallsWaitWhileAllConnectionsAreInUse)
{
    listen(
        [](HttpRequest) -> Task<HttpResponse> {
            co_await pause(Milliseconds(20));
            co_return HttpResponse();
        },
        "0.0.0.0:0");
    const auto port = ':' + std::to_string(m_listener->port());
    const auto servers = 4 * maximumConnections;
    std::size_t answered = 0;
    const auto callOne = [&](std::string address) -> Task<void> {
        const auto response = co_await m_client.call(std::move(address), post("x"), callTimeout);
        answered += response ? 1 : 0;
    };
    const auto calls = [&]() -> Task<void> {
        for (std::size_t server = 1; server <= servers; ++server)
            AsyncNet::start(m_loop, "call", callOne("127.2.0." + std::to_string(server) + port));
        while (answered < servers)
            co_await pause(Milliseconds(5));
    };
    run(calls());
    EXPECT_EQ(answered, servers);
}

// A loop that accepts one connection in each of its turns needs as many turns as there are clients.
TEST_F(HttpTest, ConnectionsThatArriveTogetherDoNotWaitForOneTurnOfABusyLoopEach)
{
    constexpr std::size_t clients = 200;
    constexpr Milliseconds turn{5};
    const auto address =
        listen([](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse(); });
    std::size_t answered = 0;
    const auto callOne = [&]() -> Task<void> {
        std::string received;
        co_await exchangeRaw(
            address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", received);
        answered += received.starts_with("HTTP/1.1 200") ? 1 : 0;
    };
    std::size_t turns = 0;
    const auto calls = [&]() -> Task<void> {
        for (std::size_t client = 0; client < clients; ++client)
            AsyncNet::start(m_loop, "call", callOne());
        const auto executor = co_await asio::this_coro::executor;
        while (answered < clients) {
            std::this_thread::sleep_for(turn);
            ++turns;
            co_await asio::post(executor, useAwaitable);
        }
    };
    run(calls());
    EXPECT_EQ(answered, clients);
    EXPECT_LT(turns, clients / 4);
}

TEST_F(HttpTest, FullListenerClosesLongestIdleConnection)
{
    const auto address =
        listen([](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse(); });
    HttpListenerLimits limits;
    limits.connections = 2;
    m_listener->setLimits(limits);
    const auto calls = [&]() -> Task<void> {
        const auto pool = [&] { return std::make_shared<ConnectionPool>(m_loop, 1); };
        std::vector<std::unique_ptr<HttpClient>> clients;
        for (auto client = 0; client < 5; ++client) {
            clients.push_back(std::make_unique<HttpClient>(m_loop, 1, pool()));
            const auto response = co_await clients.back()->call(address, post("x"), callTimeout);
            EXPECT_TRUE(response);
        }
        // The listener has closed the idle connection of this client, so the call opens a new one.
        const auto response = co_await clients.front()->call(address, post("x"), callTimeout);
        EXPECT_TRUE(response);
    };
    run(calls());
}

TEST_F(HttpTest, RequestThatDoesNotFitIntoTheBudgetGets503AndDoesNotRun)
{
    auto handled = 0;
    const auto address = listen([&](HttpRequest) -> Task<HttpResponse> {
        ++handled;
        co_return HttpResponse();
    });
    m_listener->shareBudget(std::make_shared<Utils::ByteBudget>(64 * 1024));
    Utils::Metrics metrics;
    m_listener->countRefusals(metrics);
    const auto calls = [&]() -> Task<void> {
        std::string received;
        co_await exchangeRaw(address,
                             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n"
                                 + std::string(100'000, 'x'),
                             received);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 503")) << received;
        EXPECT_NE(received.find("Retry-After: 1"), std::string::npos) << received;
        received.clear();
        co_await exchangeRaw(
            address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", received);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
    };
    run(calls());
    EXPECT_EQ(handled, 1);
    const auto text = metrics.toPrometheusText();
    EXPECT_NE(text.find(R"(refused_total{listener="test",reason="memory"} 1)"), std::string::npos)
        << text;
}

TEST_F(HttpTest, FullListenerClosesTheClientThatTakesLongestToSendItsRequest)
{
    const auto address =
        listen([](HttpRequest) -> Task<HttpResponse> { co_return HttpResponse(); });
    HttpListenerLimits limits;
    limits.connections = 2;
    m_listener->setLimits(limits);
    const auto calls = [&]() -> Task<void> {
        std::vector<std::string> unfinished(3);
        for (auto &received : unfinished)
            AsyncNet::start(m_loop, "slow", exchangeRaw(address, "GET / HT", received));
        for (auto turns = 0; turns < 50; ++turns)
            co_await asio::post(m_loop.get_executor(), useAwaitable);
        std::string received;
        co_await exchangeRaw(
            address, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", received);
        EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received;
        m_listener->stopAccepting();
    };
    run(calls());
}

/*! \brief Asks at /who for the name of the server, which is expected to be "expected". */
class NameQuestion final : public Introduction
{
public:
    auto peer() const -> std::string override { return "expected"; }
    auto request() const -> std::optional<HttpRequest> override
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/who";
        return request;
    }
    auto identify(const HttpResponse &response, const std::string &known) -> std::string override
    {
        return response.introductory ? response.body : known;
    }
};

/*! \brief Calls a server that responds with its name, and notes the paths of all requests. */
class IntroducedCall : public HttpTest
{
protected:
    auto listenAs(std::string name) -> std::string
    {
        return listen([this, name = std::move(name)](HttpRequest request) -> Task<HttpResponse> {
            m_targets.push_back(request.target);
            if (m_closes)
                m_listener->endConnections();
            HttpResponse response;
            response.body = name;
            co_return response;
        });
    }
    auto callOnce(std::string address) -> Task<Utils::Result<HttpResponse>>
    {
        auto request = post("x");
        auto response =
            co_await m_client.call(address, std::move(request), callTimeout, true, &m_question);
        co_return response;
    }

    NameQuestion m_question;
    std::vector<std::string> m_targets;
    bool m_closes = false;
};

TEST_F(IntroducedCall, AsksOnceForEachNewConnection)
{
    const auto address = listenAs("expected");
    const auto calls = [&]() -> Task<void> {
        for (auto call = 0; call < 3; ++call) {
            const auto response = co_await callOnce(address);
            EXPECT_TRUE(response && !response.value().introductory);
        }
    };
    run(calls());
    EXPECT_EQ(m_targets, (std::vector<std::string>{"/who", "/path", "/path", "/path"}));
    EXPECT_EQ(m_connections->openConnections(), 1U);
}

TEST_F(IntroducedCall, SendsNothingElseToAnotherPeer)
{
    const auto address = listenAs("another");
    const auto calls = [&]() -> Task<void> {
        for (auto call = 0; call < 2; ++call) {
            const auto response = co_await callOnce(address);
            EXPECT_TRUE(response && response.value().introductory);
            EXPECT_EQ(m_connections->openConnections(), 1U);
        }
    };
    run(calls());
    EXPECT_EQ(m_targets, (std::vector<std::string>{"/who", "/who"}));
}

TEST_F(IntroducedCall, ClosesAConnectionOnWhichNobodyHasGivenAName)
{
    const auto address = listenAs("");
    const auto calls = [&]() -> Task<void> {
        const auto response = co_await callOnce(address);
        EXPECT_TRUE(response && response.value().introductory);
        EXPECT_EQ(m_connections->openConnections(), 0U);
    };
    run(calls());
}

TEST_F(IntroducedCall, SendsNothingElseToAServerThatClosesTheConnection)
{
    m_closes = true;
    const auto address = listenAs("expected");
    const auto calls = [&]() -> Task<void> {
        const auto response = co_await callOnce(address);
        EXPECT_FALSE(response);
        if (!response) {
            EXPECT_EQ(response.error().type, Utils::ErrorType::Timeout);
        }
    };
    run(calls());
    EXPECT_EQ(m_targets, (std::vector<std::string>{"/who"}));
}

} // namespace
