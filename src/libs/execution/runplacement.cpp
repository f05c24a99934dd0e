// Implements the part of RunLedger that tells which endpoints of a pool can run tasks.
#include "runledger.h"

#include <algorithm>

namespace Execution {
namespace {

// After this many consecutive failed task ends, an endpoint gets no new tasks for avoidTime.
constexpr std::int64_t failuresToAvoid = 3;
constexpr Utils::Milliseconds avoidTime{2500};
// At most 1/3 of the endpoints of a pool (rounded down) are avoided, or one in a pool of two.
constexpr std::size_t avoidedDivisor = 3;

// Returns how many endpoints of a pool may be avoided at the same time.
auto maximumAvoided(std::size_t endpoints) -> std::size_t
{
    if (endpoints < 2)
        return 0;
    return std::max<std::size_t>(1, endpoints / avoidedDivisor);
}

} // namespace

auto RunLedger::endpointsOfPool(const std::string &pool) -> const std::vector<EndpointEntry *> &
{
    if (m_endpointsByPool.empty()) {
        for (auto &[id, endpoint] : m_endpoints)
            m_endpointsByPool[endpoint.record.pool].push_back(&endpoint);
    }
    return m_endpointsByPool[pool];
}

auto RunLedger::placementFor(const std::string &pool, Utils::Instant now) -> PoolPlacement
{
    PoolPlacement placement;
    placement.now = now;
    placement.endpoints = endpointsOfPool(pool);
    updateAvoided(placement);
    for (auto *endpoint : placement.endpoints) {
        auto &view = placement.views.emplace_back();
        view.rack = endpoint->record.rack;
        view.labels = endpoint->record.labels;
        view.free = endpoint->freeResources();
        view.freeOnceShortTasksEnd = endpoint->freeOnceShortTasksEnd();
        view.servesUsers = endpoint->servesUsers();
        view.holdsLongRunning = endpoint->holdsLongRunning();
        // Polls may still get replies where orders do not, so they do not make the endpoint a good choice.
        view.recentFailures = endpoint->failureStreak + endpoint->unansweredStarts;
        view.open = acceptsTasks(*endpoint, now);
        view.lastResort = waitsForMaintenance(*endpoint) && isUsable(*endpoint, now);
        // Ends of long-running tasks are not recorded, and these start again however they ended.
        view.onlyLongRunning = mayLoseEnds(*endpoint);
        if (!view.open)
            continue;
        placement.mostFree = mostOf(placement.mostFree, view.free);
        placement.unclaimed += view.free;
        placement.mostOnceShortTasksEnd =
            mostOf(placement.mostOnceShortTasksEnd, view.freeOnceShortTasksEnd);
    }
    return placement;
}

// Returns true if long-running tasks keep the endpoint's host from being maintained.
auto RunLedger::waitsForMaintenance(const EndpointEntry &endpoint) -> bool
{
    return endpoint.evacuating && endpoint.holdsLongRunning() && endpoint.closedForMaintenance
           && !endpoint.closedForMove && !endpoint.endOrdered;
}

// Returns true if orders for its host alone may keep the endpoint from getting tasks.
auto RunLedger::isUsable(const EndpointEntry &endpoint, Utils::Instant now) const -> bool
{
    // Without a token of its own, an incarnation would carry out orders for the former ones.
    return endpoint.fencingToken < lastToken() && endpoint.answers && !endpoint.draining
           && !endpoint.leaving && endpoint.mayRenewLease()
           && now - endpoint.lastReplyAt < m_timing.maximumPollAge && now >= endpoint.avoidUntil;
}

auto RunLedger::acceptsTasks(const EndpointEntry &endpoint, Utils::Instant now) const -> bool
{
    return isUsable(endpoint, now) && !endpoint.isClosed();
}

auto RunLedger::useOf(std::string_view pool, Utils::Instant now) const -> PoolUse
{
    PoolUse use;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (endpoint.record.pool != pool)
            continue;
        for (const auto &[task, run] : endpoint.runs)
            use.unconfirmedRuns += run.state != RunState::Running ? 1 : 0;
        if (!acceptsTasks(endpoint, now))
            continue;
        ++use.openEndpoints;
        use.freeMillicores += endpoint.freeResources().cpuMillicores;
    }
    return use;
}

// Pauses endpoints with several consecutive failures, so that they do not attract more tasks.
auto RunLedger::updateAvoided(PoolPlacement &pool) -> void
{
    auto avoided = std::size_t(std::ranges::count_if(
        pool.endpoints, [&](const auto *endpoint) { return pool.now < endpoint->avoidUntil; }));
    for (auto *endpoint : pool.endpoints) {
        if (endpoint->failureStreak < failuresToAvoid || pool.now < endpoint->avoidUntil
            || avoided >= maximumAvoided(pool.endpoints.size()))
            continue;
        endpoint->avoidUntil = pool.now + avoidTime;
        // One more failure after the pause is enough to avoid the endpoint again.
        endpoint->failureStreak = failuresToAvoid - 1;
        ++avoided;
    }
}

auto RunLedger::placementOf(PoolPlacements &pools, const std::string &pool, Utils::Instant now)
    -> PoolPlacement &
{
    const auto found = pools.find(pool);
    if (found != pools.end())
        return found->second;
    auto &added = pools.emplace(pool, placementFor(pool, now)).first->second;
    added.number = pools.size() - 1;
    return added;
}

// Returns the number of tasks of the step on each endpoint of the pool.
auto RunLedger::countTasksOfStep(const JobProgress &job,
                                 const Jobs::TaskId &first,
                                 const PoolPlacement &pool) -> std::vector<std::int64_t>
{
    std::vector<std::int64_t> counts(pool.endpoints.size(), 0);
    // The endpoints of a pool are sorted by id. Only those of the job are looked at, since a large
    // pool has hundreds of others.
    const auto idOf = [](const auto *endpoint) { return endpoint->record.incarnation.id; };
    for (const auto &id : job.endpoints()) {
        const auto found = std::ranges::lower_bound(pool.endpoints, id, {}, idOf);
        if (found != pool.endpoints.end() && idOf(*found) == id)
            counts[std::size_t(found - pool.endpoints.begin())] = (*found)->runs.countOfStep(first);
    }
    return counts;
}

auto RunLedger::tasksOfStep(const JobProgress &job, const Jobs::TaskId &task, PoolPlacement &pool)
    -> std::vector<std::int64_t> &
{
    const auto first = Jobs::firstOfStep(task);
    const auto [counts, added] = pool.tasksOfSteps.try_emplace(first);
    if (added)
        counts->second = countTasksOfStep(job, first, pool);
    return counts->second;
}

// Returns the lowest number of endpoints that could run an open task of a step once short tasks have ended.
auto RunLedger::fewestPlaces(JobProgress &job, PoolPlacement &pool) -> std::int64_t
{
    const auto number = job.currentOccurrence();
    const auto &occurrence = job.occurrence(number);
    auto fewest = std::int64_t(pool.endpoints.size());
    for (std::size_t index = 0; index < occurrence.size(); ++index) {
        if (occurrence[index].open == 0 || !job.isReady(occurrence, index))
            continue;
        const Jobs::TaskId first{job.spec().id, number, std::int64_t(index), 0};
        const Scheduling::PlacementRequest request{&job.spec().steps[index],
                                                   tasksOfStep(job, first, pool)};
        fewest = std::min(fewest, Scheduling::countPlaces(pool.views, request));
    }
    return fewest;
}

} // namespace Execution
