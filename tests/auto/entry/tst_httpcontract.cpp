#include "httpfixture.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

constexpr auto customer = "Trefoilshelf-Customer";
constexpr auto authorization = "Authorization";
constexpr auto rightToken = "Bearer secret-token";

struct Case
{
    const char *name;
    const char *listener;
    const char *method;
    std::string path;
    httplib::Headers headers;
    std::string body;
    int status;
    const char *errorType; // Empty if no error is expected.
};

class HttpContract
    : public HttpFixture
    , public testing::WithParamInterface<Case>
{};

TEST_P(HttpContract, respondsWithStatusAndErrorType)
{
    const auto &expected = GetParam();
    httplib::Client client("127.0.0.1", port(expected.listener));
    httplib::Request request;
    request.method = expected.method;
    request.path = expected.path;
    request.headers = expected.headers;
    request.body = expected.body;
    const auto result = client.send(request);
    ASSERT_TRUE(result) << httplib::to_string(result.error());
    EXPECT_EQ(result->status, expected.status) << result->body;
    EXPECT_EQ(errorType(*result), expected.errorType) << result->body;
    if (std::string_view(expected.listener) == "callers" && expected.status >= 400) {
        EXPECT_EQ(result->get_header_value("Trefoilshelf-Outcome"), "not-run");
        EXPECT_TRUE(result->has_header("Retry-After"));
    }
}

const auto announcement = std::string(
    R"({"service": "dispatch", "address": "127.0.0.1:9", "host": "h1", "rack": "r1", "zone": "z1",
        "slots": 8, "connections": 64, "incarnation": 1, "sequence": 1, "state": "serving",
        "in_flight": 0})");

const httplib::Headers asCamara{{customer, "camara"}};
const httplib::Headers asAna{{authorization, rightToken}};

const std::vector<Case> cases{
    {"CallerWithoutCustomer",
     "callers",
     "GET",
     "/v1/services/dispatch/x",
     {},
     "",
     403,
     "forbidden"},
    {"CallerUnknownCustomer",
     "callers",
     "GET",
     "/v1/services/dispatch/x",
     {{customer, "nobody"}},
     "",
     403,
     "forbidden"},
    {"CallerUnknownService",
     "callers",
     "GET",
     "/v1/services/none/x",
     asCamara,
     "",
     404,
     "not-found"},
    {"CallerNoEndpoint",
     "callers",
     "GET",
     "/v1/services/dispatch/x",
     asCamara,
     "",
     503,
     "unavailable"},
    {"CallerBadDeadline",
     "callers",
     "GET",
     "/v1/services/dispatch/x",
     {{customer, "camara"}, {"Trefoilshelf-Deadline-Ms", "soon"}},
     "",
     400,
     "invalid-input"},
    {"CallerBadIdempotent",
     "callers",
     "POST",
     "/v1/services/dispatch/x",
     {{customer, "camara"}, {"Trefoilshelf-Idempotent", "maybe"}},
     "",
     400,
     "invalid-input"},
    {"CallerBadPriority",
     "callers",
     "GET",
     "/v1/services/dispatch/x",
     {{customer, "camara"}, {"Trefoilshelf-Priority", "now"}},
     "",
     400,
     "invalid-input"},
    {"CallerBodyTooLarge",
     "callers",
     "POST",
     "/v1/services/dispatch/x",
     asCamara,
     std::string(4096, 'x'),
     413,
     "limit-reached"},
    {"CallerUnknownPath", "callers", "GET", "/v2/none", {}, "", 404, "not-found"},
    {"CallerNeverServesContracts", "callers", "GET", "/v1/contracts", asAna, "", 404, "not-found"},
    {"CallerNeverServesMetrics", "callers", "GET", "/metrics", {}, "", 404, "not-found"},
    {"CallerReadiness", "callers", "GET", "/readyz", {}, "", 200, ""},
    {"EndpointAnnounces",
     "endpoints",
     "POST",
     "/v1/endpoints/e/announce",
     {},
     announcement,
     200,
     ""},
    {"EndpointBadJson",
     "endpoints",
     "POST",
     "/v1/endpoints/e/announce",
     {},
     "{",
     400,
     "invalid-input"},
    {"EndpointMissingFields",
     "endpoints",
     "POST",
     "/v1/endpoints/e/announce",
     {},
     "{}",
     400,
     "invalid-input"},
    {"EndpointWrongMethod",
     "endpoints",
     "GET",
     "/v1/endpoints/e/announce",
     {},
     "",
     404,
     "not-found"},
    {"EndpointBodyTooLarge",
     "endpoints",
     "POST",
     "/v1/endpoints/e/announce",
     {},
     std::string(4096, ' '),
     413,
     "limit-reached"},
    {"EndpointNeverServesMoves", "endpoints", "GET", "/v1/moves", asAna, "", 404, "not-found"},
    {"OperatorWithoutToken", "operators", "GET", "/v1/contracts", {}, "", 401, "unauthorized"},
    {"OperatorWrongToken",
     "operators",
     "GET",
     "/v1/contracts",
     {{authorization, "Bearer wrong"}},
     "",
     401,
     "unauthorized"},
    {"OperatorOtherScheme",
     "operators",
     "GET",
     "/v1/contracts",
     {{authorization, "Basic secret-token"}},
     "",
     401,
     "unauthorized"},
    {"OperatorLists", "operators", "GET", "/v1/contracts", asAna, "", 200, ""},
    {"OperatorUnknownCustomer",
     "operators",
     "GET",
     "/v1/contracts/none",
     asAna,
     "",
     404,
     "not-found"},
    {"OperatorBadJson",
     "operators",
     "PUT",
     "/v1/contracts/camara",
     asAna,
     "{",
     400,
     "invalid-input"},
    {"OperatorUnknownKey",
     "operators",
     "PUT",
     "/v1/autonomy",
     asAna,
     R"({"level": "full", "colour": 1})",
     400,
     "invalid-input"},
    {"OperatorUnknownMove",
     "operators",
     "POST",
     "/v1/moves/none/approve",
     asAna,
     "",
     404,
     "not-found"},
    {"OperatorBadRevision",
     "operators",
     "PUT",
     "/v1/autonomy",
     {{authorization, rightToken}, {"If-Match", "x"}},
     R"({"level": "full"})",
     400,
     "invalid-input"},
    {"OperatorUnknownPath", "operators", "GET", "/v1/none", asAna, "", 404, "not-found"},
    {"OperatorMetrics", "operators", "GET", "/metrics", {}, "", 200, ""},
};

