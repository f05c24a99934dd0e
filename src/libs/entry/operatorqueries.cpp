#include "operatorinterface.h"

#include "fleet/contractcheck.h"
#include "planning/bufferplanner.h"
#include "planning/explanation.h"

#include <httplib.h>

namespace Entry {

using Utils::ErrorType;
using Utils::failure;
using Utils::Json;
using Utils::Result;

namespace {

template <typename Map>
auto valuesOf(const Map &map) -> Json
{
    auto array = Json::array();
    for (const auto &[key, value] : map)
        array.push_back(Utils::toJson(value));
    return array;
}

// The budget status depends on the current time, so it is computed for each response.
auto contractWithStatus(const Fleet::Contract &contract,
                        const Fleet::State &state,
                        Fleet::WallTimeMs nowMs) -> Json
{
    auto json = Utils::toJson(contract);
    json["budget"] = Utils::toJson(state.ledger().status(contract, nowMs));
    const Fleet::ContractCheckInput input{state.contracts(), state.pools(), state.hosts()};
    json["findings"] = Utils::toJson(Fleet::findingsOf(contract, input));
    return json;
}

} // namespace

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
        return contractWithStatus(*contract, state, Utils::SystemClock().wallTime());
    });
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

auto OperatorInterface::listMaintenance(const httplib::Request &, const std::string &)
    -> Result<Json>
{
    return m_context.replica.read([](const auto &state) { return valuesOf(state.waves()); });
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
    const auto matchingRecords = [&](const std::vector<Fleet::AuditRecord> &records) {
        auto array = Json::array();
        for (const auto &record : records) {
            const auto isMatch = record.revision >= since
                                 && (customer.empty() || record.customer == customer)
                                 && (host.empty() || record.host == host);
            if (isMatch)
                array.push_back(Utils::toJson(record));
        }
        return array;
    };
    Fleet::Revision oldest = 0;
    auto recent = m_context.replica.read([&](const Fleet::State &state) {
        oldest = state.audit().empty() ? 0 : state.audit().front().revision;
        return matchingRecords(state.audit());
    });
    if (!m_context.auditFile || since >= oldest)
        return recent;
    BOOST_OUTCOME_TRY(older, m_context.auditFile->read(since, oldest));
    auto array = matchingRecords(older);
    std::move(recent.begin(), recent.end(), std::back_inserter(array));
    return array;
}

auto OperatorInterface::listEvents(const httplib::Request &, const std::string &) -> Result<Json>
{
    auto array = Json::array();
    if (!m_context.dispatcher)
        return array;
    for (const auto &event : m_context.dispatcher->recentEvents())
        array.push_back(Utils::toJson(event));
    return array;
}

auto OperatorInterface::showStatus(const httplib::Request &, const std::string &) -> Result<Json>
{
    const auto own = m_context.log.status();
    const auto view = leaderView();
    auto processes = Json::object();
    for (const auto &peer : m_context.settings.peers)
        processes[peer.id] = {{"zone", peer.zone}, {"applied_revision", nullptr}};
    for (const auto &[process, progress] : view.status.progress) {
        processes[process]["applied_revision"] = progress.appliedRevision;
        processes[process]["age_ms"] = progress.age.count();
        processes[process]["behind"] = progress.appliedRevision < view.status.commitRevision;
    }
    return Json{{"process", m_context.settings.id},
                {"zone", m_context.settings.zone},
                {"leader", own.leaderId},
                {"term", own.term},
                {"commit_revision", view.status.commitRevision},
                {"applied_revision", m_context.replica.revision()},
                {"has_quorum", own.hasQuorum},
                {"processes_from_leader", view.fromLeader},
                {"processes", processes}};
}

auto OperatorInterface::showHost(const httplib::Request &http, const std::string &) -> Result<Json>
{
    const auto id = http.matches[1].str();
    return m_context.replica.read([&](const Fleet::State &state) -> Result<Json> {
        const auto *host = state.findHost(id);
        if (!host)
            return failure(ErrorType::NotFound, "unknown host", id);
        auto json = Utils::toJson(*host);
        if (const auto *move = state.findMove(host->move))
            json["open_move"] = Utils::toJson(*move);
        return json;
    });
}

auto OperatorInterface::showAutonomy(const httplib::Request &, const std::string &) -> Result<Json>
{
    return m_context.replica.read(
        [](const auto &state) { return Utils::toJson(state.autonomy()); });
}

auto OperatorInterface::explainWaiting(const httplib::Request &, const std::string &)
    -> Result<Json>
{
    auto explanation = m_context.replica.read([](const Fleet::State &state) {
        return Planning::explainWaiting(state, Utils::SystemClock().wallTime());
    });
    const auto status = m_context.log.status();
    if (!status.hasQuorum)
        explanation.lines.push_back(
            {"log", "no leader with a majority is known, so no command can be committed"});
    return Utils::toJson(explanation);
}

auto OperatorInterface::explainSubject(const httplib::Request &http, const std::string &)
    -> Result<Json>
{
    const auto subject = http.matches[1].str();
    return m_context.replica.read([&](const Fleet::State &state) -> Result<Json> {
        BOOST_OUTCOME_TRY(
            explanation, Planning::explainSubject(state, subject, Utils::SystemClock().wallTime()));
        return Utils::toJson(explanation);
    });
}

auto OperatorInterface::showPlan(const httplib::Request &, const std::string &) -> Result<Json>
{
    const Planning::DemandHistory noDemand;
    const auto &demand = m_context.demand ? *m_context.demand : noDemand;
    const auto nowMs = Utils::SystemClock().wallTime();
    return m_context.replica.read([&](const Fleet::State &state) {
        return Utils::toJson(Planning::planBuffers(state, demand, {}, nowMs));
    });
}

} // namespace Entry
