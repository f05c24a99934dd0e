#include "modelwaits.h"

#include "lostrule.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace ExecutionTest {
namespace {

constexpr std::int64_t ms = usPerMs;
constexpr std::int64_t seconds = 1000 * usPerMs;
constexpr auto queueName = "queue";
constexpr double evenPercent = 50;

constexpr std::int64_t observeUs = 20 * ms;
constexpr std::int64_t firstFaultUs = 1 * seconds;
constexpr std::int64_t lastFaultUs = 15 * seconds;
constexpr std::int64_t calmStretchUs = 15 * seconds;
constexpr std::int64_t backlogUs = 50 * ms;
constexpr std::int64_t evacuateUs = 200 * ms;
constexpr std::int64_t latestSubmissionUs = 14 * seconds;
constexpr std::int64_t submitRetryUs = 100 * ms;
constexpr std::int64_t forgetRetryUs = 300 * ms;
constexpr std::int64_t latestFirstChangeUs = 20 * seconds;
constexpr std::int64_t mostLeaderChanges = 8;
constexpr std::int64_t shortestTermUs = 400 * ms;
constexpr std::int64_t longestShortTermUs = 1500 * ms;
constexpr std::int64_t leastShortTerms = 8;
constexpr std::int64_t mostShortTerms = 25;
constexpr std::int64_t latestCrashOfLeaderUs = 3 * seconds;
constexpr std::int64_t neverUs = 1000 * seconds;

constexpr std::int64_t hostCpu = 4000;
constexpr std::int64_t hostMemoryMb = 8000;
constexpr std::int64_t fullPercent = 100;
constexpr std::int64_t largeLongRunningPercent = 40;
constexpr std::int64_t largestLongRunningPercent = 70;
constexpr std::int64_t smallestPercent = 3;
constexpr std::int64_t shortestTaskMs = 100;
constexpr std::int64_t mostTasksOfJob = 6;
constexpr std::int64_t maximumAttempts = 1000;
constexpr std::size_t shownLines = 15;

/*! \brief Least and most percent of a host's capacity. */
struct Shares
{
    std::int64_t least = 0;
    std::int64_t most = 0;
};

auto randomDemand(RandomSource &random, Shares shares) -> Jobs::Resources
{
    return {hostCpu * random.between(shares.least, shares.most) / fullPercent,
            hostMemoryMb * random.between(shares.least, shares.most) / fullPercent,
            0};
}

auto textOf(const Jobs::Resources &resources) -> std::string
{
    return std::to_string(resources.cpuMillicores) + " millicores and "
           + std::to_string(resources.memoryMb) + " MB";
}

auto textOf(const Execution::WaitingTask &waiting) -> std::string
{
    std::ostringstream text;
    text << Execution::nameOf(waiting.reason);
    if (!waiting.endpoint.empty())
        text << " on " << waiting.endpoint;
    text << "; it needs " << textOf(waiting.demand) << ", " << waiting.openEndpoints
         << " open endpoints";
    return text.str();
}

} // namespace

ModelWaits::ModelWaits(std::uint64_t seed, const WaitOptions &options)
    : m_random(seed)
    , m_watch(m_time)
    , m_gangs(m_time, m_random)
    , m_log(m_time, m_random)
    , m_network(m_time, m_random)
    , m_membership(m_log)
    , m_hosts({m_time, m_random, m_watch, m_gangs}, m_network, m_membership)
    , m_options(options)
{
    if (options.trace)
        m_watch.trace(*options.trace);
}

auto ModelWaits::configure() -> void
{
    Control::Queue queue;
    queue.name = queueName;
    queue.pool = ModelHosts::poolName;
    queue.maximumAttempts = maximumAttempts;
    queue.objectiveMs = 600;
    Control::Configuration configuration;
    configuration.version = 1;
    configuration.queues.push_back(queue);
    configuration.pools.push_back({ModelHosts::poolName, true, false});
    Control::Command command;
    command.configuration = configuration;
    m_log.apply(command);
    drawFaults();
    m_faultGapUs = m_random.between(200, 2500) * ms;
    m_longestTaskMs = m_random.between(m_options.longest.leastMs, m_options.longest.mostMs);
    m_largestShortPercent = m_random.between(8, 50);
}

