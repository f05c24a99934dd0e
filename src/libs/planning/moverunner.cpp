#include "moverunner.h"

#include "utils/log.h"

#include <algorithm>
#include <array>

namespace Planning {

using Fleet::Move;
using Fleet::MoveKind;
using Fleet::MoveState;

namespace {
constexpr std::int64_t millisecondsPerSecond = 1000;
constexpr Utils::Milliseconds proposalLifetime{24 * 3600 * millisecondsPerSecond};
constexpr Utils::Milliseconds initialRetryWait{200};
constexpr Utils::Milliseconds longestRetryWait{15'000};
constexpr auto plannerActor = "planner";
} // namespace

MoveRunner::MoveRunner(Fleet::Gateway &gateway,
                       const Fleet::Replica &replica,
                       const Membership::EndpointDirectory &directory,
                       Platform &platform,
                       const Utils::Clock &clock,
                       MoveTiming timing)
    : m_gateway(gateway)
    , m_replica(replica)
    , m_directory(directory)
    , m_platform(platform)
    , m_clock(clock)
    , m_timing(timing)
{}

auto MoveRunner::steps() -> std::span<const Step>
{
    static constexpr std::array steps{
        Step{MoveState::Proposed, &MoveRunner::stepProposed},
        Step{MoveState::Approved, &MoveRunner::stepApproved},
        Step{MoveState::Draining, &MoveRunner::stepDraining},
        Step{MoveState::InMaintenance, &MoveRunner::stepInMaintenance},
        Step{MoveState::Soaking, &MoveRunner::stepSoaking},
    };
    return steps;
}

auto MoveRunner::runOnce(const BufferPlan &plan) -> void
{
    proposeForWaves(plan.requiredSlots());
    for (const auto &move : plan.moves)
        execute(Fleet::ProposeMove{move}, move);
    const auto moves = m_replica.read([](const Fleet::State &state) {
        std::vector<Move> open;
        const FleetView view(state);
        for (const auto *move : view.openMoves())
            open.push_back(*move);
        return open;
    });
    std::erase_if(m_retries, [&](const auto &item) {
        return std::ranges::find(moves, item.first, &Move::id) == moves.end();
    });
    for (const auto &move : moves) {
        if (!mayRetry(move.id))
            continue;
        const auto step = std::ranges::find(steps(), move.state, &Step::state);
        if (step != steps().end())
            (this->*step->take)(move);
    }
}

auto MoveRunner::proposeForWaves(const std::map<std::string, std::int64_t> &requiredSlots) -> void
{
    const WaveInput input{requiredSlots, countJobs()};
    const auto nowMs = m_clock.wallTime();
    const auto moves = m_replica.read([&](const Fleet::State &state) {
        const auto hasWave = std::ranges::any_of(
            state.waves(), [](const auto &item) { return item.second.isOpen(); });
        return hasWave ? proposeWaveMoves(FleetView(state), input, nowMs) : std::vector<Move>();
    });
    for (const auto &move : moves)
        execute(Fleet::ProposeMove{move}, move);
}

auto MoveRunner::countJobs() const -> std::map<std::string, std::int64_t>
{
    const auto hosts = m_replica.read([](const Fleet::State &state) {
        std::vector<std::string> hosts;
        for (const auto &[id, wave] : state.waves()) {
            if (wave.isOpen() && !wave.paused)
                hosts.insert(hosts.end(), wave.hosts.begin(), wave.hosts.end());
        }
        return hosts;
    });
    std::map<std::string, std::int64_t> jobs;
    for (const auto &host : hosts) {
        const auto tasks = m_platform.tasksOn(host);
        if (!tasks)
            break; // This host and the remaining ones count as having no jobs.
        jobs[host] = std::int64_t(tasks.value().size());
    }
    return jobs;
}

auto MoveRunner::stepProposed(const Move &move) -> void
{
    const auto isStale = m_replica.read([&](const Fleet::State &state) {
        const auto wave = state.waves().find(move.wave);
        const auto *host = state.findHost(move.host);
        if (!host || host->state != Fleet::HostState::Serving)
            return true;
        return !move.wave.empty() && (wave == state.waves().end() || wave->second.paused);
    });
    if (isStale || age(move) > proposalLifetime) {
        advance(move, MoveState::Expired, "the state it was proposed for is gone");
        return;
    }
    const auto level = m_replica.read(
        [&](const Fleet::State &state) { return state.autonomy().levelFor(move.fromPool); });
    const auto isCovered =
        level == Fleet::AutonomyLevel::Full
        || (level == Fleet::AutonomyLevel::Guarded && move.kind == MoveKind::Maintenance);
    if (!isCovered)
        return;
    const auto name = std::string(Utils::nameOf(level));
    const auto decided =
        m_gateway.execute(Fleet::DecideMove{move.id, true, true},
                          {"policy:" + name, "autonomy " + name + ": " + move.rule, {}, {}});
    if (!decided)
        Utils::Log::info("planning",
                         "a move could not be approved",
                         {{"move", move.id}, {"reason", decided.error().message}});
}

auto MoveRunner::stepApproved(const Move &move) -> void
{
    if (!isGrantable(move))
        return;
    if (move.kind == MoveKind::Maintenance) {
        const auto plan = planJobs(move);
        if (!plan)
            return;
        if (!plan.value().unplaced.empty()) {
            // If the jobs fit on an empty host, the move waits for a host that this wave will not
            // stop any more to have room.
            if (!hasUnplaceableJob(move, plan.value()))
                return;
            reportUnplaced(move, plan.value());
            advance(move, MoveState::Rejected, "a job of the host fits nowhere");
            return;
        }
    }
    if (!advance(move, MoveState::Draining, "waiting for requests in flight"))
        return;
    if (const auto drained = m_platform.drain(move.host); !drained)
        Utils::Log::warning("planning",
                            "the platform did not take a drain",
                            {{"host", move.host}, {"reason", drained.error().message}});
}

auto MoveRunner::stepDraining(const Move &move) -> void
{
    const auto inFlight = requestsInFlight(move);
    if (inFlight > 0) {
        askOperator(move, std::to_string(inFlight) + " requests in flight");
        return;
    }
    if (move.kind == MoveKind::Reassign) {
        advance(move, MoveState::Done, "assigned to pool " + move.toPool);
        return;
    }
    const auto plan = planJobs(move);
    if (!plan)
        return;
    if (!plan.value().unplaced.empty())
        reportUnplaced(move, plan.value());
    const auto moved = moveJobs(move, plan.value());
    if (moved > 0)
        execute(
            Fleet::AdvanceMove{
                move.id, move.state, move.state, move.detail, move.needsOperator, moved},
            move);
    const auto left = m_platform.tasksOn(move.host);
    if (!left || !left.value().empty()) {
        askOperator(move, "jobs on the host");
        return;
    }
    if (advance(move, MoveState::InMaintenance, "maintenance starts"))
        stepInMaintenance(move);
}

auto MoveRunner::stepInMaintenance(const Move &move) -> void
{
    // The request is repeated, since the leader that recorded this state may have failed before it
    // reached the platform.
    if (move.state != MoveState::InMaintenance || age(move) < m_timing.soak) {
        if (const auto started = m_platform.startMaintenance(move.host); !started)
            return;
    }
    if (move.state != MoveState::InMaintenance)
        return;
    const auto state = m_platform.maintenanceState(move.host);
    if (state && state.value() == MaintenanceState::Failed)
        advance(move, MoveState::Failed, "the platform reports that the maintenance failed");
    else if (state && state.value() == MaintenanceState::Ended) {
        if (m_platform.returnHost(move.host))
            advance(move, MoveState::Soaking, "maintenance ended");
    } else if (age(move).count() > move.worstCaseHostS * millisecondsPerSecond)
        advance(move, MoveState::Failed, "the host did not return within its worst case");
}

auto MoveRunner::stepSoaking(const Move &move) -> void
{
    if (age(move) >= m_timing.soak)
        advance(move, MoveState::Done, "returned to pool " + move.toPool);
}

auto MoveRunner::planJobs(const Move &move) const -> Utils::Result<JobPlan>
{
    BOOST_OUTCOME_TRY(tasks, m_platform.tasksOn(move.host));
    if (tasks.empty())
        return JobPlan();
    return placeJobs(
        tasks, targetsFor(move), m_timing.drainDeadline.count() / millisecondsPerSecond);
}

auto MoveRunner::hasUnplaceableJob(const Move &move, const JobPlan &plan) const -> bool
{
    const auto tasks = m_platform.tasksOn(move.host);
    if (!tasks)
        return false;
    const auto hostSlots = m_replica.read([&](const Fleet::State &state) {
        return FleetView(state).pool(move.fromPool).largestHostSlots;
    });
    return std::ranges::any_of(tasks.value(), [&](const Task &task) {
        const auto isUnplaced = std::ranges::find(plan.unplaced, task.id) != plan.unplaced.end();
        return isUnplaced && (!task.canCheckpoint || slotsOf(task) > hostSlots);
    });
}

// Returns the hosts of the pool that the wave will not stop any more, so that the wave moves no job
// twice.
auto MoveRunner::targetsFor(const Move &move) const -> std::vector<PlacementTarget>
{
    auto targets = m_replica.read([&](const Fleet::State &state) {
        std::vector<PlacementTarget> targets;
        const auto wave = state.waves().find(move.wave);
        for (const auto &[id, host] : state.hosts()) {
            const auto isPendingInWave =
                wave != state.waves().end()
                && std::ranges::find(wave->second.hosts, id) != wave->second.hosts.end();
            if (host.pool == move.fromPool && host.state == Fleet::HostState::Serving
                && !isPendingInWave && id != move.host)
                targets.push_back({id, host.slots});
        }
        return targets;
    });
    for (auto &target : targets) {
        const auto tasks = m_platform.tasksOn(target.host);
        if (!tasks) {
            target.freeSlots = 0;
            continue;
        }
        for (const auto &task : tasks.value())
            target.freeSlots -= slotsOf(task);
    }
    return targets;
}

auto MoveRunner::reportUnplaced(const Move &move, const JobPlan &plan) -> void
{
    if (move.wave.empty())
        return;
    const auto isKnown = m_replica.read([&](const Fleet::State &state) {
        const auto wave = state.waves().find(move.wave);
        return wave != state.waves().end()
               && std::ranges::all_of(plan.unplaced, [&](const std::string &job) {
                      return std::ranges::find(wave->second.unplacedJobs, job)
                             != wave->second.unplacedJobs.end();
                  });
    });
    if (!isKnown)
        execute(Fleet::UpdateWave{move.wave, {}, plan.unplaced}, move);
}

auto MoveRunner::moveJobs(const Move &move, const JobPlan &plan) -> std::int64_t
{
    std::int64_t moved = 0;
    for (const auto &job : plan.moves)
        moved += m_platform.moveTask(job.job, move.host, job.toHost) ? 1 : 0;
    return moved;
}

auto MoveRunner::requestsInFlight(const Move &move) const -> std::int64_t
{
    std::int64_t inFlight = 0;
    for (const auto &endpoint : m_directory.onHost(move.host))
        inFlight += endpoint.announcement.inFlight;
    return inFlight;
}

auto MoveRunner::askOperator(const Move &move, const std::string &waitsFor) -> void
{
    if (move.needsOperator || age(move) < m_timing.drainDeadline)
        return;
    execute(
        Fleet::AdvanceMove{
            move.id, move.state, move.state, "past its deadline, waits for " + waitsFor, true, 0},
        move);
}

auto MoveRunner::age(const Move &move) const -> Utils::Milliseconds
{
    return Utils::Milliseconds(m_clock.wallTime() - move.changedMs);
}

auto MoveRunner::advance(const Move &move, MoveState to, std::string detail, std::int64_t jobMoves)
    -> bool
{
    return execute(Fleet::AdvanceMove{move.id, move.state, to, std::move(detail), false, jobMoves},
                   move);
}

auto MoveRunner::execute(Fleet::CommandBody body, const Move &move) -> bool
{
    const auto result = m_gateway.execute(std::move(body), {plannerActor, move.reason, {}, {}});
    if (!result)
        Utils::Log::info("planning",
                         "a move waits",
                         {{"move", move.id},
                          {"host", move.host},
                          {"reason", result.error().message},
                          {"details", result.error().details}});
    if (result)
        m_retries.erase(move.id);
    else
        recordRefusal(move.id);
    return bool(result);
}

// Checks the grants in the local state first, so that a move that waits for its budget adds no
// entries to the log.
auto MoveRunner::isGrantable(const Move &move) const -> bool
{
    const auto nowMs = m_clock.wallTime();
    return m_replica.read(
        [&](const Fleet::State &state) { return bool(state.checkGrants(move, nowMs)); });
}

auto MoveRunner::mayRetry(const std::string &move) const -> bool
{
    const auto found = m_retries.find(move);
    return found == m_retries.end() || m_clock.now() >= found->second.at;
}

auto MoveRunner::recordRefusal(const std::string &move) -> void
{
    if (move.empty())
        return;
    auto &retry = m_retries[move];
    retry.wait = std::clamp(2 * retry.wait, initialRetryWait, longestRetryWait);
    retry.at = m_clock.now() + retry.wait;
}

} // namespace Planning
