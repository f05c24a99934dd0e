#include "immediatelog.h"

#include "entry/operatorinterface.h"

#include <gtest/gtest.h>
#include <httplib.h>

namespace {

constexpr auto contractText = R"({"customer":"camara",
  "services":[{"service":"dispatch","pool":"dispatch","guaranteed_slots":8,"max_slots":64}],
  "disruption":{"max_unavailable_hosts":1,"budget_host_s":36000,"window_s":2419200}})";
constexpr auto smallBudgetText = R"({"customer":"camara",
  "services":[{"service":"dispatch","pool":"dispatch","guaranteed_slots":8,"max_slots":64}],
  "disruption":{"max_unavailable_hosts":1,"budget_host_s":60,"window_s":2419200}})";

struct RequestCase
{
    std::string method;
    std::string path;
    std::string body;
    int status;
    std::string bodyPart;
};

class OperatorInterface : public testing::Test
{
protected:
    OperatorInterface() { EXPECT_TRUE(server.start()); }
    ~OperatorInterface() override { server.stop(); }

    auto send(const std::string &method,
              const std::string &path,
              const std::string &body = {},
              const httplib::Headers &headers = {}) -> httplib::Response
    {
        httplib::Client client("127.0.0.1", server.port());
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.body = body;
        request.headers = headers;
        const auto result = client.send(request);
        return result ? *result : httplib::Response();
    }

    Settings::Settings settings;
    Utils::SystemClock clock;
    Utils::IdGenerator ids{1};
    Fleet::Replica replica;
    ImmediateLog log{replica};
    Fleet::Gateway gateway{log, clock, ids, Utils::Milliseconds(5000)};
    Entry::HttpServer server{{"operators", "127.0.0.1:0"}};
    Entry::OperatorInterface operators{server, {settings, replica, gateway, log, ids}};
};

} // namespace

TEST_F(OperatorInterface, RespondsToEachPathWithStatusAndBody)
{
    const std::vector<RequestCase> cases{
        {"PUT", "/v1/contracts/camara", contractText, 200, "in_force"},
        {"PUT", "/v1/contracts/other", contractText, 400, "different customers"},
        {"PUT", "/v1/contracts/camara", smallBudgetText, 409, "60 is below the 1800"},
        {"PUT", "/v1/contracts/camara?accept_warnings=true", smallBudgetText, 200, "revision"},
        {"GET", "/v1/contracts/camara", "", 200, "budget_host_s"},
        {"GET", "/v1/contracts/none", "", 404, "not-found"},
        {"GET", "/v1/hosts/none", "", 404, "not-found"},
        {"POST", "/v1/maintenance", R"({"pool":"dispatch"})", 409, "the pool has no hosts"},
        {"POST", "/v1/maintenance/none/pause", "", 404, "not-found"},
        {"POST", "/v1/moves/none/approve", "", 404, "not-found"},
        {"GET", "/v1/explain", "", 200, "no maintenance wave is open"},
        {"GET", "/v1/explain/none", "", 404, "not-found"},
        {"GET", "/v1/autonomy", "", 200, "manual"},
        {"POST", "/v1/override", R"({"action":"none","reason":"r"})", 400, "must be one of"},
        {"POST",
         "/v1/override",
         R"({"action":"cancel-move","move":"m","reason":""})",
         400,
         "reason"},
    };
    for (const auto &testCase : cases) {
        const auto response = send(testCase.method, testCase.path, testCase.body);
        EXPECT_EQ(response.status, testCase.status) << testCase.path << ' ' << response.body;
        EXPECT_NE(response.body.find(testCase.bodyPart), std::string::npos)
            << testCase.path << ' ' << response.body;
    }
}

TEST_F(OperatorInterface, ResentCommandGetsFirstResponseAndStaleEditGetsConflict)
{
    const httplib::Headers resent{{"Trefoilshelf-Command-Id", "command-1"}};
    const auto first = send("PUT", "/v1/contracts/camara", contractText, resent);
    const auto second = send("PUT", "/v1/contracts/camara", contractText, resent);
    EXPECT_EQ(Utils::Json::parse(first.body)["revision"],
              Utils::Json::parse(second.body)["revision"]);
    const auto stale = send("PUT", "/v1/contracts/camara", contractText, {{"If-Match", "999"}});
    EXPECT_EQ(stale.status, 409) << stale.body;
}

TEST_F(OperatorInterface, PausesWaveByPoolAndExplainsIt)
{
    send("PUT", "/v1/contracts/camara", contractText);
    ASSERT_TRUE(gateway.execute(Fleet::RegisterHost{"h1", "dispatch", "z1", "r1", 8}, {}));
    ASSERT_EQ(send("POST", "/v1/maintenance", R"({"pool":"dispatch"})").status, 200);
    EXPECT_EQ(send("POST", "/v1/maintenance/dispatch/pause").status, 200);
    EXPECT_NE(send("GET", "/v1/explain").body.find("is paused by an operator"), std::string::npos);
    EXPECT_EQ(send("POST", "/v1/maintenance/dispatch/resume").status, 200);
    EXPECT_NE(send("GET", "/v1/explain/h1").body.find("permits a stop"), std::string::npos);
}
