#include "operatorinterface.h"

#include "utils/ids.h"

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

auto parseRevision(std::string_view text) -> Result<Fleet::Revision>
{
    Fleet::Revision revision = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), revision);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size())
        return failure(
            ErrorType::InvalidInput, "a revision must be a whole number", std::string(text));
    return revision;
}

template <typename Map>
auto valuesOf(const Map &map) -> Json
{
    auto array = Json::array();
    for (const auto &[key, value] : map)
        array.push_back(Utils::toJson(value));
    return array;
}

struct MaintenanceOrder
{
    std::string pool;
    std::vector<std::string> hosts;
};

template <typename Archive>
auto describe(Archive &archive, MaintenanceOrder &order) -> void
{
    archive.required("pool", order.pool);
    archive.optional("hosts", order.hosts);
}

} // namespace

auto OperatorInterface::routeTable() -> std::span<const Route>
{
    static constexpr std::array routes{
        Route{"PUT", R"(/v1/contracts/([^/]+))", &OperatorInterface::putContract},
        Route{"GET", R"(/v1/contracts)", &OperatorInterface::listContracts},
        Route{"GET", R"(/v1/contracts/([^/]+))", &OperatorInterface::showContract},
        Route{"PUT", R"(/v1/pools/([^/]+))", &OperatorInterface::putPool},
        Route{"GET", R"(/v1/pools)", &OperatorInterface::listPools},
        Route{"GET", R"(/v1/hosts)", &OperatorInterface::listHosts},
        Route{"GET", R"(/v1/moves)", &OperatorInterface::listMoves},
        Route{"POST", R"(/v1/moves/([^/]+)/(approve|reject))", &OperatorInterface::decideMove},
        Route{"POST", R"(/v1/maintenance)", &OperatorInterface::startMaintenance},
        Route{"GET", R"(/v1/maintenance)", &OperatorInterface::listMaintenance},
        Route{"PUT", R"(/v1/autonomy)", &OperatorInterface::putAutonomy},
        Route{"GET", R"(/v1/audit)", &OperatorInterface::listAudit},
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
    const auto answer = (this->*route.handler)(http, actor.value());
    if (answer)
        setJson(response, answer.value());
    else
        setError(response, answer.error());
}

auto OperatorInterface::authenticate(const httplib::Request &http) const -> Result<std::string>
{
    if (m_context.settings.operators.empty())
        return std::string(localOperator);
    const auto header = http.get_header_value("Authorization");
    if (!header.starts_with(bearerPrefix))
        return failure(ErrorType::Unauthorized, "a bearer token is needed");
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
                {"in_force", inForce(result.revision)}};
}

auto OperatorInterface::inForce(Fleet::Revision revision) const -> Json
{
    const auto status = m_context.log.status();
    std::size_t acknowledged = 0;
    for (const auto &[process, progress] : status.progress)
        acknowledged += progress.appliedRevision >= revision ? 1 : 0;
    return {{"acknowledged", acknowledged}, {"of", status.progress.size()}};
}

auto OperatorInterface::putContract(const httplib::Request &http, const std::string &actor)
    -> Result<Json>
{
    BOOST_OUTCOME_TRY(contract, Utils::fromJsonText<Fleet::Contract>(http.body));
    if (contract.customer != http.matches[1].str())
        return failure(ErrorType::InvalidInput,
                       "the path and the body name different customers",
                       contract.customer);
    const auto accept = http.get_param_value("accept_warnings") == "true";
    return execute(http, actor, Fleet::PutContract{std::move(contract), accept});
}

auto OperatorInterface::listContracts(const httplib::Request &, const std::string &) -> Result<Json>
{
    return m_context.replica.read([](const auto &state) { return valuesOf(state.contracts()); });
}

