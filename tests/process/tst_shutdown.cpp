#include "runningprocess.h"

#include <gtest/gtest.h>
#include <httplib.h>

#include <csignal>
#include <future>
#include <latch>
#include <thread>

namespace {

constexpr auto contractText =
    R"({"customer": "camara", "services": [{"service": "dispatch", "pool": "dispatch",
        "guaranteed_slots": 1, "max_slots": 2}],
        "disruption": {"max_unavailable_hosts": 1, "budget_host_s": 86400, "window_s": 2419200}})";

// An endpoint that holds its requests until release() is called.
class BlockingEndpoint
{
public:
    BlockingEndpoint()
    {
        m_server.Post("/trip", [this](const httplib::Request &http, httplib::Response &response) {
            m_entered.count_down();
            m_released.wait();
            response.set_header("Trefoilshelf-Request-Id",
                                http.get_header_value("Trefoilshelf-Request-Id"));
            response.set_content("whole answer", "text/plain");
        });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::jthread([this] { m_server.listen_after_bind(); });
    }
    ~BlockingEndpoint() { m_server.stop(); }
    BlockingEndpoint(const BlockingEndpoint &) = delete;
    auto operator=(const BlockingEndpoint &) -> BlockingEndpoint & = delete;

    auto announceTo(int port) const -> bool
    {
        const Utils::Json body{{"service", "dispatch"},
                               {"address", "127.0.0.1:" + std::to_string(m_port)},
                               {"host", "h1"},
                               {"rack", "r1"},
                               {"zone", "z1"},
                               {"slots", 8},
                               {"connections", 8},
                               {"incarnation", 1},
                               {"sequence", 1},
                               {"state", "serving"},
                               {"in_flight", 0}};
        httplib::Client client("127.0.0.1", port);
        const auto result =
            client.Post("/v1/endpoints/e1/announce", body.dump(), "application/json");
        return result && result->status == 200;
    }
    auto waitUntilEntered() -> void { m_entered.wait(); }
    auto release() -> void { m_released.count_down(); }

private:
    httplib::Server m_server;
    std::latch m_entered{1};
    std::latch m_released{1};
    int m_port = 0;
    std::jthread m_thread;
};

auto statusOf(int port, const char *path) -> int
{
    httplib::Client client("127.0.0.1", port);
    const auto result = client.Get(path);
    return result ? result->status : 0;
}

TEST(Shutdown, finishesRequestsInFlightAlsoAfterASecondSignal)
{
    RunningProcess process("tst_shutdown");
    const auto operators = process.port("operators");
    const auto callers = process.port("callers");
    ASSERT_GT(callers, 0);
    httplib::Client operatorClient("127.0.0.1", operators);
    const auto put = operatorClient.Put(
        "/v1/contracts/camara?accept_warnings=true", contractText, "application/json");
    ASSERT_TRUE(put);
    ASSERT_EQ(put->status, 200) << put->body;
    BlockingEndpoint endpoint;
    ASSERT_TRUE(endpoint.announceTo(process.port("endpoints")));

    auto answer = std::async(std::launch::async, [callers] {
        httplib::Client client("127.0.0.1", callers);
        client.set_read_timeout(std::chrono::seconds(60));
        const httplib::Headers headers{{"Trefoilshelf-Customer", "camara"}};
        return client.Post("/v1/services/dispatch/trip", headers, "one bin", "text/plain");
    });
    endpoint.waitUntilEntered();
    EXPECT_EQ(statusOf(callers, "/readyz"), 200);
    process.sendSignal(SIGTERM);
    // The readiness probe fails first; the listener closes when the lame-duck time has passed.
    while (statusOf(callers, "/readyz") == 200)
        std::this_thread::yield();
    process.sendSignal(SIGTERM);
    while (statusOf(callers, "/healthz") == 200)
        std::this_thread::yield();
    endpoint.release();

    const auto result = answer.get();
    ASSERT_TRUE(result) << httplib::to_string(result.error());
    EXPECT_EQ(result->body, "whole answer");
    EXPECT_EQ(result->get_header_value("Trefoilshelf-Outcome"), "ran");
    EXPECT_EQ(process.waitForExit(), 0);
}

TEST(Shutdown, anIdleProcessExitsWithSuccess)
{
    RunningProcess process("tst_shutdown_idle");
    httplib::Client kept("127.0.0.1", process.port("callers"));
    kept.set_keep_alive(true);
    ASSERT_TRUE(kept.Get("/healthz"));
    process.sendSignal(SIGTERM);
    EXPECT_EQ(process.waitForExit(), 0);
}

} // namespace
