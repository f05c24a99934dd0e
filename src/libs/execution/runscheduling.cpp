// Implements the part of RunLedger that decides on orders.
#include "runledger.h"

#include "scheduling/joborder.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace Execution {
namespace {

// Run numbers are term * startsPerTerm + counter, so that they increase across leaders.
constexpr std::int64_t startsPerTerm = 1'000'000;
// A stop is repeated after this time if the run is not settled.
constexpr Utils::Milliseconds stopRetry{700};
// Interval at which runs are checked for stops that become due by the passage of time alone.
constexpr Utils::Milliseconds stopCheckInterval{100};
// Interval at which the speed of backfill tasks is adapted to the load figures that polls report.
constexpr Utils::Milliseconds paceCheckInterval{50};
// Occurrences that are due within this time count as demand, so that hosts moved now arrive in
// time.
constexpr std::int64_t soonDueMs = 2000;
// A start without a reply is stopped after this time at the earliest, unless a poll lists the run.
constexpr Utils::Milliseconds uncertainGrace{600};
// After this many consecutive failed task ends, an endpoint gets no new tasks for avoidTime.
constexpr std::int64_t failuresToAvoid = 3;
constexpr Utils::Milliseconds avoidTime{2500};
// At most 1/3 of the endpoints of a pool (rounded down) are avoided, or one in a pool of two.
constexpr std::size_t avoidedDivisor = 3;

// Backfill tasks are slowed down when a tail latency exceeds this percentage of its target.
constexpr std::int64_t slowBackfillAbove = 80;
// Backfill tasks are sped up again when all tail latencies are below this percentage.
constexpr std::int64_t speedUpBackfillBelow = 55;
constexpr std::int64_t fullPercent = 100;
constexpr std::int64_t minimumBackfillPercent =
    10; // Backfill tasks pause instead of running slower than this.
constexpr std::int64_t backfillIncrease = 15;

// Ranks jobs with long-running tasks before all others.
constexpr std::int64_t longRunningPriority = -1;

auto highestLoadPercent(const EndpointEntry &endpoint) -> std::int64_t
{
    std::int64_t highest = 0;
    for (const auto &[task, run] : endpoint.runs) {
        if (run.latencyTargetMs > 0)
            highest = std::max(highest, run.load * fullPercent / run.latencyTargetMs);
    }
    return highest;
}

// Returns how many endpoints of a pool may be avoided at the same time.
auto maximumAvoided(std::size_t endpoints) -> std::size_t
{
    if (endpoints < 2)
        return 0;
    return std::max<std::size_t>(1, endpoints / avoidedDivisor);
}

} // namespace

auto RunLedger::schedule(const Control::State &state, Utils::Instant now, std::int64_t wallMs)
    -> Orders
{
    Orders orders;
    orders.stops = std::exchange(m_blockingStops, {});
    syncJobs(state);
    if (m_stopsDue || now - m_stopsCheckedAt >= stopCheckInterval)
        stopUnwanted(now, orders);
    paceBackfill(now, orders);
    startTasks(now, wallMs, orders);
    orders.gone = takeGone(state, now);
    orders.found = takeFound(state);
    return orders;
}

// Updates the terms of jobs from the configuration and m_jobs from the submitted and ended jobs.
auto RunLedger::syncJobs(const Control::State &state) -> void
{
    if (std::exchange(m_termsVersion, state.configuration.version) != state.configuration.version) {
        for (auto &[id, job] : m_jobs)
            job.setTerms(state.configuration.termsOf(job.spec()));
    }
    if (std::exchange(m_jobsVersion, state.jobs.version()) == state.jobs.version())
        return;
    // Both are sorted by id.
    auto known = m_jobs.begin();
    for (const auto &id : state.jobs.activeIds()) {
        while (known != m_jobs.end() && known->first < id)
            known = removeJob(known);
        if (known != m_jobs.end() && known->first == id) {
            ++known;
            continue;
        }
        const auto &job = *state.jobs.find(id);
        addJob(known, job, state.configuration.termsOf(job.spec));
    }
    while (known != m_jobs.end())
        known = removeJob(known);
}

