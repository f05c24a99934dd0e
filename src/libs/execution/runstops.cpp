// Implements the part of RunLedger that stops and paces runs.
#include "runledger.h"

#include <algorithm>
#include <utility>

namespace Execution {
namespace {

// A stop is repeated after this time if the run is not settled.
constexpr Utils::Milliseconds stopRetry{700};
// Interval at which the speed of backfill tasks is adapted to the load figures that polls report.
constexpr Utils::Milliseconds paceCheckInterval{50};
// A start without a reply is stopped after this time at the earliest, unless a poll lists the run.
constexpr Utils::Milliseconds uncertainGrace{600};

// Backfill tasks are slowed down when a tail latency exceeds this percentage of its target.
constexpr std::int64_t slowBackfillAbove = 80;
// Backfill tasks are sped up again when all tail latencies are below this percentage.
constexpr std::int64_t speedUpBackfillBelow = 55;
constexpr std::int64_t fullPercent = 100;
constexpr std::int64_t minimumBackfillPercent =
    10; // Backfill tasks pause instead of running slower than this.
constexpr std::int64_t backfillIncrease = 15;

auto highestLoadPercent(const EndpointEntry &endpoint) -> std::int64_t
{
    std::int64_t highest = 0;
    for (const auto &[task, run] : endpoint.runs) {
        if (run.latencyTargetMs > 0)
            highest = std::max(highest, run.load * fullPercent / run.latencyTargetMs);
    }
    return highest;
}

} // namespace

auto RunLedger::stopUnwanted(Utils::Instant now, Orders &orders) -> void
{
    m_stopsDue = false;
    m_stopsCheckedAt = now;
    for (auto &[id, endpoint] : m_endpoints) {
        for (auto &[task, run] : endpoint.runs) {
            const auto job = m_jobs.find(task.job);
            if (job == m_jobs.end() || job->second.state(task) == TaskState::Done)
                run.requestStop(StopReason::NotWanted);
            const auto unsettled =
                run.state == RunState::Uncertain && now - run.orderedAt > uncertainGrace;
            if (run.state == RunState::Ordered || !(run.stopReason || unsettled))
                continue;
            if (run.stopSentAt != Utils::Instant() && now - run.stopSentAt < stopRetry)
                continue;
            if (!mayStopNow(run))
                continue;
            run.stopSentAt = now;
            orders.stops.push_back(stopOrder(endpoint, run));
        }
    }
}

auto RunLedger::stopOrder(const EndpointEntry &endpoint, const Run &run) const -> StopOrder
{
    StopOrder order{target(endpoint), run.task, run.number};
    order.reason = run.stopReason.value_or(StopReason::StartUnanswered);
    const auto *spec = specOf(run.task);
    if (run.longRunning && spec != nullptr) {
        order.othersUnavailable = unavailableTasks(run.task, {});
        order.mayMiss = spec->mayMiss;
    }
    return order;
}

auto RunLedger::paceBackfill(Utils::Instant now, Orders &orders) -> void
{
    if (now - m_pacesCheckedAt < paceCheckInterval)
        return;
    m_pacesCheckedAt = now;
    for (auto &[id, endpoint] : m_endpoints) {
        if (!endpoint.runs.holdsBackfill())
            continue;
        const auto serves = endpoint.servesUsers();
        if (!serves)
            endpoint.backfillPercent = fullPercent;
        else if (std::exchange(endpoint.loadUpdated, false)) {
            const auto load = highestLoadPercent(endpoint);
            auto &percent = endpoint.backfillPercent;
            if (load > slowBackfillAbove)
                percent = percent / 2 < minimumBackfillPercent ? 0 : percent / 2;
            else if (load < speedUpBackfillBelow)
                percent = std::min(fullPercent, percent + backfillIncrease);
        }
        for (auto &[task, run] : endpoint.runs) {
            const auto settled = run.state == RunState::Running && !run.paceInFlight;
            if (!run.fills || !settled || run.pacePercent == endpoint.backfillPercent)
                continue;
            run.paceInFlight = true;
            orders.paces.push_back({target(endpoint), task, run.number, endpoint.backfillPercent});
        }
    }
}

} // namespace Execution