// Each play has some kinds of faults, so that few of them meet often.
auto ModelWaits::drawFaults() -> void
{
    const auto first = std::int64_t(m_options.plannedOnly ? Fault::Leave : Fault::Restart);
    const auto last =
        std::int64_t(m_options.plannedOnly ? Fault::CloseAndReopen : Fault::LostReplies);
    for (auto kind = first; kind <= last; ++kind) {
        if (m_random.chance(evenPercent))
            m_kinds.insert(m_kinds.end(), std::size_t(m_random.between(1, 3)), Fault(kind));
    }
    m_kinds.push_back(Fault(m_random.between(first, last)));
    if (m_options.leadersEndAfterEndpoints)
        m_kinds.insert(m_kinds.end(), {Fault::CrashForGood, Fault::CutOrders, Fault::CutReplies});
}

auto ModelWaits::play() -> WaitResult
{
    configure();
    const auto hosts = m_random.between(3, 8);
    m_backlog = std::size_t(hosts * m_random.between(100, 400) / m_largestShortPercent);
    ModelTraits traits;
    traits.failurePercent = double(m_random.between(0, 1));
    m_hosts.start(std::size_t(hosts), traits);
    startLeader();
    for (auto jobs = m_random.between(2, 4); jobs > 0; --jobs)
        m_time.after(m_random.between(0, latestSubmissionUs), [this] { submitLongRunning(); });
    fillBacklog();
    if (m_options.leadersChange)
        planLeaderChanges();
    m_time.after(firstFaultUs, [this] { nextFault(); });
    observe();
    m_time.runUntil(lastFaultUs);
    while (m_result.late.empty() && m_time.nowUs() < m_calmSinceUs + calmStretchUs)
        m_time.runUntil(m_time.nowUs() + 100 * ms);
    m_result.breach = m_watch.breach();
    if (!m_result.task)
        m_result.task = m_watch.breachTask();
    m_result.starts = m_watch.starts();
    m_result.leaders = m_term;
    m_result.trace = m_watch.traceText();
    return m_result;
}

auto ModelWaits::newJob(const Jobs::StepSpec &step, std::int64_t durationMs) -> Jobs::JobSpec
{
    Jobs::JobSpec job;
    job.id = "job" + std::to_string(++m_jobs);
    job.queue = queueName;
    job.pool = ModelHosts::poolName;
    job.payload = ModelWork{durationMs, 0, step.demand, {}}.toText();
    job.submittedMs = m_time.wallMs();
    job.steps.push_back(step);
    return job;
}

// Callers repeat what they got no acknowledgement for.
auto ModelWaits::submit(const Jobs::JobSpec &job) -> void
{
    if (!m_leader) {
        m_time.after(submitRetryUs, [this, job] { submit(job); });
        return;
    }
    Control::Command command;
    command.submitJob = job;
    m_log.commit({command}, [this, job](bool committed) {
        if (committed)
            m_leader->wake();
        else
            m_time.after(submitRetryUs, [this, job] { submit(job); });
    });
}

auto ModelWaits::submitLongRunning() -> void
{
    Jobs::StepSpec step;
    step.count = m_random.between(1, 3);
    step.demand = randomDemand(m_random, {smallestPercent, largestLongRunningPercent});
    // Half of the jobs need more than short tasks usually leave free.
    if (m_random.chance(evenPercent))
        step.demand = randomDemand(m_random, {largeLongRunningPercent, largestLongRunningPercent});
    step.longRunning = true;
    step.maximumPerHost = m_random.chance(evenPercent) ? 0 : m_random.between(1, 2);
    step.mayMiss = m_random.between(0, 1);
    m_longRunning.push_back(newJob(step, 0));
    submit(m_longRunning.back());
}

auto ModelWaits::submitShort() -> void
{
    Jobs::StepSpec step;
    step.count = m_random.between(1, mostTasksOfJob);
    step.demand = randomDemand(m_random, {smallestPercent, m_largestShortPercent});
    const auto durationMs = m_random.between(shortestTaskMs, m_longestTaskMs);
    step.estimateMs = durationMs;
    submit(newJob(step, durationMs));
}

// Keeps up the number of active short jobs, those that wait for the log aside.
auto ModelWaits::fillBacklog() -> void
{
    const auto active = m_log.state().jobs.activeIds().size();
    const auto wanted = m_backlog + m_longRunning.size();
    for (auto missing = wanted > active ? wanted - active : 0; missing > 0; --missing)
        submitShort();
    m_time.after(backlogUs, [this] { fillBacklog(); });
}

auto ModelWaits::startLeader() -> void
{
    m_leader = std::make_shared<ModelLeader>(
        LeaderEnvironment{m_time, m_random, m_watch, m_network, m_log},
        ++m_term * Execution::tokensPerTerm);
    m_membership.use(m_leader);
    m_leader->start();
    // It takes the orders for hosts over.
    for (const auto &endpoint : m_closed)
        m_leader->setClosed(endpoint, true);
}