auto RunLedger::removeJob(JobsById::iterator job) -> JobsById::iterator
{
    m_stopsDue = m_stopsDue || job->second.hasBookedTask();
    m_startedJobs.erase(job->first);
    const auto firstCheckpoint = m_checkpoints.lower_bound({job->first, 0, 0, 0});
    auto lastCheckpoint = firstCheckpoint;
    while (lastCheckpoint != m_checkpoints.end() && lastCheckpoint->first.job == job->first)
        ++lastCheckpoint;
    m_checkpoints.erase(firstCheckpoint, lastCheckpoint);
    std::erase_if(m_takenGone, [&](const Jobs::TaskId &task) { return task.job == job->first; });
    return m_jobs.erase(job);
}

// Adds the job in front of \a position.
auto RunLedger::addJob(JobsById::iterator position,
                       const Jobs::Job &job,
                       const Jobs::QueueTerms &terms) -> void
{
    std::vector<std::int64_t> durationsMs;
    for (const auto &step : job.spec.steps)
        durationsMs.push_back(m_durations.expect(job.spec.queue, step.estimateMs));
    m_jobs.try_emplace(position, job.spec.id, job, durationsMs)->second.setTerms(terms);
}

auto RunLedger::updateDemand(std::int64_t wallMs) -> void
{
    m_demand.clear();
    for (const auto &[pool, unplaced] : m_unplaced)
        m_demand[pool].unplaced = unplaced;
    for (auto &[id, job] : m_jobs)
        addDemand(job, wallMs);
}

// Adds the remaining demand of the job to its pool: its batch work, spread over the time available,
// and its long-running tasks.
auto RunLedger::addDemand(JobProgress &job, std::int64_t wallMs) -> void
{
    auto &demand = m_demand[job.spec().pool];
    const auto number = job.currentOccurrence();
    if (job.spec().repetition.count > 0 && job.spec().dueMs(number) > wallMs + soonDueMs)
        return;
    const auto &occurrence = job.occurrence(number);
    double work = 0;
    for (std::size_t index = 0; index < occurrence.size(); ++index) {
        const auto &spec = job.spec().steps[index];
        const auto millicores = Scheduling::occupiedBy(spec).cpuMillicores;
        if (!spec.longRunning) {
            const auto open = occurrence[index].tasks.size() - occurrence[index].done;
            work += double(open) * double(millicores) * double(job.durationMs(index));
            continue;
        }
        demand.longRunningMillicores += millicores * spec.count;
        demand.longRunningMemoryMb += spec.demand.memoryMb * spec.count;
        if (spec.maximumPerHost > 0) {
            const auto apart = (spec.count + spec.maximumPerHost - 1) / spec.maximumPerHost;
            demand.minimumHosts = std::max(demand.minimumHosts, apart);
        }
    }
    demand.batchMillicores += work / double(Scheduling::timeForWorkMs(rankOf(job, wallMs), wallMs));
}

auto RunLedger::rankOf(JobProgress &job, std::int64_t wallMs) const -> Scheduling::JobRank
{
    auto terms = job.terms();
    if (job.isLongRunning())
        terms.priority = longRunningPriority;
    const auto number = job.currentOccurrence();
    return Scheduling::rankOf(
        terms, job.chainMs(), job.spec().dueMs(number), job.remainingMs(number), wallMs);
}

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
        // Ends of long-running tasks are not recorded, and these start again however they ended.
        view.onlyLongRunning = mayLoseEnds(*endpoint);
        if (view.open)
            placement.mostFree = mostOf(placement.mostFree, view.free);
    }
    return placement;
}

