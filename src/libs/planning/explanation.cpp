#include "explanation.h"

namespace Planning {
namespace {

using Fleet::Move;
using Fleet::MoveState;

auto add(Explanation &explanation, std::string topic, std::string text) -> void
{
    if (!text.empty())
        explanation.lines.push_back({std::move(topic), std::move(text)});
}

auto addBudgets(Explanation &explanation,
                const Fleet::State &state,
                const Fleet::Host &host,
                Fleet::WallTimeMs nowMs) -> void
{
    const Fleet::RackIndex racks(state.hosts());
    for (const auto &[customer, contract] : state.contracts()) {
        if (!contract.usesPool(host.pool))
            continue;
        const auto verdict = state.ledger().checkStop(
            contract, Fleet::plannedStopWorstCaseHostS, racks.largestRack(contract, &host), nowMs);
        add(explanation,
            "contract " + customer,
            std::string(verdict.isGranted() ? "permits a stop: " : "forbids a stop: ")
                + verdict.explanation());
    }
}

auto waitsFor(const Fleet::State &state, const Move &move) -> std::string
{
    const auto level = Utils::nameOf(state.autonomy().levelFor(move.fromPool));
    switch (move.state) {
    case MoveState::Proposed:
        return "waits for an operator to approve or reject it (autonomy " + std::string(level)
               + ")";
    case MoveState::Approved:
        return "waits for a grant from each contract of pool " + move.fromPool
               + ", or for room for its jobs on hosts that its wave will not stop any more";
    case MoveState::Draining:
        return move.needsOperator ? "needs an operator: " + move.detail
                                  : "drains until no requests are in flight and all processes have "
                                    "released the host";
    case MoveState::InMaintenance:
        return "waits for the platform to end the maintenance";
    case MoveState::Soaking:
        return "waits for the soak to end; its grant is held until then";
    default:
        return move.detail;
    }
}

auto explainMove(const Fleet::State &state, const Move &move, Fleet::WallTimeMs nowMs)
    -> Explanation
{
    Explanation explanation{move.id, {}};
    add(explanation,
        "what",
        std::string(Utils::nameOf(move.kind)) + " of host " + move.host + " in pool "
            + move.fromPool + (move.toPool == move.fromPool ? "" : " to pool " + move.toPool));
    add(explanation, "state", std::string(Utils::nameOf(move.state)));
    add(explanation, "now", waitsFor(state, move));
    add(explanation, "reason", move.reason);
    add(explanation, "cost", move.cost);
    add(explanation, "rule", move.rule);
    add(explanation, "alternative", move.alternative);
    add(explanation, "detail", move.detail);
    add(explanation, "decided by", move.decidedBy);
    const auto *host = state.findHost(move.host);
    if (host && move.state == MoveState::Approved)
        addBudgets(explanation, state, *host, nowMs);
    return explanation;
}

auto explainHost(const Fleet::State &state, const Fleet::Host &host, Fleet::WallTimeMs nowMs)
    -> Explanation
{
    Explanation explanation{host.id, {}};
    add(explanation,
        "state",
        std::string(Utils::nameOf(host.state)) + " in pool " + host.pool + ", zone " + host.zone
            + ", rack " + host.rack);
    if (const auto *move = state.findMove(host.move))
        add(explanation, "move " + move->id, waitsFor(state, *move));
    for (const auto &[id, wave] : state.waves()) {
        if (wave.isOpen() && wave.pool == host.pool)
            add(explanation,
                "wave " + id,
                std::to_string(wave.hosts.size()) + " hosts left"
                    + (wave.paused ? ", paused by an operator" : ""));
    }
    addBudgets(explanation, state, host, nowMs);
    return explanation;
}

auto addWave(Explanation &explanation,
             const FleetView &view,
             const Fleet::Wave &wave,
             Fleet::WallTimeMs nowMs) -> void
{
    const auto topic = "wave " + wave.id + " of pool " + wave.pool;
    if (wave.paused) {
        add(explanation, topic, "is paused by an operator");
        return;
    }
    const auto width = widthOf(wave, view, {}, nowMs);
    add(explanation,
        topic,
        std::to_string(wave.hosts.size()) + " hosts left, at most " + std::to_string(width.hosts)
            + " at once; limited by " + width.rule);
    for (const auto &id : wave.hosts) {
        const auto *host = view.state().findHost(id);
        if (host && host->state == Fleet::HostState::Failed)
            add(explanation, "host " + id, "has failed; the wave waits for its return");
    }
    for (const auto &job : wave.unplacedJobs)
        add(explanation,
            "job " + job,
            "cannot be placed on any host that this wave will not stop any more");
}

} // namespace

auto explainSubject(const Fleet::State &state, const std::string &subject, Fleet::WallTimeMs nowMs)
    -> Utils::Result<Explanation>
{
    if (const auto *move = state.findMove(subject))
        return explainMove(state, *move, nowMs);
    if (const auto *host = state.findHost(subject))
        return explainHost(state, *host, nowMs);
    return Utils::failure(Utils::ErrorType::NotFound, "no move or host has this id", subject);
}

auto explainWaiting(const Fleet::State &state, Fleet::WallTimeMs nowMs) -> Explanation
{
    Explanation explanation{"fleet", {}};
    const FleetView view(state);
    for (const auto &[id, wave] : state.waves()) {
        if (wave.isOpen())
            addWave(explanation, view, wave, nowMs);
    }
    for (const auto *move : view.openMoves())
        add(explanation, "move " + move->id + " of host " + move->host, waitsFor(state, *move));
    if (explanation.lines.empty())
        add(explanation, "nothing waits", "no maintenance wave is open and no move is in progress");
    return explanation;
}

} // namespace Planning
