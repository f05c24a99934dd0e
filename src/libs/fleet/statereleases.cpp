#include "state.h"

#include "statelookup.h"

namespace Fleet {

using Utils::ErrorType;
using Utils::failure;
using namespace Internal;

auto State::findProcess(const std::string &process) const -> const ProcessRecord *
{
    return findIn(m_processes, process);
}

auto State::drainingMove(const std::string &id) -> Utils::Result<Move *>
{
    auto *move = findIn(m_moves, id);
    if (!move)
        return failure(ErrorType::NotFound, "unknown move", id);
    if (move->state != MoveState::Draining)
        return failure(ErrorType::Conflict,
                       "the move is not draining",
                       std::string(Utils::nameOf(move->state)));
    return move;
}

auto State::endDrain(const Move &move, const AdvanceMove &body, const Context &context)
    -> Utils::Result<void>
{
    const auto proceeds = body.to == MoveState::InMaintenance || body.to == MoveState::Soaking
                          || body.to == MoveState::Done;
    if (move.state != MoveState::Draining)
        return Utils::success();
    if (proceeds) {
        BOOST_OUTCOME_TRY(m_releases.checkReleased(
            move, m_hosts[move.host], m_processes, context.command.timeMs));
    }
    m_releases.remove(move.id);
    return Utils::success();
}

auto State::run(const RegisterProcess &body, const Context &context) -> Utils::Result<Change>
{
    auto *existing = findIn(m_processes, body.process);
    if (existing && existing->incarnation > body.incarnation)
        return failure(
            ErrorType::Conflict, "a later incarnation of the process is registered", body.process);
    Change change{body.process, {}, {}, jsonOrNull(existing), {}, true};
    // A resent registration must not be recorded as another change.
    change.audited = !existing || existing->incarnation != body.incarnation;
    m_processes[body.process] = {body.process,
                                 body.zone,
                                 body.incarnation,
                                 body.routingLeaseMs,
                                 context.command.timeMs,
                                 context.revision};
    m_claims.processStarted(body.process, body.incarnation);
    change.after = Utils::toJson(m_processes[body.process]);
    return change;
}

auto State::run(const RetireProcess &body, const Context &) -> Utils::Result<Change>
{
    const auto *existing = findIn(m_processes, body.process);
    if (!existing)
        return failure(ErrorType::NotFound, "unknown process", body.process);
    Change change{body.process, {}, {}, Utils::toJson(*existing), {{"reason", body.reason}}, true};
    m_processes.erase(body.process);
    return change;
}

auto State::run(const ReleaseHost &body, const Context &) -> Utils::Result<Change>
{
    BOOST_OUTCOME_TRY(move, drainingMove(body.move));
    const auto *host = findIn(m_hosts, move->host);
    if (!host || host->id != body.host || host->assignmentEpoch != body.epoch)
        return failure(
            ErrorType::Conflict, "the move drains another host or assignment", body.host);
    const auto *process = findIn(m_processes, body.process);
    if (!process || process->incarnation != body.incarnation)
        return failure(
            ErrorType::Conflict, "this incarnation of the process is not registered", body.process);
    m_releases.release(body.move, body.process, body.incarnation);
    return Change{body.move, {}, body.host, {}, {{"released_by", body.process}}, true};
}

auto State::run(const OverrideRelease &body, const Context &context) -> Utils::Result<Change>
{
    BOOST_OUTCOME_TRY(move, drainingMove(body.move));
    const auto missing = m_releases.missingProcesses(*move, m_hosts[move->host], m_processes);
    m_releases.overrideRelease(body.move, context.command.actor);
    return Change{
        body.move, {}, move->host, {{"missing", missing}}, {{"reason", body.reason}}, true};
}

} // namespace Fleet