auto RunLedger::acceptsTasks(const EndpointEntry &endpoint, Utils::Instant now) const -> bool
{
    return endpoint.answers && !endpoint.draining && !endpoint.isClosed() && !endpoint.leaving
           && endpoint.mayRenewLease() && now - endpoint.lastReplyAt < m_timing.maximumPollAge
           && now >= endpoint.avoidUntil;
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

auto RunLedger::startTasks(Utils::Instant now, std::int64_t wallMs, Orders &orders) -> void
{
    std::vector<Candidate> candidates;
    std::map<std::string, PoolPlacement> pools;
    m_waitingTasks = 0;
    m_searches = 0;
    m_keptFree.clear();
    m_unplaced.clear();
    for (auto &[id, job] : m_jobs) {
        if (!job.mayStart(wallMs))
            continue;
        auto &pool = placementOf(pools, job.spec().pool, now);
        const auto work = job.readyWork();
        // In a full pool most jobs wait, so they are neither ranked nor sorted. Endpoints may have to be
        // kept free for long-running tasks.
        if (!job.isLongRunning() && work && !work->leastDemand.fitsInto(pool.mostFree)) {
            m_waitingTasks += work->tasks;
            continue;
        }
        candidates.push_back({rankOf(job, wallMs), &job, &pool});
    }
    std::ranges::sort(candidates, std::less<>(), &Candidate::rank);
    auto keepsForLost = false;
    for (const auto &candidate : candidates) {
        // Long-running tasks come first.
        if (!candidate.job->isLongRunning() && !std::exchange(keepsForLost, true))
            keepFreeForLost(pools, now);
        startJob(*candidate.job, *candidate.pool, wallMs, orders);
    }
}

// Keeps room free for tasks whose lease is awaited: short tasks may take longer to leave it.
auto RunLedger::keepFreeForLost(std::map<std::string, PoolPlacement> &pools, Utils::Instant now)
    -> void
{
    std::vector<std::int64_t> tasksOfStep;
    std::optional<Jobs::TaskId> step;
    for (const auto &task : lostTasks(now)) {
        const auto &job = m_jobs.at(task.job);
        auto &pool = placementOf(pools, job.spec().pool, now);
        const Jobs::TaskId first{task.job, task.occurrence, task.step, 0};
        if (std::exchange(step, first) != first)
            tasksOfStep = countTasksOfStep(job, first, pool);
        keepFree(*job.specOf(task), tasksOfStep, pool);
    }
}

// Returns the long-running tasks that are booked where nothing answers; gangs start together only.
auto RunLedger::lostTasks(Utils::Instant now) -> std::set<Jobs::TaskId>
{
    std::set<Jobs::TaskId> tasks;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (now - endpoint.lastReplyAt < m_timing.maximumPollAge)
            continue;
        for (const auto &[task, run] : endpoint.runs)
            tasks.insert(task);
        for (const auto &[task, kind] : endpoint.inherited)
            tasks.insert(task);
    }
    for (const auto &[id, outliving] : m_outliving) {
        for (const auto &run : outliving.runs)
            tasks.insert(run.task);
        for (const auto &[task, kind] : outliving.inherited)
            tasks.insert(task);
    }
    std::erase_if(tasks, [this](const Jobs::TaskId &task) {
        const auto *job = findUnfinished(task);
        if (job == nullptr || job->state(task) != TaskState::Booked)
            return true;
        const auto &spec = *job->specOf(task);
        return !spec.longRunning || spec.gang;
    });
    return tasks;
}

auto RunLedger::placementOf(std::map<std::string, PoolPlacement> &pools,
                            const std::string &pool,
                            Utils::Instant now) -> PoolPlacement &
{
    const auto found = pools.find(pool);
    return found != pools.end() ? found->second
                                : pools.emplace(pool, placementFor(pool, now)).first->second;
}

