#include "leadersession.h"

#include "utils/log.h"

#include <algorithm>
#include <utility>

namespace Execution {
namespace {

constexpr Utils::Milliseconds tickInterval{100};
// Collects what arrives together into one scheduling pass.
constexpr Utils::Milliseconds passInterval{5};
// Between two tries to look at an endpoint that does not answer.
constexpr Utils::Milliseconds lookRetry{250};
constexpr Utils::Milliseconds commitRetry{100};
// The provider charges for each call.
constexpr Utils::Milliseconds hostListInterval{1000};
constexpr Utils::Milliseconds hostsInterval{100};
constexpr Utils::Milliseconds reportInterval{2000};
// Of each kind: enough to follow single jobs at a calm time, little beside a burst's work.
constexpr std::int64_t linesPerSecond = 40;
constexpr double millisecondsPerSecond = 1000;

auto describe(const Jobs::TaskId &task) -> std::string
{
    return task.job + '.' + std::to_string(task.occurrence) + '.' + std::to_string(task.step) + '.'
           + std::to_string(task.index);
}

auto nameOf(StartResult result) -> std::string_view
{
    switch (result) {
    case StartResult::Started:
        return "started";
    case StartResult::Fenced:
        return "a later leader gives orders there";
    case StartResult::Outdated:
        return "the run is not newer than one that ended there";
    case StartResult::TooLate:
        return "the lease had run out";
    case StartResult::NoRoom:
        return "no room";
    case StartResult::Invalid:
        return "the order is not understood";
    case StartResult::Unhealthy:
        return "the endpoint is not healthy";
    case StartResult::OtherLife:
        return "another life answers at the address";
    case StartResult::Unknown:
        return "no answer";
    }
    return "unknown";
}

auto nameOf(EndKind kind) -> std::string_view
{
    switch (kind) {
    case EndKind::Done:
        return "done";
    case EndKind::Failed:
        return "failed";
    case EndKind::Stopped:
        return "stopped";
    case EndKind::LeaseExpired:
        return "lease expired";
    case EndKind::PartnerEnded:
        return "another member of its gang ended";
    case EndKind::NoPartners:
        return "its gang did not become complete";
    }
    return "unknown";
}

} // namespace

LeaderSession::LeaderSession(LeaderParts parts, LedgerTiming timing, std::int64_t term)
    : m_parts(parts)
    , m_ledger(timing)
    , m_term(term)
    , m_startLines("starts of tasks", linesPerSecond)
    , m_endLines("ends of tasks", linesPerSecond)
    , m_firstStartLines("first starts of jobs", linesPerSecond)
    , m_failureLines("failures of tasks", linesPerSecond)
{}

auto LeaderSession::start() -> void
{
    m_parts.state.read(
        [&](const Control::State &state) { m_ledger.begin(m_term, state, m_parts.clock.now()); });
    Utils::Log::info("execution",
                     "starts to lead",
                     {{"term", m_term}, {"endpoints", m_ledger.endpoints().size()}});
    for (const auto &[id, endpoint] : m_ledger.endpoints()) {
        m_watched.insert(endpoint.record.life);
        AsyncNet::start(m_parts.loop, "endpoint", watch(endpoint.record.life), shared_from_this());
    }
    AsyncNet::start(m_parts.loop, "leader tick", tick(), shared_from_this());
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

auto LeaderSession::endpointKnown(const Control::EndpointRecord &record) -> void
{
    m_ledger.addEndpoint(record, m_parts.clock.now());
    if (record.draining)
        m_ledger.drain(record.life.id);
    if (m_watched.insert(record.life).second)
        AsyncNet::start(m_parts.loop, "endpoint", watch(record.life), shared_from_this());
    wake();
}

auto LeaderSession::endpointLeaves(const Control::EndpointLife &life) -> void
{
    m_ledger.leave(life, m_parts.clock.now());
}

auto LeaderSession::endpointReplaced(const Control::EndpointLife &life) -> void
{
    m_ledger.endLife(life);
    wake();
}

// Looks at one endpoint for as long as its life lasts.
auto LeaderSession::watch(Control::EndpointLife life) -> Task
{
    auto answered = false;
    while (m_active) {
        const auto order = m_ledger.lookOrder(life.id, m_parts.clock.now());
        if (!order || order->target.life != life)
            break;
        const auto sentAt = m_parts.clock.now();
        const auto reply = co_await m_parts.endpoints.look(*order);
        if (!m_active)
            break;
        const auto seen = reply.result == LookResult::Seen;
        if (seen != std::exchange(answered, seen)) {
            Utils::Log::info("execution",
                             seen ? "endpoint answers" : "endpoint does not answer",
                             {{"endpoint", life.id}, {"address", order->target.address}});
        }
        if (!seen && reply.result == LookResult::Refused) {
            const auto found = m_ledger.endpoints().find(life.id);
            if (found != m_ledger.endpoints().end() && found->second.leaving) {
                co_await endLife(life, "it said that it leaves and no longer listens");
                break;
            }
        }
        co_await takeLook(*order, reply, sentAt);
        if (!seen && m_active)
            co_await AsyncNet::pause(lookRetry);
    }
    m_watched.erase(life);
}

auto LeaderSession::takeLook(const LookOrder &order, const LookReply &reply, Utils::Instant sentAt)
    -> Task
{
    logEnds(order, reply);
    const auto effects = m_ledger.lookAnswered(order, reply, sentAt, m_parts.clock.now());
    if (effects.fenced) {
        Utils::Log::warning("execution",
                            "an endpoint follows a later leader",
                            {{"endpoint", order.target.life.id}, {"term", m_term}});
        end();
        co_return;
    }
    if (effects.lifeOver) {
        co_await endLife(order.target.life, "another life answers at its address");
        co_return;
    }
    wake();
    if (effects.lastEnd == 0)
        co_return;
    while (m_active && !effects.record.ends.empty()) {
        Control::Command command;
        command.recordEnds = effects.record;
        std::vector<Control::Command> commands;
        commands.push_back(std::move(command));
        const auto result = co_await m_parts.log.commit(std::move(commands));
        if (result == CommitResult::Committed)
            break;
        co_await AsyncNet::pause(commitRetry);
    }
    if (!m_active)
        co_return;
    m_ledger.endsRecorded(effects.record, effects.lastEnd);
    logEndedJobs(effects.record);
    wake();
}

auto LeaderSession::logEnds(const LookOrder &order, const LookReply &reply) -> void
{
    for (const auto &end : reply.ended) {
        // Ends that are durable already may be listed once more.
        if (end.number <= order.notedEnds)
            continue;
        m_parts.metrics.count("trefoilshelf_task_ends_total",
                              {{"how", std::string(nameOf(end.kind))}});
        auto &budget = end.kind == EndKind::Done ? m_endLines : m_failureLines;
        if (!budget.allow(m_parts.clock.now()))
            continue;
        Utils::Log::info("execution",
                         "a task ended",
                         {{"job", end.task.job},
                          {"task", describe(end.task)},
                          {"run", end.run},
                          {"endpoint", order.target.life.id},
                          {"how", nameOf(end.kind)}});
    }
}

auto LeaderSession::logEndedJobs(const Control::RecordEnds &record) -> void
{
    std::set<std::string> jobs;
    for (const auto &end : record.ends)
        jobs.insert(end.task.job);
    m_parts.state.read([&](const Control::State &state) {
        for (const auto &id : jobs) {
            const auto *job = state.jobs.find(id);
            if (job == nullptr || job->state == Jobs::JobState::Active)
                continue;
            Utils::Log::info("execution",
                             "a job has ended",
                             {{"job", id},
                              {"state", Utils::nameOf(job->state)},
                              {"after_ms", job->endedMs - job->spec.handedInMs}});
        }
    });
}

auto LeaderSession::endLife(Control::EndpointLife life, std::string_view reason) -> Task
{
    Utils::Log::info("execution",
                     "an endpoint's life is over",
                     {{"endpoint", life.id}, {"born", life.bornMs}, {"reason", reason}});
    m_ledger.endLife(life);
    Control::Command command;
    command.removeEndpoint = life;
    std::vector<Control::Command> commands;
    commands.push_back(std::move(command));
    // If this is lost, the next leader finds out for itself.
    const auto result = co_await m_parts.log.commit(std::move(commands));
    if (result != CommitResult::Committed)
        Utils::Log::warning(
            "execution", "could not note an endpoint's end", {{"endpoint", life.id}});
    wake();
}

auto LeaderSession::schedulePass() -> Task
{
    const auto since = m_parts.clock.now() - m_lastPass;
    if (since < passInterval)
        co_await AsyncNet::pause(passInterval - since);
    m_passPending = false;
    if (!m_active)
        co_return;
    m_lastPass = m_parts.clock.now();
    auto orders = m_parts.state.read([&](const Control::State &state) {
        return m_ledger.schedule(state, m_lastPass, m_parts.clock.wallTime());
    });
    for (auto &order : orders.stops)
        AsyncNet::start(m_parts.loop, "stop", sendStop(std::move(order)), shared_from_this());
    for (auto &order : orders.starts)
        AsyncNet::start(m_parts.loop, "start", sendStart(std::move(order)), shared_from_this());
    for (auto &order : orders.paces)
        AsyncNet::start(m_parts.loop, "pace", sendPace(std::move(order)), shared_from_this());
}

auto LeaderSession::tick() -> Task
{
    while (m_active) {
        for (const auto &life : m_ledger.expireLeases(m_parts.clock.now()))
            co_await endLife(life, "it said that it leaves and its lease has run out");
        wake();
        co_await AsyncNet::pause(tickInterval);
    }
}

auto LeaderSession::sendStart(StartOrder order) -> Task
{
    const auto reply = co_await m_parts.endpoints.start(order);
    if (!m_active)
        co_return;
    noteStart(order, reply);
    m_ledger.startAnswered(order, reply, m_parts.clock.now());
    if (reply.result == StartResult::Started)
        co_return;
    if (reply.result == StartResult::Fenced)
        end();
    wake();
}

auto LeaderSession::noteStart(const StartOrder &order, const StartReply &reply) -> void
{
    const auto result = nameOf(reply.result);
    m_parts.metrics.count("trefoilshelf_starts_total", {{"result", std::string(result)}});
    if (reply.result == StartResult::Started && !m_ledger.hasStarted(order.task.job))
        noteFirstStart(order);
    auto &budget = reply.result == StartResult::Started ? m_startLines : m_failureLines;
    if (!budget.allow(m_parts.clock.now()))
        return;
    Utils::Log::info("execution",
                     "ordered a task to start",
                     {{"job", order.task.job},
                      {"task", describe(order.task)},
                      {"run", order.run},
                      {"endpoint", order.target.life.id},
                      {"checkpoint", !order.checkpoint.empty()},
                      {"result", result}});
}

auto LeaderSession::noteFirstStart(const StartOrder &order) -> void
{
    const auto waitedMs = m_parts.state.read([&](const Control::State &state) {
        const auto *job = state.jobs.find(order.task.job);
        return job != nullptr ? m_parts.clock.wallTime() - job->spec.handedInMs : 0;
    });
    m_parts.metrics.observe(
        "trefoilshelf_first_start_seconds", {}, double(waitedMs) / millisecondsPerSecond);
    if (m_firstStartLines.allow(m_parts.clock.now()))
        Utils::Log::info(
            "execution",
            "a job began",
            {{"job", order.task.job}, {"waited_ms", waitedMs}, {"endpoint", order.target.life.id}});
}

auto LeaderSession::sendStop(StopOrder order) -> Task
{
    const auto result = co_await m_parts.endpoints.stop(order);
    if (m_active)
        m_ledger.stopAnswered(order, result, m_parts.clock.now());
}

auto LeaderSession::sendPace(PaceOrder order) -> Task
{
    const auto result = co_await m_parts.endpoints.pace(order);
    if (m_active)
        m_ledger.paceAnswered(order, result);
}

auto LeaderSession::hasOpenWave() const -> bool
{
    return m_parts.state.read([](const Control::State &state) {
        return std::ranges::any_of(state.waves,
                                   [](const auto &item) { return !item.second.isDone(); });
    });
}

// Tells what the sizes of the pools are decided from.
auto LeaderSession::reportPools(const HostList &hosts) -> void
{
    const auto now = m_parts.clock.now();
    if (!hosts.complete || now - m_lastReport < reportInterval)
        return;
    m_lastReport = now;
    const auto loads = m_parts.state.read([&](const Control::State &state) {
        return m_moves.loads(state.configuration, m_ledger, hosts, now);
    });
    for (const auto &load : loads) {
        Utils::Log::info("execution",
                         "load of a pool",
                         {{"pool", load.name},
                          {"hosts", load.hosts},
                          {"wanted", Scheduling::wantedHosts(load)},
                          {"idle", load.idleHosts},
                          {"at_least", load.minimumHosts},
                          {"lasting_millicores", load.lastingMillicores},
                          {"batch_millicores", std::int64_t(load.batchMillicores)}});
    }
}

auto LeaderSession::manageHosts() -> Task
{
    HostList hosts;
    auto listedAt = Utils::Instant();
    while (m_active) {
        m_moves.observe(m_ledger, m_parts.clock.now());
        if (m_parts.clock.now() - listedAt > hostListInterval) {
            const auto askedAt = m_parts.clock.now();
            hosts = co_await m_parts.hosts.list();
            listedAt = askedAt;
            if (!m_active)
                co_return;
            if (hosts.complete) {
                for (const auto &endpoint : m_moves.takeUnmoved(hosts, askedAt))
                    m_ledger.setClosed(endpoint, false);
            }
        }
        if (hasOpenWave())
            co_await runWaves(hosts);
        if (!m_active)
            co_return;
        const auto moves = m_parts.state.read([&](const Control::State &state) {
            return m_moves.next(state.configuration, m_ledger, hosts, m_parts.clock.now());
        });
        reportPools(hosts);
        for (const auto &endpoint : moves.close)
            m_ledger.setClosed(endpoint, true);
        for (const auto &endpoint : moves.open)
            m_ledger.setClosed(endpoint, false);
        for (const auto &step : moves.steps) {
            m_ledger.setClosed(step.life.id, true);
            AsyncNet::start(m_parts.loop, "move", moveHost(step), shared_from_this());
        }
        co_await AsyncNet::pause(hostsInterval);
    }
}

auto LeaderSession::runWaves(HostList hosts) -> Task
{
    const auto work = m_parts.state.read([&](const Control::State &state) {
        return m_maintenance.next(state, m_ledger, hosts, m_parts.clock.now());
    });
    for (const auto &endpoint : work.close)
        m_ledger.setClosed(endpoint, true);
    for (const auto &endpoint : work.evacuate)
        m_ledger.evacuate(endpoint);
    for (const auto &step : work.begin)
        co_await maintainHost(step);
    std::vector<Control::Command> commands;
    for (const auto &left : work.left) {
        Control::Command command;
        command.finishWaveHost = left;
        commands.push_back(std::move(command));
    }
    if (commands.empty() || !m_active)
        co_return;
    // If this is lost, the next pass finds the same hosts gone.
    co_await m_parts.log.commit(std::move(commands));
}

auto LeaderSession::maintainHost(MaintenanceStep step) -> Task
{
    // What was ordered since the plan was made counts too.
    if (!m_ledger.canLose(step.life.id))
        co_return;
    m_ledger.setEndOrdered(step.life.id, true);
    const auto result = co_await m_parts.hosts.maintain(step.host, step.wave, m_term);
    if (!m_active)
        co_return;
    if (result != HostOrderResult::Accepted && result != HostOrderResult::Unknown)
        m_ledger.setEndOrdered(step.life.id, false);
    m_maintenance.ordered(step, result, m_parts.clock.now());
    Utils::Log::info("execution",
                     "ordered maintenance of a host",
                     {{"host", step.host},
                      {"wave", step.wave},
                      {"endpoint", step.life.id},
                      {"accepted", result == HostOrderResult::Accepted}});
    if (result != HostOrderResult::Accepted)
        co_return;
    Control::Command finished;
    finished.finishWaveHost = Control::FinishWaveHost{step.wave, step.host};
    std::vector<Control::Command> commands;
    commands.push_back(std::move(finished));
    co_await forgetEndpoint(step.life, std::move(commands));
}

auto LeaderSession::moveHost(MoveStep step) -> Task
{
    const auto result = co_await m_parts.hosts.move(step.host, step.to, m_term);
    if (!m_active)
        co_return;
    Utils::Log::info("execution",
                     "ordered a host to another pool",
                     {{"host", step.host},
                      {"from", step.from},
                      {"to", step.to},
                      {"endpoint", step.life.id},
                      {"accepted", result == HostOrderResult::Accepted}});
    if (m_moves.ordered(step, result, m_parts.clock.now()))
        m_ledger.setClosed(step.life.id, false);
    if (result == HostOrderResult::Accepted)
        co_await forgetEndpoint(step.life, {});
}

// Notes that an order has ended the life of an endpoint, together with other commands.
auto LeaderSession::forgetEndpoint(const Control::EndpointLife &life,
                                   std::vector<Control::Command> commands) -> Task
{
    if (!life.id.empty()) {
        m_ledger.endLife(life);
        Control::Command removed;
        removed.removeEndpoint = life;
        commands.push_back(std::move(removed));
    }
    while (m_active && !commands.empty()) {
        auto copy = commands;
        if (co_await m_parts.log.commit(std::move(copy)) == CommitResult::Committed)
            break;
        co_await AsyncNet::pause(commitRetry);
    }
    wake();
}

} // namespace Execution
