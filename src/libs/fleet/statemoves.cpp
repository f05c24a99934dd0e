#include "state.h"

#include "statelookup.h"

#include <algorithm>

namespace Fleet {

using Utils::ErrorType;
using Utils::failure;
using namespace Internal;

auto State::run(const ProposeMove &body, const Context &context) -> Utils::Result<Change>
{
    auto *host = findIn(m_hosts, body.move.host);
    if (!host)
        return failure(ErrorType::NotFound, "unknown host", body.move.host);
    if (!host->move.empty())
        return failure(ErrorType::Conflict, "the host already has a move", host->move);
    auto move = body.move;
    move.state = MoveState::Proposed;
    move.fromPool = host->pool;
    if (move.kind == MoveKind::Maintenance)
        move.toPool = host->pool;
    else if (!m_pools.contains(move.toPool))
        return failure(ErrorType::NotFound, "unknown pool", move.toPool);
    move.createdMs = context.command.timeMs;
    move.changedMs = context.command.timeMs;
    move.revision = context.revision;
    host->move = move.id;
    m_moves[move.id] = move;
    return Change{move.id, {}, move.host, {}, Utils::toJson(move), true};
}

auto State::run(const DecideMove &body, const Context &context) -> Utils::Result<Change>
{
    auto *move = findIn(m_moves, body.move);
    if (!move)
        return failure(ErrorType::NotFound, "unknown move", body.move);
    if (move->state != MoveState::Proposed)
        return failure(ErrorType::Conflict,
                       "the move is already decided",
                       std::string(Utils::nameOf(move->state)));
    Change change{move->id, {}, move->host, Utils::toJson(*move), {}, true};
    move->state = body.approve ? MoveState::Approved : MoveState::Rejected;
    move->decidedBy = context.command.actor;
    move->changedMs = context.command.timeMs;
    move->revision = context.revision;
    if (!body.approve)
        m_hosts[move->host].move.clear();
    change.after = Utils::toJson(*move);
    return change;
}

auto State::run(const AdvanceMove &body, const Context &context) -> Utils::Result<Change>
{
    auto *move = findIn(m_moves, body.move);
    if (!move)
        return failure(ErrorType::NotFound, "unknown move", body.move);
    if (move->state != body.from)
        return failure(ErrorType::Conflict,
                       "the move is in another state",
                       std::string(Utils::nameOf(move->state)));
    auto *host = findIn(m_hosts, move->host);
    if (!host)
        return failure(ErrorType::NotFound, "unknown host", move->host);
    Change change{move->id, {}, move->host, Utils::toJson(*move), {}, true};
    BOOST_OUTCOME_TRY(checkDrainEnd(*move, body, context));
    if (body.to == MoveState::Draining) {
        BOOST_OUTCOME_TRY(startDrain(*move, *host, context));
    }
    enterState(*move, *host, body, context);
    change.after = Utils::toJson(*move);
    return change;
}

auto State::startDrain(Move &move, Host &host, const Context &context) -> Utils::Result<void>
{
    for (const auto &[customer, contract] : m_contracts) {
        BOOST_OUTCOME_TRY(m_ledger.grant(contract, move, context.command.timeMs));
    }
    m_ledger.open(move, context.command.timeMs);
    host.state = HostState::Draining;
    return Utils::success();
}

auto State::enterState(Move &move, Host &host, const AdvanceMove &body, const Context &context)
    -> void
{
    move.state = body.to;
    move.detail = body.detail;
    move.changedMs = context.command.timeMs;
    move.revision = context.revision;
    host.revision = context.revision;
    if (body.to == MoveState::InMaintenance)
        host.state = HostState::InMaintenance;
    if (body.to == MoveState::Soaking)
        host.state = HostState::Soaking;
    if (body.to == MoveState::Done && move.kind == MoveKind::Maintenance)
        host.lastMaintainedMs = context.command.timeMs;
    if (body.to == MoveState::Done && move.kind == MoveKind::Reassign) {
        host.pool = move.toPool;
        ++host.assignmentEpoch;
    }
    if (move.isOpen())
        return;
    host.state = HostState::Serving;
    host.move.clear();
    m_ledger.close(move, context.command.timeMs);
}

auto State::run(const StartWave &body, const Context &context) -> Utils::Result<Change>
{
    if (!m_pools.contains(body.wave.pool))
        return failure(ErrorType::NotFound, "unknown pool", body.wave.pool);
    auto wave = body.wave;
    if (wave.hosts.empty()) {
        for (const auto &[id, host] : m_hosts) {
            if (host.pool == wave.pool)
                wave.hosts.push_back(id);
        }
    }
    wave.startedMs = context.command.timeMs;
    wave.revision = context.revision;
    m_waves[wave.id] = wave;
    return Change{wave.id, {}, {}, {}, Utils::toJson(wave), true};
}

auto State::run(const UpdateWave &body, const Context &context) -> Utils::Result<Change>
{
    auto *wave = findIn(m_waves, body.wave);
    if (!wave)
        return failure(ErrorType::NotFound, "unknown maintenance wave", body.wave);
    Change change{wave->id, {}, body.finishedHost.value_or(""), Utils::toJson(*wave), {}, true};
    if (body.paused)
        wave->paused = *body.paused;
    if (body.finishedHost)
        std::erase(wave->hosts, *body.finishedHost);
    wave->revision = context.revision;
    change.after = Utils::toJson(*wave);
    return change;
}

auto State::run(const SetAutonomy &body, const Context &) -> Utils::Result<Change>
{
    Change change{body.pool, {}, {}, Utils::toJson(m_autonomy), {}, true};
    if (body.pool.empty())
        m_autonomy.level = body.level;
    else
        m_autonomy.pools[body.pool] = Utils::nameOf(body.level);
    change.after = Utils::toJson(m_autonomy);
    return change;
}

} // namespace Fleet
