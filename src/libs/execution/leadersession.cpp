#include "leadersession.h"

#include "utils/log.h"

#include <algorithm>
#include <map>
#include <span>
#include <utility>

namespace Execution {
namespace {

constexpr Utils::Milliseconds tickInterval{100};
// A longer delay of the event loop is logged, since it delays orders and replies.
constexpr Utils::Milliseconds longestLag{200};
// Limits of the time between the starts of two scheduling passes. The minimum combines changes that
// arrive together into one pass.
constexpr Utils::Milliseconds minimumPassInterval{5};
constexpr Utils::Milliseconds maximumPassInterval{40};
// Within these limits, the interval is this multiple of the duration of a pass, so that a pass
// takes at most 1/8 of the event loop's time and leaves the rest to orders and polls.
constexpr int passIntervalFactor = 8;
// Pause between polls of an endpoint that does not reply.
constexpr Utils::Milliseconds pollRetryInterval{250};
// Limit for each kind of message: enough to trace single jobs under normal load, and cheap compared
// with the work of a burst.
constexpr std::int64_t linesPerSecond = 40;

auto recordsOf(std::span<const StartOrder> orders, std::int64_t term)
    -> std::vector<Control::Command>
{
    std::map<Control::EndpointIncarnation, std::vector<Jobs::TaskId>> tasks;
    for (const auto &order : orders)
        tasks[order.target.incarnation].push_back(order.task);
    std::vector<Control::Command> commands;
    for (auto &[incarnation, started] : tasks)
        commands.emplace_back().recordStarts =
            Control::RecordStarts{incarnation, std::move(started), term};
    return commands;
}

} // namespace

LeaderSession::LeaderSession(LeaderParts parts, LedgerTiming timing, std::int64_t term)
    : m_parts(parts)
    , m_ledger(timing)
    , m_hostOrders(parts.hostOrdersPerS)
    , m_submissions(parts.accountRates)
    , m_term(term)
    , m_startLines("starts of tasks", linesPerSecond)
    , m_endLines("ends of tasks", linesPerSecond)
    , m_stopLines("stops of tasks", linesPerSecond)
    , m_releaseLines("runs that count as gone", linesPerSecond)
    , m_endedJobLines("ends of jobs", linesPerSecond)
    , m_firstStartLines("first starts of jobs", linesPerSecond)
    , m_failureLines("failures of tasks", linesPerSecond)
    , m_waitLines("long-running tasks that wait", linesPerSecond)
    , m_placeLines("waits for places near data or group", linesPerSecond)
    , m_leaseLines("leases that are not renewed", linesPerSecond)
    , m_refusalLines("refused submissions", linesPerSecond)
    , m_quotaLines("accounts that reach or leave their quotas", linesPerSecond)
{}

auto LeaderSession::start() -> void
{
    m_parts.state.read([&](const Control::State &state) {
        m_ledger.begin(m_term, state, m_parts.clock.now());
        m_maintenance.begin(state);
        m_endpointsVersion = state.endpointsVersion;
    });
    Utils::Log::info("execution",
                     "starts to lead",
                     {{"term", m_term}, {"endpoints", m_ledger.endpoints().size()}});
    for (const auto &[id, endpoint] : m_ledger.endpoints()) {
        m_polled.insert(endpoint.record.incarnation);
        AsyncNet::start(m_parts.loop,
                        "endpoint",
                        pollEndpoint(endpoint.record.incarnation),
                        shared_from_this());
    }
    AsyncNet::start(m_parts.loop, "leader tick", tick(), shared_from_this());
    AsyncNet::start(m_parts.loop, "list of hosts", listHosts(), shared_from_this());
    AsyncNet::start(m_parts.loop, "hosts", manageHosts(), shared_from_this());
}

auto LeaderSession::end() -> void
{
    if (!std::exchange(m_active, false))
        return;
    Utils::Log::info("execution", "no longer leads", {{"term", m_term}});
}

auto LeaderSession::wake() -> void
{
    if (!m_active || std::exchange(m_passPending, true))
        return;
    AsyncNet::start(m_parts.loop, "scheduling", schedulePass(), shared_from_this());
}

auto LeaderSession::stateChanged() -> void
{
    takeOverEndpoints();
    wake();
}

auto LeaderSession::takeOverEndpoints() -> void
{
    std::vector<Control::KnownEndpoint> changed;
    m_parts.state.read([&](const Control::State &state) {
        const auto known = std::exchange(m_endpointsVersion, state.endpointsVersion);
        if (known == state.endpointsVersion)
            return;
        for (const auto &[id, endpoint] : state.endpoints) {
            if (endpoint.changedIn > known)
                changed.push_back(endpoint);
        }
    });
    for (const auto &known : changed)
        addEndpoint(known);
}

auto LeaderSession::addEndpoint(const Control::KnownEndpoint &known) -> void
{
    const auto &record = known.record;
    m_ledger.addEndpoint(known, m_parts.clock.now());
    if (record.draining)
        m_ledger.drain(record.incarnation.id);
    if (m_polled.insert(record.incarnation).second)
        AsyncNet::start(
            m_parts.loop, "endpoint", pollEndpoint(record.incarnation), shared_from_this());
}

auto LeaderSession::markEndpointLeaving(const Control::EndpointIncarnation &incarnation) -> void
{
    m_ledger.leave(incarnation, m_parts.clock.now());
}

auto LeaderSession::endpointReplaced(const Control::EndpointIncarnation &incarnation) -> void
{
    m_ledger.endIncarnation(incarnation);
    wake();
}

// Polls one endpoint until its incarnation ends.
auto LeaderSession::pollEndpoint(Control::EndpointIncarnation incarnation) -> Task
{
    auto answered = false;
    while (m_active) {
        const auto order = m_ledger.pollOrder(
            incarnation.id, m_parts.clock.now(), m_parts.leadership.provenAt(m_term));
        if (!order || order->target.incarnation != incarnation)
            break;
        const auto sentAt = m_parts.clock.now();
        const auto reply = co_await m_parts.endpoints.poll(*order);
        if (!m_active)
            break;
        const auto seen = reply.result == PollResult::Seen;
        if (seen != std::exchange(answered, seen)) {
            Utils::Log::info("execution",
                             seen ? "endpoint answers" : "endpoint does not answer",
                             {{"endpoint", incarnation.id}, {"address", order->target.address}});
        }
        if (!seen && reply.result == PollResult::Refused) {
            const auto found = m_ledger.endpoints().find(incarnation.id);
            if (found != m_ledger.endpoints().end() && found->second.leaving) {
                co_await endIncarnation(
                    incarnation, "the endpoint announced its shutdown and no longer listens");
                continue;
            }
        }
        co_await processPoll(*order, reply, sentAt);
        if (!seen && m_active)
            co_await AsyncNet::pause(pollRetryInterval);
    }
    m_polled.erase(incarnation);
}

auto LeaderSession::processPoll(const PollOrder &order,
                                const PollReply &reply,
                                Utils::Instant sentAt) -> Task
{
    const auto effects = [&] {
        const LeaderLoad::Timer timer(m_load, LeaderWork::PollReplies);
        logEnds(order, reply);
        return m_ledger.pollAnswered(order, reply, sentAt, m_parts.clock.now());
    }();
    if (effects.fenced) {
        Utils::Log::warning(
            "execution",
            "an endpoint has seen a higher fencing token, so this process stops leading",
            {{"endpoint", order.target.incarnation.id}, {"term", m_term}});
        end();
        co_return;
    }
    if (effects.incarnationOver) {
        co_await endIncarnation(order.target.incarnation,
                                "another incarnation responds at its address");
        co_return;
    }
    wake();
    if (effects.lastEnd == 0 && !effects.renewable)
        co_return;
    std::vector<Control::Command> commands;
    if (!effects.record.ends.empty())
        commands.emplace_back().recordEnds = effects.record;
    if (effects.renewable)
        commands.emplace_back().recordLease = Control::RecordLease{order.target.incarnation, {}};
    std::vector<Jobs::TaskId> noGoneTasks;
    const auto committed = co_await commitUntilDone(std::move(commands), std::move(noGoneTasks));
    if (!committed)
        co_return;
    auto ignored = m_parts.state.read([&effects](const Control::State &state) {
        return Control::recordIgnoredEnds(state, effects.record);
    });
    if (!ignored.empty()) {
        Utils::Log::info("execution",
                         "ends were recorded after their endpoint had been replaced or removed",
                         {{"endpoint", order.target.incarnation.id}});
        std::vector<Jobs::TaskId> noTasks;
        const auto recorded = co_await commitUntilDone(std::move(ignored), std::move(noTasks));
        if (!recorded)
            co_return;
    }
    if (effects.renewable)
        m_ledger.leaseRenewable(order.target.incarnation);
    m_ledger.endsRecorded(effects.record, effects.lastEnd);
    logEndedJobs(effects.record);
    wake();
}

auto LeaderSession::endIncarnation(Control::EndpointIncarnation incarnation,
                                   std::string_view reason) -> Task
{
    Utils::Log::info(
        "execution",
        "an endpoint's life is over",
        {{"endpoint", incarnation.id}, {"born", incarnation.bornMs}, {"reason", reason}});
    std::vector<Control::Command> noOtherCommands;
    co_await forgetEndpoint(std::move(incarnation), std::move(noOtherCommands));
}

auto LeaderSession::schedulePass() -> Task
{
    const auto since = m_parts.clock.now() - m_lastPass;
    if (since < m_passInterval)
        co_await AsyncNet::pause(m_passInterval - since);
    m_passPending = false;
    if (!m_active)
        co_return;
    m_lastPass = m_parts.clock.now();
    const auto began = std::chrono::steady_clock::now();
    const LeaderLoad::Timer timer(m_load, LeaderWork::Scheduling);
    auto orders = m_parts.state.read([&](const Control::State &state) {
        return m_ledger.schedule(state, m_lastPass, m_parts.clock.wallTime());
    });
    const auto took = std::chrono::steady_clock::now() - began;
    reportReleases();
    reportMisdirectedRuns();
    reportPlacedTasks();
    m_passInterval =
        std::clamp(std::chrono::duration_cast<Utils::Milliseconds>(took * passIntervalFactor),
                   minimumPassInterval,
                   maximumPassInterval);
    for (auto &order : orders.stops)
        AsyncNet::start(m_parts.loop, "stop", sendStop(std::move(order)), shared_from_this());
    if (!orders.starts.empty())
        AsyncNet::start(
            m_parts.loop, "starts", recordAndSend(std::move(orders.starts)), shared_from_this());
    if (!orders.gone.empty())
        AsyncNet::start(
            m_parts.loop, "gone runs", recordGone(std::move(orders.gone)), shared_from_this());
    if (!orders.found.empty())
        AsyncNet::start(
            m_parts.loop, "found runs", recordFound(std::move(orders.found)), shared_from_this());
    for (auto &order : orders.paces)
        AsyncNet::start(m_parts.loop, "pace", sendPace(std::move(order)), shared_from_this());
}

auto LeaderSession::tick() -> Task
{
    while (m_active) {
        for (const auto &incarnation : m_ledger.expireLeases(m_parts.clock.now()))
            AsyncNet::start(
                m_parts.loop,
                "expired endpoint",
                endIncarnation(incarnation,
                               "the endpoint announced its shutdown and its lease has expired"),
                shared_from_this());
        auto leases = m_ledger.takeEndingLeases(m_parts.clock.now());
        if (!leases.empty())
            AsyncNet::start(m_parts.loop,
                            "ending leases",
                            recordEndingLeases(std::move(leases)),
                            shared_from_this());
        updateBacklog();
        wake();
        const auto pausedAt = m_parts.clock.now();
        co_await AsyncNet::pause(tickInterval);
        recordLag(m_parts.clock.now() - pausedAt - tickInterval);
        recordProof();
        reportLoad();
        reportWaitingTasks();
        reportQuotas();
    }
}

auto LeaderSession::commit(std::vector<Control::Command> commands) -> AsyncNet::Task<CommitResult>
{
    const auto since = m_parts.clock.now();
    const auto result = co_await m_parts.log.commit(std::move(commands));
    m_load.record(LeaderDelay::Commit, m_parts.clock.now() - since);
    co_return result;
}

// Commits \a commands, and that nothing runs the tasks \a gone, with retries; returns false if this
// process has stopped leading. Before each attempt, tasks that have been started again are left out:
// the record would replace that of their next run.
auto LeaderSession::commitUntilDone(std::vector<Control::Command> commands,
                                    std::vector<Jobs::TaskId> gone) -> AsyncNet::Task<bool>
{
    while (m_active) {
        std::erase_if(gone, [this](const auto &task) { return !m_ledger.isOpen(task); });
        auto attempt = commands;
        if (!gone.empty())
            attempt.emplace_back().recordStarts = Control::recordGone(gone, m_term);
        if (attempt.empty())
            break;
        const auto result = co_await commit(std::move(attempt));
        if (result == CommitResult::Committed)
            break;
        co_await AsyncNet::pause(commitRetry);
    }
    co_return m_active;
}

// The next leader does not have to wait for the endpoints of runs that are recorded as gone.
auto LeaderSession::recordGone(std::vector<Jobs::TaskId> tasks) -> Task
{
    std::vector<Control::Command> noCommands;
    co_await commitUntilDone(std::move(noCommands), std::move(tasks));
}

// The next leader does not have to wait for these leases from the beginning of its own term.
auto LeaderSession::recordEndingLeases(std::vector<Control::RecordLease> leases) -> Task
{
    reportEndingLeases(leases);
    while (m_active) {
        std::erase_if(leases, [this](const auto &lease) { return !m_ledger.isEnding(lease); });
        if (leases.empty())
            co_return;
        std::vector<Control::Command> commands;
        for (const auto &lease : leases)
            commands.emplace_back().recordLease = lease;
        const auto result = co_await commit(std::move(commands));
        if (result == CommitResult::Committed)
            co_return;
        co_await AsyncNet::pause(commitRetry);
    }
}

// Records the starts before their orders are sent: a later leader must know where a task may run.
// Before each attempt, starts that are no longer to be sent are left out: their record would replace
// that of the task's next run.
auto LeaderSession::recordAndSend(std::vector<StartOrder> orders) -> Task
{
    while (m_active) {
        std::erase_if(orders, [this](const auto &order) { return !m_ledger.confirmRecord(order); });
        if (orders.empty())
            co_return;
        auto commands = recordsOf(orders, m_term);
        const auto result = co_await commit(std::move(commands));
        if (result == CommitResult::Committed)
            break;
        co_await AsyncNet::pause(commitRetry);
    }
    if (!m_active)
        co_return;
    for (auto &order : orders) {
        if (m_ledger.confirmStart(order))
            AsyncNet::start(m_parts.loop, "start", sendStart(std::move(order)), shared_from_this());
    }
}

// The next leader has to look for the runs where they were found.
auto LeaderSession::recordFound(std::vector<StartOrder> runs) -> Task
{
    while (m_active) {
        std::erase_if(runs, [this](const auto &run) { return !m_ledger.holds(run); });
        if (runs.empty())
            co_return;
        auto commands = recordsOf(runs, m_term);
        const auto result = co_await commit(std::move(commands));
        if (result == CommitResult::Committed)
            co_return;
        co_await AsyncNet::pause(commitRetry);
    }
}

auto LeaderSession::sendStart(StartOrder order) -> Task
{
    const auto since = m_parts.clock.now();
    const auto reply = co_await m_parts.endpoints.start(order);
    if (!m_active)
        co_return;
    m_load.record(LeaderDelay::StartReply, m_parts.clock.now() - since);
    reportStart(order, reply);
    m_ledger.startAnswered(order, reply, m_parts.clock.now());
    if (reply.result == StartResult::Started)
        co_return;
    if (reply.result == StartResult::Fenced && m_ledger.showsLaterTerm(order.target))
        end();
    wake();
}

auto LeaderSession::recordLag(Utils::Milliseconds lag) -> void
{
    m_parts.metrics.observe(
        "trefoilshelf_loop_lag_seconds", {}, std::chrono::duration<double>(lag).count());
    m_load.record(LeaderDelay::Loop, lag);
    if (lag > longestLag)
        Utils::Log::warning("execution", "the event loop is late", {{"late_ms", lag.count()}});
}

// Polls renew leases from the time of the proof on, so its age shortens them.
auto LeaderSession::recordProof() -> void
{
    const auto provenAt = m_parts.leadership.provenAt(m_term);
    if (provenAt) {
        const auto age = m_parts.clock.now() - *provenAt;
        m_parts.metrics.observe("trefoilshelf_leadership_proof_age_seconds",
                                {},
                                std::chrono::duration<double>(age).count());
        m_load.record(LeaderDelay::Proof, age);
    }
    if (provenAt.has_value() == std::exchange(m_isProven, provenAt.has_value()))
        return;
    if (provenAt)
        Utils::Log::info("execution",
                         "this process is proven to lead again, and renews leases",
                         {{"term", m_term}});
    else
        Utils::Log::warning("execution",
                            "nothing proves that this process still leads, so it renews no lease",
                            {{"term", m_term}});
}

auto LeaderSession::sendStop(StopOrder order) -> Task
{
    const auto result = co_await m_parts.endpoints.stop(order);
    reportStop(order, result);
    if (m_active)
        m_ledger.stopAnswered(order, result, m_parts.clock.now());
}

auto LeaderSession::sendPace(PaceOrder order) -> Task
{
    const auto result = co_await m_parts.endpoints.pace(order);
    if (m_active)
        m_ledger.paceAnswered(order, result);
}

} // namespace Execution
