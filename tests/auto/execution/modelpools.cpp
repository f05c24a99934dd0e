#include "modelpools.h"

#include "modelpoolneeds.h"

#include <algorithm>

namespace ExecutionTest {
namespace {

constexpr std::int64_t ms = usPerMs;
constexpr std::int64_t seconds = 1000 * usPerMs;
constexpr auto sparePool = "spare";
constexpr std::int64_t term = 1;
constexpr double evenPercent = 50;
constexpr std::int64_t allPercent = 100;

constexpr std::int64_t passUs = 50 * ms;
constexpr std::int64_t pollUs = 50 * ms;
constexpr std::int64_t hostsUs = 100 * ms;
constexpr std::int64_t listUs = 1 * seconds;
constexpr std::int64_t backlogUs = 200 * ms;
constexpr std::int64_t maintenanceGapUs = 200 * ms;
constexpr double hostOrdersPerS = 10;
constexpr std::int64_t maximumAttempts = 1000;

constexpr std::int64_t latestSubmissionUs = 3 * seconds;
constexpr std::int64_t backlogRestUs = 5 * seconds;
constexpr std::int64_t firstCrashUs = 5 * seconds;
constexpr std::int64_t lastCrashUs = 10 * seconds;

} // namespace

ModelPools::ModelPools(std::uint64_t seed, std::optional<Jobs::TaskId> traced)
    : m_random(seed)
    , m_watch(m_time)
    , m_log(m_time, m_random)
    , m_hosts(m_time, m_random, m_watch, [this](const auto &record) { announce(record); })
    , m_ledger(Execution::LedgerTiming{})
    , m_budget(hostOrdersPerS)
{
    if (traced)
        m_watch.trace(*traced);
}

auto ModelPools::play() -> PoolResult
{
    configure();
    m_ledger.begin(term, m_log.state(), m_time.now());
    for (const auto &job : m_longRunning)
        m_time.after(m_random.between(0, latestSubmissionUs), [this, job] { submit(job, 0); });
    planCrashes();
    every(listUs, &ModelPools::listHosts);
    every(pollUs, &ModelPools::pollHosts);
    every(passUs, &ModelPools::schedulePass);
    every(hostsUs, &ModelPools::manageHosts);
    every(backlogUs, &ModelPools::fillBacklogs);
    every(maintenanceGapUs, &ModelPools::continueMaintenance);
    every(passUs, &ModelPools::observe);
    m_time.runUntil(backlogEndUs);
    while (m_result.restless.empty() && m_time.nowUs() < m_busyUntilUs + restUs + stillUs)
        m_time.runUntil(m_time.nowUs() + hostsUs);
    m_result.breach = m_watch.breach();
    if (!m_result.task)
        m_result.task = m_watch.breachTask();
    m_result.starts = m_watch.starts();
    m_result.trace = m_watch.traceText();
    return m_result;
}

auto ModelPools::configure() -> void
{
    for (auto pools = m_random.between(2, 4); pools > 0; --pools)
        m_pools.push_back("pool" + std::to_string(pools));
    Control::Command command;
    command.configuration = Control::Configuration{};
    auto &configuration = *command.configuration;
    configuration.version = 1;
    for (const auto &pool : m_pools) {
        Control::Queue queue;
        queue.name = pool;
        queue.pool = pool;
        queue.maximumAttempts = maximumAttempts;
        queue.objectiveMs = 600;
        configuration.queues.push_back(queue);
        configuration.pools.push_back({pool, true, false});
    }
    configuration.pools.push_back({sparePool, false, true});
    m_log.apply(command);
    m_longestTaskMs = m_random.between(500, 2500);
    m_largestShortPercent = m_random.between(8, 50);
    m_shrinking = std::size_t(m_random.between(0, std::int64_t(m_pools.size()) - 1));
    m_maintains = m_random.chance(evenPercent);
    for (const auto &pool : m_pools)
        drawPool(pool);
    const auto hasSpare = m_random.chance(evenPercent);
    for (auto hosts = hasSpare ? m_random.between(1, 3) : 0; hosts > 0; --hosts)
        m_hosts.add(sparePool, false);
}

// Each pool has at least the hosts that its long-running tasks need, and half of them a backlog.
auto ModelPools::drawPool(const std::string &pool) -> void
{
    for (auto jobs = m_random.between(1, 3); jobs > 0; --jobs)
        drawLongRunning(pool);
    const auto hosts = hostsNeeded(m_longRunning, pool) + m_random.between(0, 4);
    for (auto host = hosts; host > 0; --host)
        m_hosts.add(pool, true);
    if (m_random.chance(evenPercent))
        m_backlogs[pool] = hosts * m_random.between(50, 200) / m_largestShortPercent;
}

auto ModelPools::drawLongRunning(const std::string &pool) -> void
{
    constexpr std::int64_t least = 4;
    const auto most = m_random.between(10, 45);
    Jobs::StepSpec step;
    step.count = m_random.between(2, 8);
    step.demand = {
        ModelPoolHosts::capacity.cpuMillicores * m_random.between(least, most) / allPercent, 0, 0};
    step.demand.memoryMb =
        ModelPoolHosts::capacity.memoryMb * m_random.between(least, most) / allPercent;
    step.longRunning = true;
    step.maximumPerHost = m_random.chance(evenPercent) ? 0 : m_random.between(1, 3);
    step.mayMiss = m_random.between(0, 2);
    Jobs::JobSpec job;
    job.id = "lasting" + std::to_string(++m_jobs);
    job.queue = pool;
    job.pool = pool;
    job.steps.push_back(step);
    m_longRunning.push_back(job);
}

// A share of the hosts of one pool crash within 2 s, and single other ones at any time.
auto ModelPools::planCrashes() -> void
{
    const auto sharePercent = double(m_random.between(20, 80));
    const auto atUs = m_random.between(firstCrashUs, lastCrashUs - 2 * seconds);
    for (std::size_t host = 0; host < m_hosts.hosts().size(); ++host) {
        const auto shrinks = m_hosts.hosts()[host].pool == m_pools[m_shrinking];
        const auto afterUs = atUs + m_random.between(0, 2 * seconds);
        if (m_random.chance(shrinks ? sharePercent : 5))
            m_time.after(afterUs, [this, host] { crash(host); });
    }
}

// Leaves the fleet one host more than all long-running tasks need.
auto ModelPools::mayCrash() const -> bool
{
    auto left = -1 - std::int64_t(m_maintains ? 1 : 0);
    for (const auto &host : m_hosts.hosts())
        left += host.state != Execution::HostState::Down ? 1 : 0;
    for (const auto &pool : m_pools)
        left -= hostsNeeded(m_longRunning, pool);
    return left > 0;
}

auto ModelPools::crash(std::size_t host) -> void
{
    if (!mayCrash() || m_hosts.hosts()[host].state != Execution::HostState::Up)
        return;
    m_hosts.crash(host);
    ++m_result.crashes;
    m_calmSinceUs = m_time.nowUs();
}

auto ModelPools::submit(const Jobs::JobSpec &job, std::int64_t durationMs) -> void
{
    Control::Command command;
    command.submitJob = job;
    command.submitJob->submittedMs = m_time.wallMs();
    m_durations[job.id] = durationMs;
    m_log.apply(command);
}

auto ModelPools::fillBacklogs() -> void
{
    if (m_time.nowUs() >= backlogEndUs) {
        if (m_time.nowUs() >= backlogEndUs + backlogRestUs)
            cancelShort();
        return;
    }
    std::map<std::string, std::int64_t> active;
    for (const auto &id : m_log.state().jobs.activeIds()) {
        const auto *job = m_log.state().jobs.find(id);
        active[job->spec.pool] += job->spec.steps.front().longRunning ? 0 : 1;
    }
    for (const auto &[pool, wanted] : m_backlogs) {
        for (auto missing = wanted - active[pool]; missing > 0; --missing)
            submitShort(pool);
    }
}

auto ModelPools::submitShort(const std::string &pool) -> void
{
    constexpr std::int64_t least = 3;
    Jobs::StepSpec step;
    step.count = m_random.between(1, 4);
    step.demand.cpuMillicores = ModelPoolHosts::capacity.cpuMillicores
                                * m_random.between(least, m_largestShortPercent) / allPercent;
    step.demand.memoryMb = ModelPoolHosts::capacity.memoryMb
                           * m_random.between(least, m_largestShortPercent) / allPercent;
    step.estimateMs = m_random.between(100, m_longestTaskMs);
    Jobs::JobSpec job;
    job.id = "short" + std::to_string(++m_jobs);
    job.queue = pool;
    job.pool = pool;
    job.steps.push_back(step);
    submit(job, step.estimateMs);
}

// A large short task has no claim to room, so that a fleet full of long-running tasks may never run it.
auto ModelPools::cancelShort() -> void
{
    const auto ids = m_log.state().jobs.activeIds();
    for (const auto &id : ids) {
        if (m_log.state().jobs.find(id)->spec.steps.front().longRunning)
            continue;
        Control::Command command;
        command.cancelJob = id;
        m_log.apply(command);
    }
}

auto ModelPools::hasShortJobs() const -> bool
{
    return m_log.state().jobs.activeIds().size() > m_longRunning.size();
}

} // namespace ExecutionTest
