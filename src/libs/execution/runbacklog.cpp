// Implements the part of RunLedger that sums up the work that is not done.
#include "runledger.h"

#include "scheduling/admission.h"

namespace Execution {
namespace {

// Nothing is known of how long a run still takes, so tasks that run count as half done.
constexpr double restOfRun = 0.5;

} // namespace

auto RunLedger::expectedDurations(const Jobs::JobSpec &job) const -> std::vector<std::int64_t>
{
    std::vector<std::int64_t> durationsMs;
    for (const auto &step : job.steps)
        durationsMs.push_back(m_durations.expect(job.queue, step.estimateMs));
    return durationsMs;
}

auto RunLedger::backlog(const Control::State &state, Utils::Instant now, std::int64_t wallMs)
    -> Backlog
{
    // A job that was committed since the last pass would count nowhere.
    syncJobs(state);
    Backlog backlog;
    for (const auto &[id, endpoint] : m_endpoints) {
        const auto [known, added] = backlog.pools.try_emplace(endpoint.record.pool);
        auto &pool = known->second;
        if (added)
            pool.work = WorkByRank(wallMs);
        pool.largest = mostOf(pool.largest, endpoint.record.capacity);
        if (!acceptsTasks(endpoint, now))
            continue;
        pool.mostFree = mostOf(pool.mostFree, endpoint.freeResources());
        pool.free += endpoint.freeResources();
    }
    for (const auto &[id, endpoint] : m_endpoints) {
        auto &pool = backlog.pools.at(endpoint.record.pool);
        if (serves(endpoint, now))
            pool.hosts += Scheduling::shareOfHost(endpoint.freeOnceShortTasksEnd(), pool.largest);
    }
    for (auto &[id, job] : m_jobs) {
        if (!job.spec().account.empty())
            backlog.accountBytes += bytesOf(job.spec());
        if (const auto pool = backlog.pools.find(job.spec().pool); pool != backlog.pools.end())
            addWork(job, wallMs, pool->second);
    }
    return backlog;
}

// Returns true if the endpoint can be expected to get short tasks, even if it has not answered yet in this
// term.
auto RunLedger::serves(const EndpointEntry &endpoint, Utils::Instant now) const -> bool
{
    return !endpoint.draining && !endpoint.leaving && !endpoint.isClosed()
           && endpoint.mayRenewLease() && now - endpoint.lastReplyAt < m_timing.maximumPollAge;
}

// Adds the work of the job that other jobs may have to wait for. Work whose result is worthless comes last,
// so only its runs count. Nothing waits for a job that no endpoint has room for.
auto RunLedger::addWork(JobProgress &job, std::int64_t wallMs, PoolBacklog &pool) -> void
{
    const auto number = job.currentOccurrence();
    const auto &spec = job.spec();
    const auto isDue = spec.repetition.count == 0 || spec.dueMs(number) <= wallMs;
    if (job.isLongRunning() || !isDue || !fits(spec, pool.largest))
        return;
    const auto rank = rankOf(job, wallMs);
    const auto &occurrence = job.occurrence(number);
    double work = 0;
    for (std::size_t index = 0; index < occurrence.size(); ++index) {
        const auto &step = occurrence[index];
        const auto taskMs = workMs(spec.steps[index], 1, job.durationMs(index), pool.largest);
        const auto booked = step.tasks.size() - step.done - step.open;
        work += taskMs * restOfRun * double(booked);
        if (rank.outlook != Scheduling::Outlook::Missed)
            work += taskMs * double(step.open);
    }
    const WorkClass workClass{spec.beyondRate, rank.priority};
    if (work > 0 && rank.outlook == Scheduling::Outlook::OnTime)
        pool.work.add(workClass, rank.objectiveAtMs, work);
    else if (work > 0)
        pool.work.addLate(workClass, rank.objectiveAtMs, work);
}

} // namespace Execution