// Plans one restart of the leader, or a series of them a few seconds apart.
auto ModelWaits::planLeaderChanges() -> void
{
    if (m_options.shortTerms) {
        const auto times = m_random.between(leastShortTerms, mostShortTerms);
        m_time.after(m_random.between(firstFaultUs, latestFirstChangeUs),
                     [this, times] { changeLeaderSoon(times); });
        return;
    }
    const auto times = m_random.chance(evenPercent) ? 1 : m_random.between(2, mostLeaderChanges);
    const auto gapUs = m_random.between(1 * seconds, 6 * seconds);
    m_time.after(m_random.between(firstFaultUs, latestFirstChangeUs),
                 [this, gapUs, times] { changeLeaderEvery(gapUs, times); });
}

auto ModelWaits::changeLeaderEvery(std::int64_t gapUs, std::int64_t times) -> void
{
    if (times == 0)
        return;
    changeLeader();
    m_time.after(gapUs, [this, gapUs, times] { changeLeaderEvery(gapUs, times - 1); });
}

auto ModelWaits::changeLeaderSoon(std::int64_t times) -> void
{
    if (times == 0)
        return;
    const auto nextUs = changeLeader();
    m_time.after(nextUs + m_random.between(shortestTermUs, longestShortTermUs),
                 [this, times] { changeLeaderSoon(times - 1); });
}

// Returns after how long the next leader begins.
auto ModelWaits::changeLeader() -> std::int64_t
{
    m_watch.noteEndpoint({}, "the leader of term " + std::to_string(m_term) + " ends");
    m_leader->end();
    m_leader = nullptr;
    m_membership.use(nullptr);
    m_log.loseLeader();
    const auto nextUs = m_random.between(20 * ms, 300 * ms);
    m_time.after(nextUs, [this] { startLeader(); });
    return nextUs;
}

// Ends the leader soon after a fault that takes an endpoint away, which is a fault by itself.
auto ModelWaits::crashLeaderAfter(Fault fault) -> void
{
    const auto lost = fault == Fault::CrashForGood || fault == Fault::Replace
                      || fault == Fault::CutOrders || fault == Fault::CutReplies;
    if (!lost)
        return;
    m_time.after(m_random.between(0, latestCrashOfLeaderUs), [this] {
        if (!m_leader)
            return;
        m_disturbedUntilUs = std::max(m_disturbedUntilUs, m_time.nowUs());
        changeLeader();
    });
}

auto ModelWaits::nextFault() -> void
{
    if (m_time.nowUs() >= lastFaultUs)
        return;
    ++m_result.faults;
    strike(m_kinds[std::size_t(m_random.between(0, std::int64_t(m_kinds.size()) - 1))]);
    m_time.after(m_random.between(0, 2 * m_faultGapUs), [this] { nextFault(); });
}

auto ModelWaits::strike(Fault fault) -> void
{
    const auto host = std::size_t(m_random.between(0, std::int64_t(m_hosts.size()) - 1));
    if (m_departed.contains(host))
        return;
    if (m_options.leadersEndAfterEndpoints)
        crashLeaderAfter(fault);
    switch (fault) {
    case Fault::Restart:
        m_hosts.crash(host, {m_random.between(20 * ms, 2 * seconds), true, true});
        break;
    case Fault::Flap:
        flap(host, m_random.between(2, 4));
        break;
    case Fault::Replace:
        m_hosts.crash(
            host,
            {m_random.between(1 * seconds, 4 * seconds), false, m_random.chance(evenPercent)});
        break;
    case Fault::Leave:
        leave(host);
        break;
    case Fault::HalfLeave:
        for (std::size_t other = 0; other < m_hosts.size() / 2; ++other)
            leave((host + other) % m_hosts.size());
        break;
    case Fault::Depart:
        depart(host);
        break;
    case Fault::Maintain:
        maintain(host, false);
        break;
    case Fault::CloseAndReopen:
        maintain(host, true);
        break;
    case Fault::CutOrders:
        cut(host, true);
        break;
    case Fault::CutReplies:
        cut(host, false);
        break;
    case Fault::LostReplies:
        loseReplies();
        break;
    case Fault::CrashForGood:
        crashForGood(host);
        break;
    }
}

auto ModelWaits::flap(std::size_t host, std::int64_t times) -> void
{
    if (times == 0 || m_departed.contains(host))
        return;
    m_hosts.crash(host, {m_random.between(20 * ms, 200 * ms), true, true});
    const auto gapUs = m_random.between(200 * ms, seconds);
    m_disturbedUntilUs = std::max(m_disturbedUntilUs, m_time.nowUs() + gapUs);
    m_time.after(gapUs, [this, host, times] { flap(host, times - 1); });
}

