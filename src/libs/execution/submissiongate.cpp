#include "submissiongate.h"

#include "scheduling/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Execution {
namespace {

// Memory for the accepted jobs of client accounts that are not done. A leader keeps some copies of each.
constexpr std::int64_t mostAccountBytes = 64LL * 1024 * 1024;

auto isRefusable(const Jobs::JobSpec &job, const Control::Configuration &configuration) -> bool
{
    const auto *queue = configuration.findQueue(job.address, job.queue);
    const auto isPublic = queue != nullptr && queue->isPublic;
    return !isPublic && job.repetition.count == 0
           && std::ranges::none_of(job.steps, &Jobs::StepSpec::longRunning);
}

// Returns what the tasks that can start at once occupy.
auto firstTasksOf(const Jobs::JobSpec &job) -> Jobs::Resources
{
    Jobs::Resources sum;
    for (const auto &step : job.steps) {
        if (!step.after.empty())
            continue;
        const auto task = Scheduling::occupiedBy(step);
        sum +=
            {task.cpuMillicores * step.count, task.memoryMb * step.count, task.gpus * step.count};
    }
    return sum;
}

auto haveRoom(const Jobs::JobSpec &job, const Jobs::Resources &room) -> bool
{
    return std::ranges::all_of(job.steps, [&room](const Jobs::StepSpec &step) {
        return !step.after.empty() || Scheduling::occupiedBy(step).fitsInto(room);
    });
}

} // namespace

SubmissionGate::SubmissionGate(Accounts::RateTerms rates)
    : m_rateWindow(rates.window)
    , m_refuses(rates.refuses)
    , m_rates(rates)
{}

auto SubmissionGate::decide(const Jobs::JobSpec &job,
                            std::span<const std::int64_t> durationsMs,
                            const Control::Configuration &configuration,
                            Utils::Instant now,
                            std::int64_t wallMs) -> SubmissionDecision
{
    SubmissionDecision decision;
    const auto *account = configuration.findAccount(job.account);
    if (account == nullptr)
        return decision;
    if (const auto same = m_pending.find(job.id); same != m_pending.end()) {
        ++same->second.commits;
        decision.beyondRate = same->second.beyondRate;
        return decision;
    }
    syncAccounts(configuration);
    const auto refusable = isRefusable(job, configuration);
    decision.beyondRate = refusable && m_rates.isExceeded(*account, now);
    const auto terms = configuration.termsOf(job);
    const auto chainMs = Scheduling::longestChainMs(job.steps, durationsMs);
    auto pending = pendingOf(job, durationsMs, terms, chainMs, wallMs);
    pending.beyondRate = decision.beyondRate;
    pending.workClass.beyondRate = decision.beyondRate;
    pending.countedAt = now;
    pending.counted = refusable && !decision.beyondRate;
    const auto known = m_updatedAt != Utils::Instant();
    if (known && refusable)
        decision.admission = Scheduling::decideAdmission(
            {terms, chainMs, pending.workMs, decision.beyondRate && m_refuses},
            loadFor(job, pending));
    if (decision.admission.refusal)
        return decision;
    if (pending.counted)
        m_rates.count(*account, now);
    if (!decision.beyondRate)
        m_inflows[job.pool].workMs += pending.workMs;
    count(pending);
    m_pending.emplace(job.id, std::move(pending));
    return decision;
}

// Work that no endpoint has room for, and work that is not due or does not end, is none that others wait
// for.
auto SubmissionGate::pendingOf(const Jobs::JobSpec &job,
                               std::span<const std::int64_t> durationsMs,
                               const Jobs::QueueTerms &terms,
                               std::int64_t chainMs,
                               std::int64_t wallMs) const -> Pending
{
    Pending pending;
    pending.account = job.account;
    pending.pool = job.pool;
    pending.bytes = bytesOf(job);
    pending.workClass.priority = terms.priority;
    pending.objectiveAtMs =
        Scheduling::rankOf(terms, chainMs, wallMs, chainMs, wallMs).objectiveAtMs;
    pending.objective = Utils::Milliseconds(pending.objectiveAtMs - wallMs);
    const auto pool = m_backlog.pools.find(job.pool);
    if (pool == m_backlog.pools.end() || !fits(job, pool->second.largest)
        || job.repetition.count > 0)
        return pending;
    pending.firstTasks = firstTasksOf(job);
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        const auto &step = job.steps[index];
        if (!step.longRunning)
            pending.workMs += workMs(step, step.count, durationsMs[index], pool->second.largest);
    }
    return pending;
}

