#include "moverunner.h"

#include "utils/log.h"

#include <algorithm>

namespace Planning {

using Fleet::Move;
using Fleet::MoveState;

namespace {
constexpr std::int64_t worstCaseMaintenanceHostS = 1800;
}

MoveRunner::MoveRunner(Fleet::Gateway &gateway,
                       const Fleet::Replica &replica,
                       const Membership::EndpointDirectory &directory,
                       Platform &platform,
                       const Utils::Clock &clock,
                       Utils::Milliseconds soak)
    : m_gateway(gateway)
    , m_replica(replica)
    , m_directory(directory)
    , m_platform(platform)
    , m_clock(clock)
    , m_soak(soak)
{}

auto MoveRunner::runOnce() -> void
{
    proposeForWaves();
    const auto moves = m_replica.read([](const Fleet::State &state) {
        std::vector<Move> open;
        for (const auto &[id, move] : state.moves()) {
            if (move.isOpen() && move.state != MoveState::Proposed)
                open.push_back(move);
        }
        return open;
    });
    for (const auto &move : moves)
        step(move);
}

auto MoveRunner::proposeForWaves() -> void
{
    const auto proposals = m_replica.read([](const Fleet::State &state) {
        std::vector<Move> moves;
        for (const auto &[id, wave] : state.waves()) {
            if (wave.paused || wave.hosts.empty())
                continue;
            const auto *host = state.findHost(wave.hosts.front());
            if (!host || !host->move.empty())
                continue;
            Move move;
            move.id = "move-" + wave.id + "-" + host->id;
            move.host = host->id;
            move.wave = wave.id;
            move.reason = "maintenance wave " + wave.id;
            move.rule = "one host at a time";
            move.worstCaseHostS = worstCaseMaintenanceHostS;
            moves.push_back(move);
        }
        return moves;
    });
    for (const auto &move : proposals) {
        const auto result =
            m_gateway.execute(Fleet::ProposeMove{move}, {"planner", move.reason, {}, {}});
        if (!result) {
            Utils::Log::warning("planning",
                                "a move could not be proposed",
                                {{"host", move.host}, {"reason", result.error().message}});
        }
    }
}

auto MoveRunner::step(const Move &move) -> void
{
    if (move.state == MoveState::Approved) {
        advance(move, MoveState::Draining, "waiting for requests in flight");
    } else if (move.state == MoveState::Draining && isDrained(move)) {
        if (move.kind == Fleet::MoveKind::Reassign) {
            advance(move, MoveState::Done, "assigned to pool " + move.toPool);
        } else if (m_platform.startMaintenance(move.host)) {
            advance(move, MoveState::InMaintenance, "maintenance started");
        }
    } else if (move.state == MoveState::InMaintenance) {
        const auto maintained = m_platform.isMaintained(move.host);
        if (maintained && maintained.value())
            advance(move, MoveState::Soaking, "maintenance ended");
    } else if (move.state == MoveState::Soaking
               && m_clock.wallTime() - move.changedMs >= m_soak.count()) {
        advance(move, MoveState::Done, "returned to pool " + move.toPool);
    }
}

auto MoveRunner::isDrained(const Move &move) const -> bool
{
    const auto endpoints = m_directory.onHost(move.host);
    return std::ranges::all_of(endpoints, [](const Membership::Endpoint &endpoint) {
        return endpoint.announcement.inFlight == 0;
    });
}

auto MoveRunner::advance(const Move &move, MoveState to, std::string detail) -> void
{
    const auto result =
        m_gateway.execute(Fleet::AdvanceMove{move.id, move.state, to, std::move(detail)},
                          {"planner", move.reason, {}, {}});
    if (!result) {
        Utils::Log::info("planning",
                         "a move waits",
                         {{"move", move.id},
                          {"reason", result.error().message},
                          {"details", result.error().details}});
        return;
    }
}

} // namespace Planning
