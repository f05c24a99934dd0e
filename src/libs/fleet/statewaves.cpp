#include "state.h"

#include "statelookup.h"

#include <algorithm>

namespace Fleet {

using Utils::ErrorType;
using Utils::failure;
using namespace Internal;

auto State::run(const StartWave &body, const Context &context) -> Utils::Result<Change>
{
    auto wave = body.wave;
    if (!m_pools.contains(wave.pool))
        return failure(ErrorType::NotFound, "unknown pool", wave.pool);
    if (m_waves.contains(wave.id))
        return failure(ErrorType::Conflict, "the maintenance wave already exists", wave.id);
    for (const auto &[id, other] : m_waves) {
        if (other.pool == wave.pool && other.isOpen())
            return failure(ErrorType::Conflict, "the pool already has a maintenance wave", id);
    }
    for (const auto &id : wave.hosts) {
        const auto *host = findIn(m_hosts, id);
        if (!host || host->pool != wave.pool)
            return failure(ErrorType::NotFound, "the pool has no such host", id);
    }
    if (wave.hosts.empty()) {
        for (const auto &[id, host] : m_hosts) {
            if (host.pool == wave.pool)
                wave.hosts.push_back(id);
        }
    }
    if (wave.hosts.empty())
        return failure(ErrorType::Refused, "the pool has no hosts", wave.pool);
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
    BOOST_OUTCOME_TRY(checkRevision(context.command.expectedRevision, wave->revision));
    if (body.paused && !wave->isOpen())
        return failure(ErrorType::Conflict, "the maintenance wave has ended", wave->id);
    Change change{wave->id, {}, {}, Utils::toJson(*wave), {}, true};
    if (body.paused)
        wave->paused = *body.paused;
    for (const auto &job : body.unplacedJobs) {
        if (std::ranges::find(wave->unplacedJobs, job) == wave->unplacedJobs.end())
            wave->unplacedJobs.push_back(job);
    }
    wave->revision = context.revision;
    change.after = Utils::toJson(*wave);
    return change;
}

// Updates the wave within the log entry that ends the move, so that no change of the leader can
// come between the two.
auto State::updateWaveOf(const Move &move, const Context &context) -> void
{
    auto *wave = findIn(m_waves, move.wave);
    if (!wave)
        return;
    const auto isByOperator = !move.decidedBy.empty() && move.decidedBy == context.command.actor;
    if (move.state == MoveState::Done) {
        wave->finished.push_back(move.host);
        wave->recentFailures = std::max<std::int64_t>(0, wave->recentFailures - 1);
    } else if (move.state == MoveState::Failed) {
        wave->failed.push_back(move.host);
        ++wave->recentFailures;
    } else if (move.state == MoveState::Rejected || isByOperator) {
        wave->skipped.push_back(move.host);
    } else {
        return; // The move expired, so the host stays in the wave.
    }
    std::erase(wave->hosts, move.host);
    if (wave->hosts.empty())
        wave->endedMs = context.command.timeMs;
    wave->revision = context.revision;
}

auto State::run(const SetAutonomy &body, const Context &) -> Utils::Result<Change>
{
    if (!body.pool.empty() && !m_pools.contains(body.pool))
        return failure(ErrorType::NotFound, "unknown pool", body.pool);
    Change change{body.pool, {}, {}, Utils::toJson(m_autonomy), {}, true};
    if (body.pool.empty())
        m_autonomy.level = body.level;
    else
        m_autonomy.pools[body.pool] = Utils::nameOf(body.level);
    change.after = Utils::toJson(m_autonomy);
    return change;
}

} // namespace Fleet