auto SubmissionGate::loadFor(const Jobs::JobSpec &job, const Pending &pending) const
    -> Scheduling::AdmissionLoad
{
    Scheduling::AdmissionLoad load;
    load.isFull = m_backlog.accountBytes + pending.bytes > mostAccountBytes;
    if (const auto arriving = m_hosts.arriving.find(job.pool); arriving != m_hosts.arriving.end())
        load.hosts = double(arriving->second);
    if (const auto known = m_backlog.pools.find(job.pool); known != m_backlog.pools.end()) {
        const auto &pool = known->second;
        load.aheadMs = pool.work.before(pending.workClass, pending.objectiveAtMs);
        load.aheadOnTimeMs = pool.work.beforeOnTime(pending.workClass, pending.objectiveAtMs);
        load.hosts += pool.hosts;
        // Whether a job that no endpoint has room for is to be refused is not decided here.
        load.hasRoom = !fits(job, pool.largest)
                       || (haveRoom(job, pool.mostFree) && pending.firstTasks.fitsInto(pool.free));
    }
    if (const auto inflow = m_inflows.find(job.pool); inflow != m_inflows.end())
        load.owedHosts = inflow->second.hosts;
    return load;
}

// Adds an accepted job to what is known of its pool.
auto SubmissionGate::count(const Pending &pending) -> void
{
    m_backlog.accountBytes += pending.bytes;
    const auto pool = m_backlog.pools.find(pending.pool);
    if (pool == m_backlog.pools.end())
        return;
    pool->second.work.add(pending.workClass, pending.objectiveAtMs, pending.workMs);
    pool->second.free -= pending.firstTasks;
}

auto SubmissionGate::settled(const std::string &job, CommitResult result) -> void
{
    const auto found = m_pending.find(job);
    if (found == m_pending.end())
        return;
    auto &pending = found->second;
    pending.commits = std::max(0, pending.commits - 1);
    pending.committed |= result == CommitResult::Committed;
    pending.mayBeCommitted |= result == CommitResult::Unknown;
    if (pending.commits > 0 || pending.committed || pending.mayBeCommitted)
        return;
    if (pending.counted)
        m_rates.takeBack(pending.account, pending.countedAt);
    m_pending.erase(found);
}

auto SubmissionGate::update(Backlog backlog,
                            const HostOutlook &hosts,
                            const Jobs::JobTable &jobs,
                            Utils::Instant now) -> void
{
    m_backlog = std::move(backlog);
    m_hosts = hosts;
    updateInflows(now);
    countPending(jobs, now);
}

// The ledger counts the jobs that are known to be committed.
auto SubmissionGate::countPending(const Jobs::JobTable &jobs, Utils::Instant now) -> void
{
    std::erase_if(m_pending, [&jobs](const auto &item) {
        const auto &[id, pending] = item;
        return pending.commits == 0 && (pending.committed || jobs.find(id) != nullptr);
    });
    for (auto &[id, pending] : m_pending) {
        // A proposal that was lost is not to count as work for the rest of the term.
        if (pending.commits == 0 && now - pending.countedAt > pending.objective) {
            pending.workMs = 0;
            pending.firstTasks = {};
        }
        if (!pending.committed && jobs.find(id) == nullptr)
            count(pending);
    }
}

auto SubmissionGate::updateInflows(Utils::Instant now) -> void
{
    const auto elapsedMs = double((now - std::exchange(m_updatedAt, now)).count());
    if (elapsedMs <= 0)
        return;
    const auto weight = 1 - std::exp(-elapsedMs / double(m_rateWindow.count()));
    for (auto &[pool, inflow] : m_inflows) {
        const auto hosts = std::exchange(inflow.workMs, 0) / elapsedMs;
        inflow.hosts += weight * (hosts - inflow.hosts);
    }
    std::erase_if(m_inflows,
                  [this](const auto &item) { return !m_backlog.pools.contains(item.first); });
}

auto SubmissionGate::backlogMs(const std::string &pool, bool withBeyondRate) const -> double
{
    const auto found = m_backlog.pools.find(pool);
    if (found == m_backlog.pools.end() || found->second.hosts <= 0)
        return 0;
    return found->second.work.total(withBeyondRate) / found->second.hosts;
}

auto SubmissionGate::syncAccounts(const Control::Configuration &configuration) -> void
{
    if (std::exchange(m_accountsVersion, configuration.version) != configuration.version)
        m_rates.keepOnly(*configuration.accounts);
}

} // namespace Execution
