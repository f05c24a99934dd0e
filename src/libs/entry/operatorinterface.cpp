#include "operatorinterface.h"

#include "utils/ids.h"
#include "utils/stopsignal.h"

#include <httplib.h>

#include <array>
#include <charconv>

namespace Entry {

using Utils::ErrorType;
using Utils::failure;
using Utils::Json;
using Utils::Result;

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr auto localOperator = "local-operator";

constexpr std::chrono::milliseconds applyTimeout{2000};
constexpr Utils::Milliseconds leaderStatusTimeout{500};
constexpr std::chrono::milliseconds applyPollInterval{20};
// Maximum time since the last report of a process that counts as live.
constexpr Utils::Milliseconds maximumLiveAge{10'000};

} // namespace

auto parseRevision(std::string_view text) -> Result<Fleet::Revision>
{
    Fleet::Revision revision = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), revision);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return failure(
            ErrorType::InvalidInput, "a revision must be a whole number", std::string(text));
    return revision;
}

auto OperatorInterface::routeTable() -> std::span<const Route>
{
    static constexpr std::array routes{
        Route{"PUT", R"(/v1/contracts/([^/]+))", &OperatorInterface::putContract},
        Route{"GET", R"(/v1/contracts)", &OperatorInterface::listContracts},
        Route{"GET", R"(/v1/contracts/([^/]+))", &OperatorInterface::showContract},
        Route{"PUT", R"(/v1/pools/([^/]+))", &OperatorInterface::putPool},
        Route{"GET", R"(/v1/pools)", &OperatorInterface::listPools},
        Route{"GET", R"(/v1/hosts)", &OperatorInterface::listHosts},
        Route{"GET", R"(/v1/hosts/([^/]+))", &OperatorInterface::showHost},
        Route{"GET", R"(/v1/moves)", &OperatorInterface::listMoves},
        Route{"POST", R"(/v1/moves/([^/]+)/(approve|reject))", &OperatorInterface::decideMove},
        Route{"POST", R"(/v1/maintenance)", &OperatorInterface::startMaintenance},
        Route{"GET", R"(/v1/maintenance)", &OperatorInterface::listMaintenance},
        Route{"POST",
              R"(/v1/maintenance/([^/]+)/(pause|resume))",
              &OperatorInterface::pauseMaintenance},
        Route{"POST", R"(/v1/override)", &OperatorInterface::overrideMove},
        Route{"GET", R"(/v1/explain)", &OperatorInterface::explainWaiting},
        Route{"GET", R"(/v1/explain/([^/]+))", &OperatorInterface::explainSubject},
        Route{"GET", R"(/v1/plan)", &OperatorInterface::showPlan},
        Route{"GET", R"(/v1/autonomy)", &OperatorInterface::showAutonomy},
        Route{"PUT", R"(/v1/autonomy)", &OperatorInterface::putAutonomy},
        Route{"GET", R"(/v1/audit)", &OperatorInterface::listAudit},
        Route{"GET", R"(/v1/events)", &OperatorInterface::listEvents},
        Route{"POST", R"(/v1/voters/replace)", &OperatorInterface::replaceVoter},
        Route{"GET", R"(/v1/status)", &OperatorInterface::showStatus},
    };
    return routes;
}

OperatorInterface::OperatorInterface(HttpServer &server, OperatorContext context)
    : m_context(context)
{
    for (const auto &route : routeTable()) {
        const auto handler = [this, &route](const httplib::Request &http,
                                            httplib::Response &response) {
            handle(route, http, response);
        };
        if (route.method == "GET")
            server.routes().Get(route.pattern, handler);
        else if (route.method == "PUT")
            server.routes().Put(route.pattern, handler);
        else
            server.routes().Post(route.pattern, handler);
    }
}

auto OperatorInterface::handle(const Route &route,
                               const httplib::Request &http,
                               httplib::Response &response) -> void
{
    const auto actor = authenticate(http);
    if (!actor) {
        setError(response, actor.error());
        return;
    }
    const auto result = (this->*route.handler)(http, actor.value());
    if (result)
        setJson(response, result.value());
    else
        setError(response, result.error());
}

auto OperatorInterface::authenticate(const httplib::Request &http) const -> Result<std::string>
{
    if (m_context.settings.operators.empty())
        return std::string(localOperator);
    const auto header = http.get_header_value("Authorization");
    if (!header.starts_with(bearerPrefix))
        return failure(ErrorType::Unauthorized, "a bearer token is required");
    const auto digest = Utils::sha256Hex(std::string_view(header).substr(bearerPrefix.size()));
    std::string name;
    for (const auto &account : m_context.settings.operators) {
        if (Utils::equalInConstantTime(digest, account.tokenSha256))
            name = account.name;
    }
    if (name.empty())
        return failure(ErrorType::Unauthorized, "the bearer token is not known");
    return name;
}

auto OperatorInterface::execute(const httplib::Request &http,
                                const std::string &actor,
                                Fleet::CommandBody body) -> Result<Json>
{
    Fleet::CommandOrigin origin;
    origin.actor = actor;
    origin.cause = "operator command";
    origin.commandId = http.get_header_value("Trefoilshelf-Command-Id");
    if (origin.commandId.empty())
        origin.commandId = m_context.ids.next("command");
    if (http.has_header("If-Match")) {
        BOOST_OUTCOME_TRY(revision, parseRevision(http.get_header_value("If-Match")));
        origin.expectedRevision = revision;
    }
    const auto commandId = origin.commandId;
    BOOST_OUTCOME_TRY(result, m_context.gateway.execute(std::move(body), std::move(origin)));
    return Json{{"command_id", commandId},
                {"revision", result.revision},
                {"subject", result.subject},
                {"value", result.value},
                {"in_force", waitUntilApplied(result.revision)}};
}

auto OperatorInterface::leaderView() const -> LeaderView
{
    auto status = m_context.log.leaderStatus(leaderStatusTimeout);
    if (status)
        return {std::move(status.value()), true};
    return {m_context.log.status(), false};
}

auto OperatorInterface::waitUntilApplied(Fleet::Revision revision) const -> Json
{
    Utils::StopSignal pause;
    const auto deadline = std::chrono::steady_clock::now() + applyTimeout;
    for (;;) {
        auto missing = Json::array();
        std::size_t live = 0;
        for (const auto &[process, progress] : leaderView().status.progress) {
            if (progress.age > maximumLiveAge)
                continue;
            ++live;
            if (progress.appliedRevision < revision)
                missing.push_back(process);
        }
        if (missing.empty() || std::chrono::steady_clock::now() >= deadline)
            return {{"acknowledged", live - missing.size()}, {"of", live}, {"missing", missing}};
        pause.waitFor(applyPollInterval);
    }
}

} // namespace Entry