INSTANTIATE_TEST_SUITE_P(Table, HttpContract, testing::ValuesIn(cases), [](const auto &info) {
    return info.param.name;
});

class HttpInterfaces : public HttpFixture
{};

TEST_F(HttpInterfaces, resentCommandGetsFirstResponse)
{
    httplib::Client client("127.0.0.1", m_operatorServer.port());
    const httplib::Headers headers{{authorization, rightToken},
                                   {"Trefoilshelf-Command-Id", "command-1"}};
    const auto put = [&] {
        return client.Put("/v1/autonomy", headers, R"({"level": "full"})", "application/json");
    };
    const auto first = put();
    const auto second = put();
    ASSERT_TRUE(first);
    ASSERT_TRUE(second);
    EXPECT_EQ(first->status, 200) << first->body;
    const auto revisionOf = [](const httplib::Response &response) {
        return Utils::Json::parse(response.body)["revision"].get<std::int64_t>();
    };
    EXPECT_EQ(revisionOf(*first), revisionOf(*second));
}

TEST_F(HttpInterfaces, staleRevisionIsAConflict)
{
    httplib::Client client("127.0.0.1", m_operatorServer.port());
    const httplib::Headers headers{{authorization, rightToken}, {"If-Match", "999"}};
    const auto result =
        client.Put("/v1/contracts/camara", headers, contractText, "application/json");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 409) << result->body;
    EXPECT_EQ(errorType(*result), "conflict");
}

TEST_F(HttpInterfaces, auditTrailNamesOperator)
{
    httplib::Client client("127.0.0.1", m_operatorServer.port());
    ASSERT_TRUE(client.Put("/v1/autonomy", asAna, R"({"level": "full"})", "application/json"));
    const auto audit = client.Get("/v1/audit", asAna);
    ASSERT_TRUE(audit);
    EXPECT_NE(audit->body.find(R"("actor":"ana")"), std::string::npos);
}

TEST_F(HttpInterfaces, withoutQuorumCommandFailsAndReadinessReportsIt)
{
    m_log.setHasQuorum(false);
    httplib::Client operators("127.0.0.1", m_operatorServer.port());
    const auto put =
        operators.Put("/v1/autonomy", asAna, R"({"level": "full"})", "application/json");
    ASSERT_TRUE(put);
    EXPECT_EQ(put->status, 503);
    EXPECT_EQ(errorType(*put), "no-quorum");
    httplib::Client callers("127.0.0.1", m_callerServer.port());
    const auto ready = callers.Get("/readyz");
    ASSERT_TRUE(ready);
    EXPECT_EQ(ready->status, 200);
    EXPECT_EQ(Utils::Json::parse(ready->body)["has_quorum"], false);
}

TEST_F(HttpInterfaces, stoppingProcessIsNotReadyAndEndsConnections)
{
    m_stopping = true;
    m_callerServer.endConnections();
    httplib::Client client("127.0.0.1", m_callerServer.port());
    const auto ready = client.Get("/readyz");
    ASSERT_TRUE(ready);
    EXPECT_EQ(ready->status, 503);
    EXPECT_EQ(ready->get_header_value("Connection"), "close");
}

