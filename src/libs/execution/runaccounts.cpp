// Implements the part of RunLedger that counts what accounts occupy, for their quotas.
#include "runledger.h"

#include <algorithm>
#include <utility>

namespace Execution {

auto RunLedger::syncAccounts(const Control::State &state) -> void
{
    const auto &configuration = state.configuration;
    if (std::exchange(m_accountsVersion, configuration.version) != configuration.version)
        m_accounts.configure(configuration.accounts);
}

// Counts everything that may run, wherever it is known from: a run that is counted too long delays a start,
// and one that is not counted exceeds the quota.
auto RunLedger::countAccounts(const Control::State &state, Utils::Instant now, std::int64_t wallMs)
    -> void
{
    m_quotaWaits = {};
    m_accounts.clear();
    if (!m_formerEnds)
        noteFormerEnds(state, wallMs);
    if (!m_accounts.hasQuotas()) {
        m_unsizedRuns.clear();
        return;
    }
    countRuns(state);
    countLateStarts();
    countFormerEnds(now);
    countUnsizedRuns(state);
}

auto RunLedger::countRuns(const Control::State &state) -> void
{
    for (const auto &[id, endpoint] : m_endpoints) {
        for (const auto &part : endpoint.runs.byAccount())
            m_accounts.add(part.account, part.use);
        countInherited(state, endpoint.inherited, endpoint.record.capacity);
    }
    const auto largest = largestCapacity(m_endpoints);
    for (const auto &[id, outliving] : m_outliving) {
        for (const auto &run : outliving.runs)
            m_accounts.add(run.account, run.demand);
        countInherited(state, outliving.inherited, largest);
    }
}

// Counts starts of a former leader on an endpoint of this \a capacity, which is the most that a run of an ended
// job may occupy.
auto RunLedger::countInherited(const Control::State &state,
                               const FormerStarts &starts,
                               const Jobs::Resources &capacity) -> void
{
    for (const auto &[task, kind] : starts) {
        if (const auto *spec = specOf(task))
            m_accounts.add(m_jobs.at(task.job).account(), spec->demand);
        else if (const auto *job = state.jobs.find(task.job))
            m_accounts.add(m_accounts.idOf(job->spec.account), capacity);
    }
}

// A copy of a start may be carried out after the run was settled, but only by another incarnation than the
// one that has settled it.
auto RunLedger::countLateStarts() -> void
{
    for (const auto &[id, starts] : m_lateStarts) {
        for (const auto &late : starts) {
            if (mayBeCarriedOut(id, late))
                m_accounts.add(late.account, late.demand);
        }
    }
}

// Returns false if the run counts already, or if the present incarnation refuses the start.
auto RunLedger::mayBeCarriedOut(const std::string &id, const LateStart &late) const -> bool
{
    const auto isBookedIn = [&late](const Run *run) {
        return run != nullptr && run->number == late.run;
    };
    if (const auto outliving = m_outliving.find(id); outliving != m_outliving.end()) {
        const auto &runs = outliving->second.runs;
        const auto run = std::ranges::find(runs, late.task, &Run::task);
        if (run != runs.end() && isBookedIn(&*run))
            return false;
    }
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end())
        return true;
    const auto &endpoint = found->second;
    if (isBookedIn(endpoint.runs.find(late.task)))
        return false;
    const auto bornMs = endpoint.record.incarnation.bornMs;
    const auto refused = bornMs == late.bornMs || bornMs == late.blockedByMs;
    return !refused || !endpoint.answers;
}

// Notes that the incarnation knows the stop of a late start, and refuses it from now on.
auto RunLedger::noteBlocked(const StopOrder &order) -> void
{
    const auto found = m_lateStarts.find(order.target.incarnation.id);
    if (found == m_lateStarts.end())
        return;
    for (auto &late : found->second) {
        if (late.task == order.task && late.run <= order.run)
            late.blockedByMs = order.target.incarnation.bornMs;
    }
}

// A former leader may have ended before it had stopped the runs of a job that was cancelled or failed. The log
// does not tell of them any more.
auto RunLedger::noteFormerEnds(const Control::State &state, std::int64_t wallMs) -> void
{
    auto &accounts = m_formerEnds.emplace();
    const auto sinceMs = wallMs - longestLateRun(m_timing).count();
    for (const auto &[id, job] : state.jobs.jobs()) {
        const auto mayRun =
            job.state == Jobs::JobState::Cancelled || job.state == Jobs::JobState::Failed;
        if (mayRun && job.endedMs >= sinceMs && !job.spec.account.empty())
            accounts.insert(m_accounts.idOf(job.spec.account));
    }
}

// Each endpoint tells with its first reply which of these runs it has. Until then they may take all of it.
auto RunLedger::countFormerEnds(Utils::Instant now) -> void
{
    if (m_formerEnds->empty())
        return;
    Jobs::Resources unsettled;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (!endpoint.polled && now <= endpoint.leaseEnd)
            unsettled += endpoint.record.capacity;
    }
    if (unsettled == Jobs::Resources()) {
        m_formerEnds->clear();
        return;
    }
    for (const auto account : *m_formerEnds)
        m_accounts.add(account, unsettled);
}

auto RunLedger::countUnsizedRuns(const Control::State &state) -> void
{
    std::erase_if(m_unsizedRuns, [this](const auto &item) {
        const auto endpoint = m_endpoints.find(item.first);
        return endpoint == m_endpoints.end() || !endpoint->second.runs.contains(item.second);
    });
    for (const auto &[endpoint, task] : m_unsizedRuns) {
        const auto &capacity = m_endpoints.at(endpoint).record.capacity;
        if (const auto *job = state.jobs.find(task.job))
            m_accounts.add(m_accounts.idOf(job->spec.account), capacity);
    }
}

auto RunLedger::mayStart(const JobProgress &job, const Jobs::StepSpec &step) const -> bool
{
    if (step.gang)
        return m_accounts.gangAllowed(job.account(), step.demand, step.count);
    return m_accounts.mayStart(job.account(), step.demand);
}

auto RunLedger::noteQuotaWait(const JobProgress &job, std::size_t tasks) -> void
{
    m_quotaWaits.add(job.account(), tasks);
}

} // namespace Execution