// The pages let an endpoint work on for some seconds after the confirmation that it drains, which may
// come with the second announcement. An endpoint in trouble leaves sooner.
auto ModelWaits::drawDrainUs() -> std::int64_t
{
    return m_options.plannedOnly ? m_random.between(3500 * ms, 7 * seconds)
                                 : m_random.between(500 * ms, 4 * seconds);
}

auto ModelWaits::leave(std::size_t host) -> void
{
    if (m_departed.contains(host))
        return;
    // Drawn by itself: the order in which arguments are evaluated depends on the machine.
    const auto drainUs = drawDrainUs();
    m_hosts.leave(
        host,
        drainUs,
        {m_random.between(1 * seconds, 4 * seconds), false, m_random.chance(evenPercent)});
}

// Lets the endpoint leave for good, so that others have to take over its long-running tasks.
auto ModelWaits::depart(std::size_t host) -> void
{
    const auto most = m_hosts.size() / 2;
    const auto undisturbed = m_hosts.isUp(host) && !m_hosts.isLeaving(host)
                             && !m_closed.contains(m_hosts.endpoint(host).record().incarnation.id);
    if (!undisturbed || m_departed.size() >= most)
        return;
    m_hosts.leave(host, drawDrainUs(), {neverUs, false, false});
    m_departed.insert(host);
}

auto ModelWaits::crashForGood(std::size_t host) -> void
{
    if (!m_hosts.isUp(host) || m_departed.size() >= m_hosts.size() / 2)
        return;
    m_hosts.crash(host, {neverUs, false, false});
    m_departed.insert(host);
}

// Closes and evacuates the endpoint, and then reopens it or has its host maintained.
auto ModelWaits::maintain(std::size_t host, bool reopen) -> void
{
    if (!m_leader || !m_hosts.isUp(host))
        return;
    const auto known =
        m_leader->ledger().endpoints().find(m_hosts.endpoint(host).record().incarnation.id);
    if (known == m_leader->ledger().endpoints().end())
        return;
    const auto incarnation = known->second.record.incarnation;
    if (!m_closed.insert(incarnation.id).second)
        return;
    m_watch.noteEndpoint(m_hosts.endpoint(host).name(), "is closed and evacuated");
    m_leader->setClosed(incarnation.id, true);
    evacuate(incarnation);
    m_time.after(m_random.between(500 * ms, 3 * seconds),
                 [this, host, incarnation, reopen] { endMaintenance(host, incarnation, reopen); });
}

auto ModelWaits::evacuate(const Control::EndpointIncarnation &incarnation) -> void
{
    if (!m_closed.contains(incarnation.id))
        return;
    if (m_leader)
        m_leader->evacuate(incarnation.id);
    m_time.after(evacuateUs, [this, incarnation] { evacuate(incarnation); });
}

auto ModelWaits::endMaintenance(std::size_t host,
                                const Control::EndpointIncarnation &incarnation,
                                bool reopen) -> void
{
    m_closed.erase(incarnation.id);
    const auto stays =
        m_hosts.isUp(host) && m_hosts.endpoint(host).record().incarnation.id == incarnation.id;
    if (reopen || !stays) {
        openAgain(incarnation.id);
        return;
    }
    m_hosts.crash(host, {2 * seconds, false, m_random.chance(evenPercent)});
    m_time.after(m_random.between(1 * ms, 60 * ms), [this, incarnation] { forget(incarnation); });
}

auto ModelWaits::openAgain(const std::string &endpoint) -> void
{
    m_watch.noteEndpoint(endpoint, "is reopened");
    if (!m_leader)
        return;
    m_leader->setClosed(endpoint, false);
    m_leader->wake();
}

// Removes the endpoint of a maintained host. The next leader does it anew: its predecessor may not
// have committed it.
auto ModelWaits::forget(const Control::EndpointIncarnation &incarnation) -> void
{
    if (m_leader)
        m_leader->forgetEndpoint(incarnation);
    const auto by = m_leader;
    m_time.after(forgetRetryUs, [this, by, incarnation] {
        if (!by || by != m_leader)
            forget(incarnation);
    });
}

// Cuts the endpoint off from orders, or its replies and announcements from the leader.
auto ModelWaits::cut(std::size_t host, bool orders) -> void
{
    const auto endUs = m_time.nowUs() + m_random.between(100 * ms, 5 * seconds);
    const auto &endpoint = m_hosts.endpoint(host);
    m_watch.noteEndpoint(endpoint.name(),
                         std::string(orders ? "orders" : "replies") + " are cut off until "
                             + std::to_string(endUs / ms) + " ms");
    m_network.cut(endpoint.record().address, {orders, !orders, endUs});
    m_disturbedUntilUs = std::max(m_disturbedUntilUs, endUs);
}

