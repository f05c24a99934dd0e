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
// Interval at which runs are checked for stops that become due by the passage of time alone.
constexpr Utils::Milliseconds stopCheckInterval{100};
// Occurrences that are due within this time count as demand, so that hosts moved now arrive in
// time.
constexpr std::int64_t soonDueMs = 2000;

// Ranks jobs with long-running tasks before all others.
constexpr std::int64_t longRunningPriority = -1;

auto addLongRunning(JobDemand &demand, const Jobs::StepSpec &step) -> void
{
    demand.pool.longRunningMillicores += Scheduling::occupiedBy(step).cpuMillicores * step.count;
    demand.pool.longRunningMemoryMb += step.demand.memoryMb * step.count;
    demand.longRunning += {step.demand.cpuMillicores * step.count,
                           step.demand.memoryMb * step.count,
                           step.demand.gpus * step.count};
    if (step.maximumPerHost > 0) {
        const auto apart = (step.count + step.maximumPerHost - 1) / step.maximumPerHost;
        demand.pool.minimumHosts = std::max(demand.pool.minimumHosts, apart);
    }
}

// Adds batch work that takes \a workMs of one task, which is still to be spread over the time for it.
auto addBatch(JobDemand &demand, const Jobs::StepSpec &step, double workMs) -> void
{
    demand.pool.batchMillicores += workMs * double(Scheduling::occupiedBy(step).cpuMillicores);
    demand.batch[0] += workMs * double(step.demand.cpuMillicores);
    demand.batch[1] += workMs * double(step.demand.memoryMb);
    demand.batch[2] += workMs * double(step.demand.gpus);
}

} // namespace

auto RunLedger::schedule(const Control::State &state, Utils::Instant now, std::int64_t wallMs)
    -> Orders
{
    Orders orders;
    m_passWallMs = wallMs;
    orders.stops = std::exchange(m_blockingStops, {});
    syncAccounts(state);
    syncJobs(state);
    // A former leader may have recorded their ends late, after this term has begun.
    for (const auto &task : m_gone) {
        if (const auto job = m_jobs.find(task.job);
            job != m_jobs.end() && !state.jobs.isUndone(task))
            job->second.setState(task, TaskState::Done);
    }
    paceBackfill(now, orders);
    countAccounts(state, now, wallMs);
    startTasks(now, wallMs, orders);
    // Tasks that are to move are stopped if this pass has a place for them.
    if (m_stopsDue || now - m_stopsCheckedAt >= stopCheckInterval)
        stopUnwanted(now, orders);
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
    m_places.forget(job->first);
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
    auto &added =
        m_jobs.try_emplace(position, job.spec.id, job, expectedDurations(job.spec))->second;
    added.setTerms(terms);
    added.setAccount(m_accounts.idOf(job.spec.account));
}

auto RunLedger::updateDemand(std::int64_t wallMs) -> void
{
    m_demand.clear();
    AccountDemands limited;
    for (const auto &[pool, unplaced] : m_unplaced)
        m_demand[pool].unplaced = unplaced;
    for (auto &[id, job] : m_jobs) {
        auto &pool = m_demand[job.spec().pool];
        const auto demand = demandOf(job, wallMs);
        if (m_accounts.hasQuota(job.account()))
            limited.add(job.account(), job.spec().pool, demand);
        else
            addTo(pool, demand.pool);
    }
    limited.addBounded(m_accounts, m_demand);
}

// Returns the remaining demand of the job: its batch work, spread over the time available, and its
// long-running tasks.
auto RunLedger::demandOf(JobProgress &job, std::int64_t wallMs) const -> JobDemand
{
    JobDemand demand;
    const auto number = job.currentOccurrence();
    if (job.spec().repetition.count > 0 && job.spec().dueMs(number) > wallMs + soonDueMs)
        return demand;
    const auto &occurrence = job.occurrence(number);
    for (std::size_t index = 0; index < occurrence.size(); ++index) {
        const auto &spec = job.spec().steps[index];
        if (spec.longRunning) {
            addLongRunning(demand, spec);
            continue;
        }
        const auto open = occurrence[index].tasks.size() - occurrence[index].done;
        addBatch(demand, spec, double(open) * double(job.durationMs(index)));
    }
    const auto timeMs = double(Scheduling::timeForWorkMs(rankOf(job, wallMs), wallMs));
    demand.pool.batchMillicores /= timeMs;
    for (auto &amount : demand.batch)
        amount /= timeMs;
    return demand;
}