TEST_F(HttpInterfaces, handlerExceptionIsATypedErrorWithoutInternals)
{
    Entry::HttpServer server(options("callers"));
    server.routes().Get("/throws", [](const httplib::Request &, httplib::Response &) {
        throw std::runtime_error("internal detail");
    });
    ASSERT_TRUE(server.start());
    httplib::Client client("127.0.0.1", server.port());
    const auto result = client.Get("/throws");
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, 500);
    EXPECT_EQ(errorType(*result), "outcome-unknown");
    EXPECT_EQ(result->get_header_value("Trefoilshelf-Outcome"), "unknown");
    EXPECT_EQ(result->body.find("internal detail"), std::string::npos);
}

TEST_F(HttpInterfaces, startFailsIfPortIsInUse)
{
    auto sameAddress = options("callers");
    sameAddress.address = "127.0.0.1:" + std::to_string(m_callerServer.port());
    Entry::HttpServer second(sameAddress);
    const auto started = second.start();
    ASSERT_FALSE(started);
    EXPECT_EQ(started.error().type, Utils::ErrorType::IoFailure);
}

TEST_F(HttpInterfaces, failedLoginsAreCounted)
{
    httplib::Client client("127.0.0.1", m_operatorServer.port());
    ASSERT_TRUE(client.Get("/v1/contracts"));
    const auto metrics = client.Get("/metrics");
    ASSERT_TRUE(metrics);
    EXPECT_NE(
        metrics->body.find(
            R"(trefoilshelf_http_refused_total{listener="operators",reason="unauthorized"} 1)"),
        std::string::npos)
        << metrics->body;
}

TEST_F(HttpInterfaces, requestMetricsContainOnlyNamesFromContracts)
{
    httplib::Client client("127.0.0.1", m_callerServer.port());
    ASSERT_TRUE(client.Get("/v1/services/dispatch/x", asCamara));
    ASSERT_TRUE(client.Get("/v1/services/dispatch/x", {{customer, "made-up"}}));
    const auto text = m_metrics.toPrometheusText();
    const std::string counter = "trefoilshelf_requests_total{customer=";
    EXPECT_NE(text.find(counter + R"("camara",service="dispatch",outcome="not-run"} 1)"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find(counter + R"("",service="",outcome="not-run"} 1)"), std::string::npos);
    EXPECT_EQ(text.find("made-up"), std::string::npos);
}

struct RawCase
{
    const char *name;
    std::string request;
    const char *statusLine; // Expected start of the status line.
    const char *reason;     // Expected label of the refusal metric.
};

class RawRequests
    : public HttpFixture
    , public testing::WithParamInterface<RawCase>
{
protected:
    // Sends the request and returns all data received until the server closes the connection.
    auto exchange(const std::string &request) const -> std::string
    {
        const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(std::uint16_t(m_callerServer.port()));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof address), 0);
        EXPECT_EQ(::send(socket, request.data(), request.size(), MSG_NOSIGNAL),
                  ssize_t(request.size()));
        std::string response;
        std::array<char, 512> buffer{};
        for (auto count = ::recv(socket, buffer.data(), buffer.size(), 0); count > 0;
             count = ::recv(socket, buffer.data(), buffer.size(), 0))
            response.append(buffer.data(), std::size_t(count));
        ::close(socket);
        return response;
    }
};

TEST_P(RawRequests, areRefusedAndCounted)
{
    const auto response = exchange(GetParam().request);
    EXPECT_TRUE(response.starts_with(GetParam().statusLine)) << response;
    EXPECT_NE(response.find("Trefoilshelf-Outcome: not-run"), std::string::npos) << response;
    const auto series =
        std::string("trefoilshelf_http_refused_total{listener=\"callers\",reason=\"")
        + GetParam().reason + "\"} 1\n";
    EXPECT_NE(m_metrics.toPrometheusText().find(series), std::string::npos)
        << m_metrics.toPrometheusText();
}

const std::string closing = "Connection: close\r\n";

INSTANTIATE_TEST_SUITE_P(
    Table,
    RawRequests,
    testing::Values(
        RawCase{"NotHttp", "hello\r\n\r\n", "HTTP/1.1 400 ", "bad-request"},
        RawCase{"HeaderTooLarge",
                "GET / HTTP/1.1\r\nX: " + std::string(1500, 'x') + "\r\n\r\n",
                "HTTP/1.1 431 ",
                "header-bytes"},
        RawCase{"HeaderNeverEnds", "GET / HTTP/1.1\r\nX: y\r\n", "HTTP/1.1 408 ", "slow-client"},
        RawCase{"BodyTooShort",
                "POST /v1/services/dispatch/x HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc",
                "HTTP/1.1 400 ",
                "incomplete-request"},
        RawCase{
            "ChunkedBodyTooLarge",
            "POST /v1/services/dispatch/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n"
                + std::string(0x20000, 'x') + "\r\n0\r\n\r\n",
            "HTTP/1.1 400 ",
            "incomplete-request"},
        RawCase{"PostWithoutLength",
                "POST /none HTTP/1.1\r\n" + closing + "\r\n",
                "HTTP/1.1 404 ",
                "unknown-path"}),
    [](const auto &info) { return info.param.name; });

} // namespace