auto ModelWaits::loseReplies() -> void
{
    const auto lengthUs = m_random.between(200 * ms, 3 * seconds);
    m_network.traits.lostReplyPercent = double(m_random.between(10, 60));
    m_disturbedUntilUs = std::max(m_disturbedUntilUs, m_time.nowUs() + lengthUs);
    m_time.after(lengthUs, [this] { m_network.traits.lostReplyPercent = 0; });
}

auto ModelWaits::isDisturbed() const -> bool
{
    if (m_time.nowUs() < std::max(lastFaultUs, m_disturbedUntilUs) || !m_closed.empty())
        return true;
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        const auto up = m_hosts.isUp(host);
        if (up ? m_hosts.isLeaving(host) : !m_departed.contains(host))
            return true;
    }
    return false;
}

auto ModelWaits::observe() -> void
{
    if (isDisturbed())
        m_calmSinceUs = m_time.nowUs();
    noteReasons();
    for (const auto &job : m_longRunning) {
        const auto &step = job.steps.front();
        for (std::int64_t index = 0; index < step.count; ++index)
            judge({job.id, 0, 0, index}, step);
    }
    m_time.after(observeUs, [this] { observe(); });
}

// Keeps each change of what a task waits for.
auto ModelWaits::noteReasons() -> void
{
    if (!m_leader)
        return;
    std::map<Jobs::TaskId, std::string> reasons;
    for (const auto &waiting : m_leader->waitingLongRunningTasks()) {
        reasons[waiting.task] = textOf(waiting);
        m_waits.try_emplace(waiting.task);
    }
    for (auto &[task, wait] : m_waits) {
        const auto found = reasons.find(task);
        const auto reason = found != reasons.end() ? found->second : "at work for the leader";
        if (reason != std::exchange(wait.reason, reason))
            wait.lines.push_back(std::to_string(m_time.nowUs() / ms) + " ms: " + reason);
    }
}

auto ModelWaits::judge(const Jobs::TaskId &task, const Jobs::StepSpec &step) -> void
{
    auto &wait = m_waits[task];
    if (m_watch.isAtWork(task) || !couldRun(task, step)) {
        wait.missingSinceUs.reset();
        return;
    }
    const auto nowUs = m_time.nowUs();
    const auto sinceUs = std::max(
        {wait.missingSinceUs.value_or(nowUs),
         m_calmSinceUs + LostRule::calmUs,
         m_watch.lastEndUs(task).value_or(-LostRule::sinceLastRunUs) + LostRule::sinceLastRunUs});
    if (!wait.missingSinceUs)
        wait.missingSinceUs = nowUs;
    m_result.longestMissingUs = std::max(m_result.longestMissingUs, nowUs - sinceUs);
    if (nowUs - sinceUs < LostRule::missingUs || !m_result.late.empty())
        return;
    reportLate(task);
}

auto ModelWaits::reportLate(const Jobs::TaskId &task) -> void
{
    const auto lastEndUs = m_watch.lastEndUs(task);
    m_result.task = task;
    m_result.late = "LOST: task " + Jobs::toText(task) + " at "
                    + std::to_string(m_time.nowUs() / ms) + " ms, calm since "
                    + std::to_string(m_calmSinceUs / ms) + " ms, "
                    + (lastEndUs ? "last run until " + std::to_string(*lastEndUs / ms) + " ms"
                                 : std::string("never run"));
    const auto &lines = m_waits.at(task).lines;
    const auto first = lines.size() - std::min(lines.size(), shownLines);
    for (auto line = first; line < lines.size(); ++line)
        m_result.waits += "  " + lines[line] + '\n';
}

// Returns true if an endpoint could hold the task beside the other long-running tasks there.
auto ModelWaits::couldRun(const Jobs::TaskId &task, const Jobs::StepSpec &step) const -> bool
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        const auto &endpoint = m_hosts.endpoint(host);
        const auto open = endpoint.isUp() && !m_hosts.isLeaving(host)
                          && !m_closed.contains(endpoint.record().incarnation.id);
        if (!open || !step.demand.fitsInto(endpoint.freeOfShortTasks()))
            continue;
        if (step.maximumPerHost == 0 || endpoint.countOfStep(task) < step.maximumPerHost)
            return true;
    }
    return false;
}

} // namespace ExecutionTest
