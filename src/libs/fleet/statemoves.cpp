#include "state.h"

#include "statelookup.h"

#include <algorithm>
#include <array>

namespace Fleet {

using Utils::ErrorType;
using Utils::failure;
using namespace Internal;

namespace {

constexpr WallTimeMs millisecondsPerSecond = 1000;
// Charges are kept for the longest window of all contracts, but at least for this time.
constexpr std::int64_t minimumRetentionS = 4'838'400;

// Above this number of moves, the oldest closed moves are removed; their records stay in the audit
// trail.
constexpr std::size_t maximumMoves = 4096;

struct Transition
{
    MoveState from;
    MoveState to;
};

constexpr std::array transitions{
    Transition{MoveState::Proposed, MoveState::Expired},
    Transition{MoveState::Approved, MoveState::Expired},
    Transition{MoveState::Approved, MoveState::Rejected},
    Transition{MoveState::Approved, MoveState::Draining},
    Transition{MoveState::Draining, MoveState::Draining},
    Transition{MoveState::Draining, MoveState::Expired},
    Transition{MoveState::Draining, MoveState::InMaintenance},
    Transition{MoveState::Draining, MoveState::Done},
    Transition{MoveState::Draining, MoveState::Failed},
    Transition{MoveState::InMaintenance, MoveState::Soaking},
    Transition{MoveState::InMaintenance, MoveState::Failed},
    Transition{MoveState::Soaking, MoveState::Done},
    Transition{MoveState::Soaking, MoveState::Failed},
};

auto isAllowed(const Move &move, MoveState to) -> bool
{
    if (move.kind == MoveKind::Maintenance && to == MoveState::Done)
        return move.state == MoveState::Soaking;
    if (move.kind == MoveKind::Reassign && to == MoveState::InMaintenance)
        return false;
    return std::ranges::any_of(transitions, [&](const Transition &transition) {
        return transition.from == move.state && transition.to == to;
    });
}

auto conflict(const Move &move, std::string message)
{
    std::string details = "state " + std::string(Utils::nameOf(move.state));
    if (!move.decidedBy.empty())
        details += ", decided by " + move.decidedBy;
    return failure(ErrorType::Conflict, std::move(message), std::move(details));
}

auto matchesProposal(const Move &move, const Host &host) -> bool
{
    return host.state == HostState::Serving && host.assignmentEpoch == move.assignmentEpoch
           && host.pool == move.fromPool;
}

} // namespace

auto State::run(const ProposeMove &body, const Context &context) -> Utils::Result<Change>
{
    auto *host = findIn(m_hosts, body.move.host);
    if (!host)
        return failure(ErrorType::NotFound, "unknown host", body.move.host);
    if (!host->move.empty())
        return failure(ErrorType::Conflict, "the host already has a move", host->move);
    if (host->state != HostState::Serving)
        return failure(ErrorType::Conflict,
                       "the host is not serving",
                       std::string(Utils::nameOf(host->state)));
    auto move = body.move;
    if (move.id.empty())
        move.id = "move-" + std::to_string(context.revision);
    if (m_moves.contains(move.id))
        return failure(ErrorType::Conflict, "the move was already proposed", move.id);
    move.state = body.approve ? MoveState::Approved : MoveState::Proposed;
    move.decidedBy = body.approve ? context.command.actor : std::string();
    move.fromPool = host->pool;
    move.assignmentEpoch = host->assignmentEpoch;
    if (move.kind == MoveKind::Maintenance)
        move.toPool = host->pool;
    else if (!m_pools.contains(move.toPool))
        return failure(ErrorType::NotFound, "unknown pool", move.toPool);
    move.createdMs = context.command.timeMs;
    move.changedMs = context.command.timeMs;
    move.revision = context.revision;
    host->move = move.id;
    m_moves[move.id] = move;
    removeOldestClosedMove();
    return Change{move.id, {}, move.host, {}, Utils::toJson(move), true};
}

auto State::removeOldestClosedMove() -> void
{
    if (m_moves.size() <= maximumMoves)
        return;
    auto oldest = m_moves.end();
    for (auto move = m_moves.begin(); move != m_moves.end(); ++move) {
        const auto isOlder =
            oldest == m_moves.end() || move->second.revision < oldest->second.revision;
        if (!move->second.isOpen() && isOlder)
            oldest = move;
    }
    if (oldest != m_moves.end())
        m_moves.erase(oldest);
}

auto State::run(const DecideMove &body, const Context &context) -> Utils::Result<Change>
{
    auto *move = findIn(m_moves, body.move);
    if (!move)
        return failure(ErrorType::NotFound, "unknown move", body.move);
    if (move->state != MoveState::Proposed)
        return conflict(*move, "the move is already decided");
    BOOST_OUTCOME_TRY(checkRevision(context.command.expectedRevision, move->revision));
    if (body.byPolicy && m_autonomy.levelFor(move->fromPool) == AutonomyLevel::Manual)
        return failure(
            ErrorType::Refused, "moves of this pool wait for an operator", move->fromPool);
    auto &host = m_hosts[move->host];
    if (body.approve && !matchesProposal(*move, host))
        return conflict(*move, "the host is no longer as it was when the move was proposed");
    Change change{move->id, {}, move->host, Utils::toJson(*move), {}, true};
    move->decidedBy = context.command.actor;
    move->state = body.approve ? MoveState::Approved : MoveState::Rejected;
    move->changedMs = context.command.timeMs;
    move->revision = context.revision;
    if (!body.approve)
        endMove(*move, host, context);
    change.after = Utils::toJson(*move);
    return change;
}

auto State::run(const AdvanceMove &body, const Context &context) -> Utils::Result<Change>
{
    auto *move = findIn(m_moves, body.move);
    if (!move)
        return failure(ErrorType::NotFound, "unknown move", body.move);
    if (move->state != body.from)
        return conflict(*move, "the move is in another state");
    if (!isAllowed(*move, body.to))
        return conflict(*move, "the move cannot become " + std::string(Utils::nameOf(body.to)));
    auto *host = findIn(m_hosts, move->host);
    if (!host)
        return failure(ErrorType::NotFound, "unknown host", move->host);
    Change change{move->id, {}, move->host, Utils::toJson(*move), {}, true};
    if (body.from != body.to) {
        BOOST_OUTCOME_TRY(endDrain(*move, body, context));
    }
    if (body.from == MoveState::Approved && body.to == MoveState::Draining) {
        BOOST_OUTCOME_TRY(startDrain(*move, *host, context));
    }
    move->detail = body.detail;
    move->needsOperator = body.needsOperator;
    move->jobMoves += body.jobMoves;
    if (body.from != body.to)
        enterState(*move, *host, body.to, context);
    change.after = Utils::toJson(*move);
    return change;
}

auto State::run(const OverrideMove &body, const Context &context) -> Utils::Result<Change>
{
    auto *move = findIn(m_moves, body.move);
    if (!move)
        return failure(ErrorType::NotFound, "unknown move", body.move);
    if (body.reason.empty())
        return failure(ErrorType::InvalidInput, "an override needs a reason");
    if (!move->isOpen() || move->state > MoveState::Draining)
        return conflict(*move, "only a move whose host is not yet stopped can be overridden");
    if (body.action != OverrideAction::CancelMove && move->state != MoveState::Draining)
        return conflict(*move, "the move is not draining");
    Change change{move->id, {}, move->host, Utils::toJson(*move), {}, true};
    move->detail = std::string(Utils::nameOf(body.action)) + ": " + body.reason;
    move->needsOperator = false;
    if (body.action == OverrideAction::ExtendDrain)
        move->changedMs = context.command.timeMs;
    if (body.action == OverrideAction::CancelMove) {
        move->decidedBy = context.command.actor;
        enterState(*move, m_hosts[move->host], MoveState::Expired, context);
    }
    move->revision = context.revision;
    change.after = Utils::toJson(*move);
    return change;
}

auto State::startDrain(Move &move, Host &host, const Context &context) -> Utils::Result<void>
{
    if (!matchesProposal(move, host))
        return failure(ErrorType::Conflict,
                       "the host is no longer as it was when the move was proposed",
                       std::string(Utils::nameOf(host.state)));
    // Charges leave a window only as time advances, so with a clock that lags, more of them count.
    pruneCharges(context.command.timeMs);
    BOOST_OUTCOME_TRY(checkGrants(move, context.command.timeMs));
    m_ledger.openGrant(move, context.command.timeMs);
    host.state = HostState::Draining;
    return Utils::success();
}

auto State::checkGrants(const Move &move, WallTimeMs nowMs) const -> Utils::Result<void>
{
    const auto *host = findHost(move.host);
    const RackIndex racks(m_hosts);
    for (const auto &[customer, contract] : m_contracts) {
        const auto rackHosts =
            contract.usesPool(move.fromPool) ? racks.largestRack(contract, host) : 0;
        BOOST_OUTCOME_TRY(m_ledger.checkGrant(contract, move, rackHosts, nowMs));
    }
    return Utils::success();
}

auto State::pruneCharges(WallTimeMs nowMs) -> void
{
    auto retentionS = minimumRetentionS;
    for (const auto &[customer, contract] : m_contracts)
        retentionS = std::max(retentionS, contract.disruption.windowS);
    m_ledger.prune(nowMs - retentionS * millisecondsPerSecond);
}

auto State::enterState(Move &move, Host &host, MoveState to, const Context &context) -> void
{
    const auto stoppedHost = host.state != HostState::Serving;
    move.state = to;
    move.changedMs = context.command.timeMs;
    move.revision = context.revision;
    host.revision = context.revision;
    if (to == MoveState::InMaintenance)
        host.state = HostState::InMaintenance;
    if (to == MoveState::Soaking)
        host.state = HostState::Soaking;
    if (to == MoveState::Done && move.kind == MoveKind::Maintenance)
        host.lastMaintainedMs = context.command.timeMs;
    if (to == MoveState::Done && move.kind == MoveKind::Reassign) {
        host.pool = move.toPool;
        ++host.assignmentEpoch;
    }
    if (move.isOpen())
        return;
    endMove(move, host, context);
    if (to == MoveState::Failed)
        failHost(host, context.command.timeMs, context);
    else if (stoppedHost)
        host.state = HostState::Serving;
}

auto State::endMove(Move &move, Host &host, const Context &context) -> void
{
    host.move.clear();
    m_releases.remove(move.id);
    host.revision = context.revision;
    m_ledger.closeGrant(move, context.command.timeMs);
    if (!move.wave.empty())
        updateWaveOf(move, context);
}

} // namespace Fleet