auto RunLedger::rankOf(JobProgress &job, std::int64_t wallMs) const -> Scheduling::JobRank
{
    auto terms = job.terms();
    if (job.isLongRunning())
        terms.priority = longRunningPriority;
    const auto number = job.currentOccurrence();
    auto rank = Scheduling::rankOf(
        terms, job.chainMs(), job.spec().dueMs(number), job.remainingMs(number), wallMs);
    rank.beyondRate = job.spec().beyondRate && !job.isLongRunning();
    return rank;
}

auto RunLedger::startTasks(Utils::Instant now, std::int64_t wallMs, Orders &orders) -> void
{
    std::vector<Candidate> candidates;
    PoolPlacements pools;
    m_waitingTasks = 0;
    m_searches = 0;
    m_keptFree.clear();
    m_toBeOpened.clear();
    m_unplaced.clear();
    m_capacities.clear();
    for (auto &[id, job] : m_jobs) {
        if (!job.mayStart(wallMs))
            continue;
        const auto work = job.readyWork();
        // The backlog of an account at its quota costs no search, keeps no room free and asks for no host.
        if (work && !m_accounts.mayStart(job.account(), work->leastDemand)) {
            m_waitingTasks += work->tasks;
            noteQuotaWait(job, work->tasks);
            continue;
        }
        auto &pool = placementOf(pools, job.spec().pool, now);
        // In a full pool most jobs wait, so they are neither ranked nor sorted. Endpoints may have to be
        // kept free for long-running tasks.
        if (!job.isLongRunning() && work && !work->leastDemand.fitsInto(pool.mostFree)) {
            m_waitingTasks += work->tasks;
            pool.isFull = true;
            continue;
        }
        candidates.push_back({rankOf(job, wallMs), &job, &pool});
        // The rank has begun the job's occurrence.
        if (const auto begun = job.readyWork(); m_accounts.hasAccounts() && begun)
            noteWanted(pool, *begun);
    }
    std::ranges::sort(candidates, std::less<>(), &Candidate::rank);
    // Long-running tasks come first: those that are being stopped to start elsewhere, those that wait, those that
    // may be lost, and those that are to move.
    const auto isLongRunning = [](const auto &candidate) { return candidate.job->isLongRunning(); };
    const auto firstShort = std::ranges::find_if_not(candidates, isLongRunning);
    // Tasks with fewer places choose first: nothing moves a task that has taken the only place of another one.
    for (auto candidate = candidates.begin(); candidate != firstShort; ++candidate)
        candidate->places = fewestPlaces(*candidate->job, *candidate->pool);
    std::ranges::stable_sort(candidates.begin(), firstShort, {}, &Candidate::places);
    reserveForStopped(pools, now);
    startInOrder({candidates.begin(), firstShort}, wallMs, orders);
    keepFreeForLost(pools, now);
    evacuateEndpoints(pools, now);
    startByShares({firstShort, candidates.end()}, wallMs, orders);
}

auto RunLedger::startJob(JobProgress &job, PoolPlacement &pool, std::int64_t wallMs, Orders &orders)
    -> void
{
    const auto &spec = job.spec();
    const auto end = job.endOfOverlap();
    for (auto number = job.currentOccurrence(); number < end; ++number) {
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
            if (!mayStart(job, spec.steps[index]))
                noteQuotaWait(job, occurrence[index].open);
        }
    }
}

