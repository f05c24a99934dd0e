#pragma once

#include "immediatelog.h"

#include "entry/callerinterface.h"
#include "entry/endpointinterface.h"
#include "entry/operatorinterface.h"
#include "entry/probeinterface.h"
#include "utils/taskarena.h"

#include <gtest/gtest.h>
#include <httplib.h>

/*! \brief Runs the three HTTP interfaces on free ports with a shared state. */
class HttpFixture : public testing::Test
{
protected:
    static constexpr auto token = "secret-token";
    static constexpr std::int64_t bodyBytes = 2048;

    static auto settings() -> Settings::Settings
    {
        Settings::Settings settings;
        settings.operators = {{"ana", Utils::sha256Hex(token)}};
        return settings;
    }
    auto options(const std::string &name) -> Entry::HttpServerOptions
    {
        return {name,
                "127.0.0.1:0",
                4,
                bodyBytes,
                std::chrono::milliseconds(300),
                1024,
                std::chrono::seconds(30),
                &m_metrics,
                name == "callers"};
    }
    auto SetUp() -> void override
    {
        m_probes.addProbes(m_callerServer);
        m_probes.addProbes(m_operatorServer);
        m_probes.addMetrics(m_operatorServer);
        ASSERT_TRUE(m_callerServer.start());
        ASSERT_TRUE(m_endpointServer.start());
        ASSERT_TRUE(m_operatorServer.start());
        const auto contract = Utils::fromJsonText<Fleet::Contract>(contractText);
        ASSERT_TRUE(contract);
        ASSERT_TRUE(
            m_gateway.execute(Fleet::PutContract{contract.value(), true}, {"test", {}, {}, {}}));
    }
    auto port(std::string_view listener) const -> int
    {
        if (listener == "callers")
            return m_callerServer.port();
        return listener == "endpoints" ? m_endpointServer.port() : m_operatorServer.port();
    }
    static auto errorType(const httplib::Response &response) -> std::string
    {
        const auto json = Utils::parseJsonText(response.body, false);
        if (!json || !json.value().contains("error"))
            return {};
        return json.value()["error"]["type"].get<std::string>();
    }

    static constexpr auto contractText =
        R"({"customer": "camara", "services": [{"service": "dispatch", "pool": "dispatch",
            "guaranteed_slots": 1, "max_slots": 2}],
            "disruption": {"max_unavailable_hosts": 1, "budget_host_s": 100, "window_s": 100}})";

    Utils::ThreadLimit m_threads{32};
    Settings::Settings m_settings = settings();
    Utils::SystemClock m_clock;
    Utils::IdGenerator m_ids{1};
    Utils::Metrics m_metrics;
    std::atomic<bool> m_stopping = false;
    Fleet::Replica m_replica;
    ImmediateLog m_log{m_replica};
    Fleet::Gateway m_gateway{m_log, m_clock, m_ids, std::chrono::seconds(1)};
    Membership::EndpointDirectory m_directory{m_clock, std::chrono::seconds(30)};
    Routing::Dispatcher m_dispatcher{m_clock, m_replica, m_directory};
    Routing::ClaimSettler m_settler{m_gateway, "e1"};
    Routing::ClaimedDispatch m_claimed{
        m_clock, m_dispatcher, m_gateway, m_replica, m_settler, {"e1", 1, 100}};
    Entry::HttpServer m_callerServer{options("callers")};
    Entry::HttpServer m_endpointServer{options("endpoints")};
    Entry::HttpServer m_operatorServer{options("operators")};
    Entry::CallerInterface m_callers{
        m_callerServer, {m_clock, m_ids, m_replica, m_dispatcher, m_claimed, &m_metrics}};
    Entry::EndpointInterface m_endpoints{m_endpointServer,
                                         {m_replica, m_gateway, m_directory, "e1"}};
    Entry::OperatorInterface m_operators{m_operatorServer,
                                         {m_settings, m_replica, m_gateway, m_log, m_ids}};
    Entry::ProbeInterface m_probes{
        {"e1", "z1", m_log, m_metrics, m_stopping, {&m_callerServer, &m_operatorServer}}};
};
