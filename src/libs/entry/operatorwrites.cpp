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

// An operator's order that goes past the planner; which fields it needs depends on the action.
struct OverrideOrder
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
auto describe(Archive &archive, OverrideOrder &order) -> void
{
    archive.required("action", order.action);
    archive.optional("move", order.move);
    archive.optional("host", order.host);
    archive.optional("pool", order.pool);
    archive.optional("job", order.job);
    archive.optional("process", order.process);
    archive.required("reason", order.reason);
}

auto moveOf(const OverrideOrder &order, Fleet::MoveKind kind) -> Fleet::Move
{
    Fleet::Move move;
    move.kind = kind;
    move.host = order.host;
    move.toPool = order.pool;
    move.reason = order.reason;
    move.rule = "ordered by an operator; the contracts still grant or refuse the stop";
    move.worstCaseHostS = Fleet::plannedStopWorstCaseHostS;
    return move;
}

auto commandOf(const OverrideOrder &order) -> Result<Fleet::CommandBody>
{
    if (order.action == "maintain-host")
        return Fleet::ProposeMove{moveOf(order, Fleet::MoveKind::Maintenance), true};
    if (order.action == "reassign-host")
        return Fleet::ProposeMove{moveOf(order, Fleet::MoveKind::Reassign), true};
    if (order.action == "release-host")
        return Fleet::OverrideRelease{order.move, order.reason};
    if (order.action == "requeue-job" || order.action == "fail-job")
        return Fleet::ResolveJob{order.job, order.action == "requeue-job", order.reason};
    if (order.action == "retire-process")
        return Fleet::RetireProcess{order.process, order.reason};
    if (const auto action = Utils::valueOf<Fleet::OverrideAction>(order.action))
        return Fleet::OverrideMove{order.move, *action, order.reason};
    return failure(ErrorType::InvalidInput,
                   "unknown action",
                   "must be one of cancel-move, extend-drain, release-host, maintain-host, "
                   "reassign-host, requeue-job, fail-job, retire-process");
}

struct VoterOrder
{
    std::string removed; //!< Empty: none is removed.
    Replication::Voter added;
};

template <typename Archive>
auto describe(Archive &archive, VoterOrder &order) -> void
{
    archive.optional("removed", order.removed);
    archive.required("id", order.added.id);
    archive.required("zone", order.added.zone);
    archive.required("address", order.added.address);
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
    BOOST_OUTCOME_TRY(order, Utils::fromJsonText<MaintenanceOrder>(http.body));
    Fleet::Wave wave;
    wave.id = m_context.ids.next("wave");
    wave.pool = order.pool;
    wave.hosts = order.hosts;
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
    // Either the wave's id or the pool whose wave is open.
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
    BOOST_OUTCOME_TRY(order, Utils::fromJsonText<VoterOrder>(http.body));
    BOOST_OUTCOME_TRY(Utils::parseAddress(order.added.address));
    BOOST_OUTCOME_TRY(m_context.log.replaceVoter(order.removed, order.added, timeout));
    Utils::Log::info("entry",
                     "a voter was replaced",
                     {{"operator", actor}, {"removed", order.removed}, {"added", order.added.id}});
    return Json{{"removed", order.removed}, {"added", order.added.id}};
}

auto OperatorInterface::overrideMove(const httplib::Request &http, const std::string &actor)
    -> Result<Json>
{
    BOOST_OUTCOME_TRY(order, Utils::fromJsonText<OverrideOrder>(http.body));
    if (order.reason.empty())
        return failure(ErrorType::InvalidInput, "an override needs a reason");
    BOOST_OUTCOME_TRY(command, commandOf(order));
    return execute(http, actor, std::move(command));
}

} // namespace Entry
