// Implements the part of ModelPools that judges a play by the rules.
#include "modelpools.h"

#include "lostrule.h"
#include "modelpoolneeds.h"

#include <algorithm>
#include <sstream>

namespace ExecutionTest {
namespace {

constexpr std::int64_t ms = usPerMs;
constexpr std::int64_t seconds = 1000 * usPerMs;

// A leader surely knows after this time that the task is not at work: longer than any lease.
constexpr std::int64_t surelyKnownUs = 7 * seconds;
// The trend of the demand has a time constant of 0.7 s. A plan that changes its mind no more often than that
// closes an endpoint at most so often in the 15 s with backlogs.
constexpr int mostClosings = 10;

} // namespace

auto ModelPools::observe() -> void
{
    const auto nowUs = m_time.nowUs();
    if (hasShortJobs() || m_maintained || nowUs < backlogEndUs)
        m_busyUntilUs = nowUs;
    if (nowUs > longestPlayUs && m_result.restless.empty())
        m_result.restless = "the backlog does not end";
    for (const auto &job : m_longRunning) {
        if (m_log.state().jobs.find(job.id) == nullptr)
            continue;
        for (std::int64_t index = 0; index < job.steps.front().count; ++index)
            judgeWait(job, {job.id, 0, 0, index});
    }
}

auto ModelPools::judgeWait(const Jobs::JobSpec &job, const Jobs::TaskId &task) -> void
{
    const auto nowUs = m_time.nowUs();
    auto &wait = m_waits.try_emplace(task, Wait{{}, nowUs}).first->second;
    if (m_watch.isAtWork(task)) {
        wait = {{}, nowUs};
        return;
    }
    if (!fleetCouldRun(job, task, m_longRunning, m_hosts.hosts())) {
        wait.missingSinceUs.reset();
        return;
    }
    if (!wait.missingSinceUs)
        wait.missingSinceUs = nowUs;
    const auto sinceUs = std::max({*wait.missingSinceUs,
                                   m_calmSinceUs + LostRule::calmUs,
                                   wait.awaySinceUs + LostRule::sinceLastRunUs});
    m_result.longestMissingUs = std::max(m_result.longestMissingUs, nowUs - sinceUs);
    if (nowUs - sinceUs < LostRule::missingUs || !m_result.late.empty())
        return;
    m_result.task = task;
    m_result.late = "LOST: task " + Jobs::toText(task) + " at " + std::to_string(nowUs / ms)
                    + " ms, calm since " + std::to_string(m_calmSinceUs / ms)
                    + " ms, not at work since " + std::to_string(wait.awaySinceUs / ms) + " ms";
    m_result.loads = textOfLoads();
}

auto ModelPools::judgeStop(const Jobs::TaskId &task) -> void
{
    const auto job = std::ranges::find(m_longRunning, task.job, &Jobs::JobSpec::id);
    if (job == m_longRunning.end())
        return;
    std::erase_if(m_ordered, [this](const auto &other) { return m_hosts.isReady(other); });
    m_ordered.insert(task);
    countMissed(*job);
}

// Judges an order that ends all runs of an endpoint.
auto ModelPools::judgeEnd(std::string_view endpoint) -> void
{
    std::erase_if(m_ordered, [this](const auto &other) { return m_hosts.isReady(other); });
    for (const auto &host : m_hosts.hosts()) {
        if (host.incarnation.id != endpoint)
            continue;
        for (const auto &[task, run] : host.runs) {
            if (run.task.step.longRunning)
                m_ordered.insert(task);
        }
    }
    for (const auto &job : m_longRunning) {
        const auto ended = [&](const auto &task) { return task.job == job.id; };
        if (std::ranges::any_of(m_ordered, ended))
            countMissed(job);
    }
}

// Counts the tasks that orders have ended, and those that the leader has to know are not at work.
auto ModelPools::countMissed(const Jobs::JobSpec &job) -> void
{
    const auto &step = job.steps.front();
    std::int64_t missed = 0;
    for (std::int64_t index = 0; index < step.count; ++index) {
        const Jobs::TaskId task{job.id, 0, 0, index};
        const auto wait = m_waits.find(task);
        const auto known = wait != m_waits.end() && !m_watch.isAtWork(task)
                           && m_time.nowUs() - wait->second.awaySinceUs > surelyKnownUs;
        missed += m_ordered.contains(task) || known ? 1 : 0;
    }
    if (step.mayMiss == 0 || missed <= step.mayMiss || !m_result.missed.empty())
        return;
    m_result.missed = "AVAIL: an order at " + std::to_string(m_time.nowUs() / ms) + " ms makes "
                      + std::to_string(missed) + " tasks of " + job.id + " unavailable, "
                      + std::to_string(step.mayMiss) + " may be";
}

auto ModelPools::judgeClosings(const Execution::HostMoves &moves) -> void
{
    for (const auto &endpoint : moves.close) {
        const auto known = m_ledger.endpoints().find(endpoint);
        if (known != m_ledger.endpoints().end() && known->second.holdsLongRunning())
            ++m_result.evacuations;
        if (m_time.nowUs() < m_calmSinceUs + LostRule::calmUs)
            continue;
        if (++m_closings[endpoint] > mostClosings && m_result.wavering.empty())
            m_result.wavering = endpoint + " is closed for the " + std::to_string(mostClosings + 1)
                                + "th time at " + std::to_string(m_time.nowUs() / ms) + " ms";
    }
}

// Without short tasks, maintenance and crashes, hosts come to rest.
auto ModelPools::judgeRest(const Execution::HostMoves &moves) -> void
{
    if (m_time.nowUs() < m_busyUntilUs + restUs || !m_result.restless.empty())
        return;
    if (moves.close.empty() && moves.open.empty() && moves.steps.empty())
        return;
    m_result.restless = "at " + std::to_string(m_time.nowUs() / ms) + " ms, "
                        + std::to_string((m_time.nowUs() - m_busyUntilUs) / ms)
                        + " ms after the last change: closed " + std::to_string(moves.close.size())
                        + ", opened " + std::to_string(moves.open.size()) + ", moved "
                        + std::to_string(moves.steps.size());
    m_result.loads = textOfLoads();
}

auto ModelPools::textOfLoads() const -> std::string
{
    std::ostringstream text;
    for (const auto &load :
         m_plan.loads(m_log.state().configuration, m_ledger, m_list, m_time.now()))
        text << "  " << load.name << ": hosts " << load.hosts << ", fixed " << load.fixedHosts
             << ", least " << Scheduling::leastHosts(load) << ", wanted "
             << Scheduling::wantedHosts(load) << ", unplaced " << load.hostsForUnplaced << ", open "
             << load.openHosts << ", idle " << load.idleHosts << ", needed by the model "
             << hostsNeeded(m_longRunning, load.name) << '\n';
    return text.str();
}

} // namespace ExecutionTest
