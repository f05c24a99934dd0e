#include "platform/hostclient.h"

#include "asyncnet/httplistener.h"

#include <gtest/gtest.h>

namespace {

using AsyncNet::HttpRequest;
using AsyncNet::HttpResponse;
using AsyncNet::Task;

constexpr Utils::Milliseconds testTimeout{20'000};

class HostClientTest : public testing::Test
{
protected:
    // Requests the list of hosts from a provider that replies to each target with a page.
    auto list(std::function<std::string(const std::string &)> page) -> Execution::HostList
    {
        AsyncNet::HttpListener provider(
            m_loop, "provider", [page](HttpRequest request) -> Task<HttpResponse> {
                HttpResponse response;
                response.body = page(request.target);
                co_return response;
            });
        EXPECT_TRUE(provider.start("127.0.0.1:0"));
        Platform::HostClient client(
            m_loop, "127.0.0.1:" + std::to_string(provider.port()), "control-1");
        Execution::HostList hosts;
        const auto request = [&]() -> Task<void> {
            hosts = co_await client.list();
            m_finished = true;
            m_loop.stop();
        };
        AsyncNet::start(m_loop, "test", request());
        m_loop.run_for(testTimeout);
        EXPECT_TRUE(m_finished);
        return hosts;
    }

    // Orders maintenance from a provider that responds with \a status.
    auto maintain(int status) -> Execution::HostOrderResult
    {
        AsyncNet::HttpListener provider(
            m_loop, "provider", [status](HttpRequest) -> Task<HttpResponse> {
                co_return AsyncNet::plainResponse(status);
            });
        EXPECT_TRUE(provider.start("127.0.0.1:0"));
        Platform::HostClient client(
            m_loop, "127.0.0.1:" + std::to_string(provider.port()), "control-1");
        auto result = Execution::HostOrderResult::Refused;
        m_finished = false;
        const auto request = [&]() -> Task<void> {
            result = co_await client.maintain("host-1", 1, 1);
            m_finished = true;
            m_loop.stop();
        };
        AsyncNet::start(m_loop, "test", request());
        m_loop.restart();
        m_loop.run_for(testTimeout);
        EXPECT_TRUE(m_finished);
        return result;
    }

private:
    AsyncNet::asio::io_context m_loop;
    bool m_finished = false;
};

TEST_F(HostClientTest, ListIsCompleteAfterItsLastPage)
{
    const auto hosts = list([](const std::string &target) -> std::string {
        if (target == "/trefoilshelf/machines")
            return R"({"machines":[{"machine":"m1","state":"up"},{"machine":"m2","state":"odd"}],
                       "next_token":"2"})";
        EXPECT_EQ(target, "/trefoilshelf/machines?page_token=2");
        return R"({"machines":[{"machine":"m3","state":"up"}]})";
    });
    EXPECT_TRUE(hosts.complete);
    EXPECT_TRUE(hosts.hasUnreadable);
    ASSERT_EQ(hosts.hosts.size(), 2U);
    EXPECT_EQ(hosts.hosts[0].name, "m1");
    EXPECT_EQ(hosts.hosts[1].name, "m3");
}

TEST_F(HostClientTest, OnlyAClearRefusalSaysThatAnOrderIsNotCarriedOut)
{
    using Execution::HostOrderResult;
    EXPECT_EQ(maintain(200), HostOrderResult::Accepted);
    EXPECT_EQ(maintain(429), HostOrderResult::Busy);
    EXPECT_EQ(maintain(503), HostOrderResult::Busy);
    EXPECT_EQ(maintain(500), HostOrderResult::Unknown);
    EXPECT_EQ(maintain(504), HostOrderResult::Unknown);
}

TEST_F(HostClientTest, ListWithoutItsLastPageIsNotComplete)
{
    const auto hosts = list([](const std::string &) -> std::string {
        return R"({"machines":[{"machine":"m1","state":"up"}],"next_token":"more"})";
    });
    EXPECT_FALSE(hosts.complete);
    EXPECT_FALSE(hosts.hasUnreadable);
}

} // namespace