auto RunLedger::startStep(JobProgress &job,
                          const Jobs::TaskId &first,
                          PoolPlacement &pool,
                          Orders &orders) -> void
{
    const auto &spec = job.spec().steps[std::size_t(first.step)];
    auto allowed = m_accounts.tasksAllowed(job.account(), spec.demand);
    if (allowed == 0)
        return;
    auto roomLeft = hasRoom(pool, Scheduling::occupiedBy(spec));
    if (!roomLeft && !spec.longRunning)
        return;
    const auto place = planPlaces(job, first, pool);
    if (place.startsNothing)
        return;
    std::vector<std::int64_t> notCounted;
    const auto counts = spec.maximumPerHost > 0 || spec.longRunning;
    auto &tasksOfStep = counts ? RunLedger::tasksOfStep(job, first, pool) : notCounted;
    std::int64_t unplaced = 0; // Long-running tasks that no endpoint could run.
    auto task = first;
    for (task.index = 0; task.index < spec.count; ++task.index) {
        if (job.state(task) != TaskState::Open)
            continue;
        if (allowed-- == 0)
            break;
        auto chosen = roomLeft ? Scheduling::chooseEndpoint(
                          pool.views, {&spec, tasksOfStep, false, place.rack, place.onlyThere})
                               : std::nullopt;
        // A label or a limit per host may be the cause, so other steps may still have room.
        roomLeft = chosen.has_value();
        if (!chosen && !spec.longRunning)
            return;
        if (!chosen && unplaced == 0) {
            if (keepFree(spec, tasksOfStep, pool))
                continue;
            chosen = Scheduling::chooseEndpoint(pool.views, {&spec, tasksOfStep, true});
            if (!chosen)
                noteToBeOpened(spec, tasksOfStep, pool);
        }
        if (!chosen) {
            ++unplaced;
            continue;
        }
        claim(*chosen, spec, tasksOfStep, pool);
        auto &view = pool.views[*chosen];
        view.servesUsers = view.servesUsers || spec.latencyTargetMs > 0;
        view.holdsLongRunning = view.holdsLongRunning || spec.longRunning;
        orders.starts.push_back(book(*pool.endpoints[*chosen], job, task, nextNumber(), pool.now));
    }
    if (unplaced > 0)
        addUnplaced(job, spec, unplaced, pool);
}

// Starts all members of a gang under one run number, or none of them.
auto RunLedger::startGang(JobProgress &job,
                          const Jobs::TaskId &first,
                          PoolPlacement &pool,
                          Orders &orders) -> void
{
    const auto &spec = job.spec().steps[std::size_t(first.step)];
    const auto &step = job.occurrence(first.occurrence)[std::size_t(first.step)];
    if (step.open != step.tasks.size() || !mayStart(job, spec))
        return;
    const auto place = planPlaces(job, first, pool);
    if (place.startsNothing)
        return;
    const auto savedViews = pool.views;
    std::vector<std::int64_t> tasksOfStep(pool.endpoints.size(), 0);
    std::vector<std::size_t> places;
    for (std::int64_t index = 0; index < spec.count; ++index) {
        const auto chosen = Scheduling::chooseEndpoint(
            pool.views, {&spec, tasksOfStep, false, place.rack, place.onlyThere});
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
    run.account = job.account();
    run.orderedAt = now;
    run.orderedForMs = endpoint.record.incarnation.bornMs;
    const auto lease = startLeaseOf(spec, endpoint);
    run.leaseEndMs = endpoint.clockAtLeast(now) + lease.count();
    endpoint.extendLease(now + longestLocalTime(lease));
    if (spec.fills && endpoint.servesUsers())
        endpoint.backfillPercent = std::min(endpoint.backfillPercent, initialBackfillPercent);
    const auto checkpoint = m_checkpoints.find(task);
    run.resumed = checkpoint != m_checkpoints.end();
    notePlace(run, endpoint, job);
    endpoint.runs.add(run);
    m_accounts.add(run.account, run.demand);
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

auto RunLedger::startLeaseOf(const Jobs::StepSpec &step, const EndpointEntry &endpoint) const
    -> Utils::Milliseconds
{
    if (!step.longRunning)
        return m_timing.lease;
    return endpoint.leaseRenewed ? m_timing.startLease : m_timing.firstStartLease;
}

auto RunLedger::nextNumber() -> std::int64_t
{
    return m_term * startsPerTerm + ++m_starts;
}

} // namespace Execution