auto RunLedger::startJob(JobProgress &job, PoolPlacement &pool, std::int64_t wallMs, Orders &orders)
    -> void
{
    const auto &spec = job.spec();
    for (auto number = job.currentOccurrence(); number < spec.occurrences(); ++number) {
        if (spec.dueMs(number) > wallMs && spec.repetition.count > 0)
            return;
        const auto &occurrence = job.occurrence(number);
        for (std::size_t index = 0; index < occurrence.size(); ++index) {
            if (occurrence[index].open == 0 || !job.isReady(occurrence, index))
                continue;
            const Jobs::TaskId first{spec.id, number, std::int64_t(index), 0};
            if (spec.steps[index].gang)
                startGang(job, first, pool, orders);
            else
                startStep(job, first, pool, orders);
            m_waitingTasks += occurrence[index].open;
        }
    }
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

auto RunLedger::startStep(JobProgress &job,
                          const Jobs::TaskId &first,
                          PoolPlacement &pool,
                          Orders &orders) -> void
{
    const auto &spec = job.spec().steps[std::size_t(first.step)];
    const auto demand = Scheduling::occupiedBy(spec);
    auto roomLeft = hasRoom(pool, demand);
    if (!roomLeft && !spec.longRunning)
        return;
    std::vector<std::int64_t> tasksOfStep;
    if (spec.maximumPerHost > 0 || spec.longRunning)
        tasksOfStep = countTasksOfStep(job, first, pool);
    std::int64_t unplaced = 0; // Long-running tasks that no endpoint could run.
    auto task = first;
    for (task.index = 0; task.index < spec.count; ++task.index) {
        if (job.state(task) != TaskState::Open)
            continue;
        const auto chosen =
            roomLeft ? Scheduling::chooseEndpoint(pool.views, {&spec, tasksOfStep}) : std::nullopt;
        // A label or a limit per host may be the cause, so other steps may still have room.
        roomLeft = chosen.has_value();
        if (!chosen && !spec.longRunning)
            return;
        if (!chosen) {
            const auto kept = unplaced == 0 && keepFree(spec, tasksOfStep, pool);
            unplaced += kept ? 0 : 1;
            continue;
        }
        auto &view = pool.views[*chosen];
        view.free -= demand;
        if (spec.longRunning)
            view.freeOnceShortTasksEnd -= demand;
        view.servesUsers = view.servesUsers || spec.latencyTargetMs > 0;
        view.holdsLongRunning = view.holdsLongRunning || spec.longRunning;
        if (!tasksOfStep.empty())
            ++tasksOfStep[*chosen];
        orders.starts.push_back(book(*pool.endpoints[*chosen], job, task, nextNumber(), pool.now));
    }
    if (unplaced > 0)
        addUnplaced(job, spec, unplaced, pool);
}

auto RunLedger::hasRoom(PoolPlacement &pool, const Jobs::Resources &demand) -> bool
{
    const auto refused = [&demand](const auto &tooLarge) { return tooLarge.fitsInto(demand); };
    if (std::ranges::any_of(pool.tooLarge, refused))
        return false;
    ++m_searches;
    if (Scheduling::hasRoom(pool.views, demand))
        return true;
    pool.tooLarge.push_back(demand);
    return false;
}

// Gives a long-running task the room that becomes free on an endpoint, so that tasks that need less
// do not take it piece by piece. Returns false if no endpoint could run the task.
auto RunLedger::keepFree(const Jobs::StepSpec &step,
                         std::vector<std::int64_t> &tasksOfStep,
                         PoolPlacement &pool) -> bool
{
    const auto chosen = Scheduling::chooseEndpointToKeepFree(pool.views, {&step, tasksOfStep});
    if (!chosen)
        return false;
    auto &view = pool.views[*chosen];
    const auto demand = Scheduling::occupiedBy(step);
    view.free -= demand;
    view.freeOnceShortTasksEnd -= demand;
    ++tasksOfStep[*chosen];
    m_keptFree.insert(pool.endpoints[*chosen]->record.incarnation.id);
    return true;
}

// Keeps room free for all members of a long-running gang, or counts them as unplaced.
auto RunLedger::keepFreeForGang(const JobProgress &job,
                                const Jobs::StepSpec &step,
                                PoolPlacement &pool) -> void
{
    const auto savedViews = pool.views;
    const auto savedKeptFree = m_keptFree;
    std::vector<std::int64_t> tasksOfStep(pool.endpoints.size(), 0);
    for (std::int64_t member = 0; member < step.count; ++member) {
        if (keepFree(step, tasksOfStep, pool))
            continue;
        pool.views = savedViews;
        m_keptFree = savedKeptFree;
        addUnplaced(job, step, step.count - member, pool);
        return;
    }
}

// Counts the hosts that could run \a count tasks of the step. Hosts that lack the label or are too small
// would not help.
auto RunLedger::addUnplaced(const JobProgress &job,
                            const Jobs::StepSpec &step,
                            std::int64_t count,
                            const PoolPlacement &pool) -> void
{
    if (!step.requiredLabel.empty())
        return;
    std::int64_t tasks = 0;
    for (const auto &[id, endpoint] : m_endpoints)
        tasks = std::max(tasks, Scheduling::tasksPerHost(step, endpoint.record.capacity));
    if (tasks == 0)
        return;
    auto &unplaced = m_unplaced[job.spec().pool];
    unplaced.hosts += double(count) / double(tasks);
    unplaced.openEndpoints = std::ranges::count(pool.views, true, &Scheduling::EndpointView::open);
}

auto RunLedger::isKeptFree(const std::string &endpoint) const -> bool
{
    return m_keptFree.contains(endpoint);
}

// Starts all members of a gang under one run number, or none of them.
auto RunLedger::startGang(JobProgress &job,
                          const Jobs::TaskId &first,
                          PoolPlacement &pool,
                          Orders &orders) -> void
{
    const auto &spec = job.spec().steps[std::size_t(first.step)];
    const auto &step = job.occurrence(first.occurrence)[std::size_t(first.step)];
    if (step.open != step.tasks.size())
        return;
    const auto savedViews = pool.views;
    std::vector<std::int64_t> tasksOfStep(pool.endpoints.size(), 0);
    std::vector<std::size_t> places;
    for (std::int64_t index = 0; index < spec.count; ++index) {
        const auto chosen = Scheduling::chooseEndpoint(pool.views, {&spec, tasksOfStep});
        if (!chosen) {
            pool.views = savedViews;
            if (spec.longRunning)
                keepFreeForGang(job, spec, pool);
            return;
        }
        pool.views[*chosen].free -= Scheduling::occupiedBy(spec);
        ++tasksOfStep[*chosen];
        places.push_back(*chosen);
    }
    const auto number = nextNumber();
    auto task = first;
    // All members have to resume from the same checkpoint.
    const auto checkpoint = m_checkpoints.find(first);
    const auto shared = checkpoint != m_checkpoints.end() ? checkpoint->second : std::string();
    for (std::size_t index = 0; index < places.size(); ++index) {
        task.index = std::int64_t(index);
        auto order = book(*pool.endpoints[places[index]], job, task, number, pool.now);
        order.checkpoint = shared;
        orders.starts.push_back(std::move(order));
    }
}

auto RunLedger::book(EndpointEntry &endpoint,
                     JobProgress &job,
                     const Jobs::TaskId &task,
                     std::int64_t number,
                     Utils::Instant now) -> StartOrder
{
    const auto &spec = job.spec().steps[std::size_t(task.step)];
    auto run = makeRun(spec, task, number);
    run.orderedAt = now;
    // Until a poll has renewed the lease, the run has to outlive that one poll is lost.
    const auto isShort = spec.longRunning && endpoint.leaseRenewed;
    const auto lease = isShort ? m_timing.startLease : m_timing.lease;
    run.leaseEndMs = endpoint.clockAtLeast(now) + lease.count();
    endpoint.leaseEnd = std::max(endpoint.leaseEnd, now + longestLocalTime(lease));
    if (spec.fills && endpoint.servesUsers())
        endpoint.backfillPercent = std::min(endpoint.backfillPercent, initialBackfillPercent);
    const auto checkpoint = m_checkpoints.find(task);
    run.resumed = checkpoint != m_checkpoints.end();
    endpoint.runs.add(run);
    job.addEndpoint(endpoint.record.incarnation.id);
    job.setState(task, TaskState::Booked);
    StartOrder order;
    order.target = target(endpoint);
    order.task = task;
    order.run = number;
    order.payload = job.spec().payload;
    order.leaseEndMs = run.leaseEndMs;
    if (run.resumed)
        order.checkpoint = checkpoint->second;
    return order;
}

auto RunLedger::nextNumber() -> std::int64_t
{
    return m_term * startsPerTerm + ++m_starts;
}

} // namespace Execution
