#include "operatorinterface.h"

#include "fleet/disruptionledger.h"
#include "utils/ids.h"

#include "utils/address.h"
#include "utils/log.h"

#include <httplib.h>

namespace Entry {

using Utils::ErrorType;
using Utils::failure;
using Utils::Json;
using Utils::Result;

namespace {

struct MaintenanceRequest
{
    std::string pool;
    std::vector<std::string> hosts;
};

template <typename Archive>
auto describe(Archive &archive, MaintenanceRequest &request) -> void
{
    archive.required("pool", request.pool);
    archive.optional("hosts", request.hosts);
}

// A request of an operator that bypasses the planner. The required fields depend on the action.
struct OverrideRequest
{
    std::string action;
    std::string move;
    std::string host;
    std::string pool;
    std::string job;
    std::string process;
    std::string reason;
};

template <typename Archive>
auto describe(Archive &archive, OverrideRequest &request) -> void
{
    archive.required("action", request.action);
    archive.optional("move", request.move);
    archive.optional("host", request.host);
    archive.optional("pool", request.pool);
    archive.optional("job", request.job);
    archive.optional("process", request.process);
    archive.required("reason", request.reason);
}

auto moveOf(const OverrideRequest &request, Fleet::MoveKind kind) -> Fleet::Move
{
    Fleet::Move move;
    move.kind = kind;
    move.host = request.host;
    move.toPool = request.pool;
    move.reason = request.reason;
    move.rule = "ordered by an operator; the contracts still grant or refuse the stop";
    move.worstCaseHostS = Fleet::plannedStopWorstCaseHostS;
    return move;
}

auto commandOf(const OverrideRequest &request) -> Result<Fleet::CommandBody>
{
    if (request.action == "maintain-host")
        return Fleet::ProposeMove{moveOf(request, Fleet::MoveKind::Maintenance), true};
    if (request.action == "reassign-host")
        return Fleet::ProposeMove{moveOf(request, Fleet::MoveKind::Reassign), true};
    if (request.action == "release-host")
        return Fleet::OverrideRelease{request.move, request.reason};
    if (request.action == "requeue-job" || request.action == "fail-job")
        return Fleet::ResolveJob{request.job, request.action == "requeue-job", request.reason};
    if (request.action == "retire-process")
        return Fleet::RetireProcess{request.process, request.reason};
    if (const auto action = Utils::valueOf<Fleet::OverrideAction>(request.action))
        return Fleet::OverrideMove{request.move, *action, request.reason};
    return failure(ErrorType::InvalidInput,
                   "unknown action",
                   "must be one of cancel-move, extend-drain, release-host, maintain-host, "
                   "reassign-host, requeue-job, fail-job, retire-process");
}

struct VoterReplacement
{
    std::string removed; //!< Id of the voter to remove; empty if none is removed.
    Replication::Voter added;
};

template <typename Archive>
auto describe(Archive &archive, VoterReplacement &request) -> void
{
    archive.optional("removed", request.removed);
    archive.required("id", request.added.id);
    archive.required("zone", request.added.zone);
    archive.required("address", request.added.address);
}

} // namespace

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

auto OperatorInterface::putPool(const httplib::Request &http, const std::string &actor)
    -> Result<Json>
{
    BOOST_OUTCOME_TRY(pool, Utils::fromJsonText<Fleet::Pool>(http.body));
    if (pool.pool != http.matches[1].str())
        return failure(
            ErrorType::InvalidInput, "the path and the body name different pools", pool.pool);
    return execute(http, actor, Fleet::PutPool{std::move(pool)});
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
    BOOST_OUTCOME_TRY(request, Utils::fromJsonText<MaintenanceRequest>(http.body));
    Fleet::Wave wave;
    wave.id = m_context.ids.next("wave");
    wave.pool = request.pool;
    wave.hosts = request.hosts;
    return execute(http, actor, Fleet::StartWave{std::move(wave)});
}

auto OperatorInterface::putAutonomy(const httplib::Request &http, const std::string &actor)
    -> Result<Json>
{
    BOOST_OUTCOME_TRY(command, Utils::fromJsonText<Fleet::SetAutonomy>(http.body));
    return execute(http, actor, std::move(command));
}

auto OperatorInterface::pauseMaintenance(const httplib::Request &http, const std::string &actor)
    -> Result<Json>
{
    const auto name = http.matches[1].str();
    const auto paused = http.matches[2].str() == "pause";
    // The path names either a wave or a pool that has an open wave.
    const auto wave = m_context.replica.read([&](const Fleet::State &state) {
        for (const auto &[id, wave] : state.waves()) {
            if (wave.isOpen() && wave.pool == name)
                return id;
        }
        return name;
    });
    return execute(http, actor, Fleet::UpdateWave{wave, paused, {}});
}

auto OperatorInterface::replaceVoter(const httplib::Request &http, const std::string &actor)
    -> Result<Json>
{
    constexpr Utils::Milliseconds timeout{10'000};
    BOOST_OUTCOME_TRY(request, Utils::fromJsonText<VoterReplacement>(http.body));
    BOOST_OUTCOME_TRY(Utils::parseAddress(request.added.address));
    BOOST_OUTCOME_TRY(m_context.log.replaceVoter(request.removed, request.added, timeout));
    Utils::Log::info(
        "entry",
        "replaced a voter",
        {{"operator", actor}, {"removed", request.removed}, {"added", request.added.id}});
    return Json{{"removed", request.removed}, {"added", request.added.id}};
}

auto OperatorInterface::overrideMove(const httplib::Request &http, const std::string &actor)
    -> Result<Json>
{
    BOOST_OUTCOME_TRY(request, Utils::fromJsonText<OverrideRequest>(http.body));
    if (request.reason.empty())
        return failure(ErrorType::InvalidInput, "an override needs a reason");
    BOOST_OUTCOME_TRY(command, commandOf(request));
    return execute(http, actor, std::move(command));
}

} // namespace Entry