auto OperatorInterface::showContract(const httplib::Request &http, const std::string &)
    -> Result<Json>
{
    const auto customer = http.matches[1].str();
    return m_context.replica.read([&](const Fleet::State &state) -> Result<Json> {
        const auto *contract = state.findContract(customer);
        if (!contract)
            return failure(ErrorType::NotFound, "unknown customer", customer);
        return Utils::toJson(*contract);
    });
}

auto OperatorInterface::putPool(const httplib::Request &http, const std::string &actor)
    -> Result<Json>
{
    BOOST_OUTCOME_TRY(pool, Utils::fromJsonText<Fleet::Pool>(http.body));
    if (pool.pool != http.matches[1].str())
        return failure(
            ErrorType::InvalidInput, "the path and the body name different pools", pool.pool);
    return execute(http, actor, Fleet::PutPool{std::move(pool)});
}

auto OperatorInterface::listPools(const httplib::Request &, const std::string &) -> Result<Json>
{
    return m_context.replica.read([](const auto &state) { return valuesOf(state.pools()); });
}

auto OperatorInterface::listHosts(const httplib::Request &, const std::string &) -> Result<Json>
{
    return m_context.replica.read([](const auto &state) { return valuesOf(state.hosts()); });
}

auto OperatorInterface::listMoves(const httplib::Request &, const std::string &) -> Result<Json>
{
    return m_context.replica.read([](const auto &state) { return valuesOf(state.moves()); });
}

auto OperatorInterface::decideMove(const httplib::Request &http, const std::string &actor)
    -> Result<Json>
{
    return execute(
        http, actor, Fleet::DecideMove{http.matches[1].str(), http.matches[2].str() == "approve"});
}

auto OperatorInterface::startMaintenance(const httplib::Request &http, const std::string &actor)
    -> Result<Json>
{
    BOOST_OUTCOME_TRY(order, Utils::fromJsonText<MaintenanceOrder>(http.body));
    Fleet::Wave wave;
    wave.id = m_context.ids.next("wave");
    wave.pool = order.pool;
    wave.hosts = order.hosts;
    return execute(http, actor, Fleet::StartWave{std::move(wave)});
}

auto OperatorInterface::listMaintenance(const httplib::Request &, const std::string &)
    -> Result<Json>
{
    return m_context.replica.read([](const auto &state) { return valuesOf(state.waves()); });
}

auto OperatorInterface::putAutonomy(const httplib::Request &http, const std::string &actor)
    -> Result<Json>
{
    BOOST_OUTCOME_TRY(command, Utils::fromJsonText<Fleet::SetAutonomy>(http.body));
    return execute(http, actor, std::move(command));
}

auto OperatorInterface::listAudit(const httplib::Request &http, const std::string &) -> Result<Json>
{
    Fleet::Revision since = 0;
    if (http.has_param("since")) {
        BOOST_OUTCOME_TRY(parsed, parseRevision(http.get_param_value("since")));
        since = parsed;
    }
    const auto customer = http.get_param_value("customer");
    const auto host = http.get_param_value("host");
    return m_context.replica.read([&](const Fleet::State &state) {
        auto array = Json::array();
        for (const auto &record : state.audit()) {
            const auto wanted = record.revision >= since
                                && (customer.empty() || record.customer == customer)
                                && (host.empty() || record.host == host);
            if (wanted)
                array.push_back(Utils::toJson(record));
        }
        return array;
    });
}

auto OperatorInterface::showStatus(const httplib::Request &, const std::string &) -> Result<Json>
{
    const auto status = m_context.log.status();
    auto processes = Json::object();
    for (const auto &[process, progress] : status.progress) {
        processes[process] = {{"applied_revision", progress.appliedRevision},
                              {"age_ms", progress.age.count()}};
    }
    return Json{{"process", m_context.settings.id},
                {"zone", m_context.settings.zone},
                {"leader", status.leaderId},
                {"term", status.term},
                {"commit_revision", status.commitRevision},
                {"applied_revision", m_context.replica.revision()},
                {"has_quorum", status.hasQuorum},
                {"processes", processes}};
}

} // namespace Entry
