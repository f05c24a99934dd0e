#include "leadersession.h"

#include "utils/log.h"

#include <algorithm>
#include <utility>

namespace Execution {
namespace {

constexpr Utils::Milliseconds tickInterval{100};
// Orders and answers that wait longer for their turn are told.
constexpr Utils::Milliseconds longestLag{200};
// Collects what arrives together into one scheduling pass.
constexpr Utils::Milliseconds shortestPassPause{5};
constexpr Utils::Milliseconds longestPassPause{40};
// Passes get at most one part of so many of the loop's time; the rest is for orders and looks.
constexpr int passPart = 8;
// Between two tries to look at an endpoint that does not answer.
constexpr Utils::Milliseconds lookRetry{250};
// Of each kind: enough to follow single jobs at a calm time, little beside a burst's work.
constexpr std::int64_t linesPerSecond = 40;

} // namespace

LeaderSession::LeaderSession(LeaderParts parts, LedgerTiming timing, std::int64_t term)
    : m_parts(parts)
    , m_ledger(timing)
    , m_hostOrders(parts.hostOrdersPerS)
    , m_term(term)
    , m_startLines("starts of tasks", linesPerSecond)
    , m_endLines("ends of tasks", linesPerSecond)
    , m_stopLines("stops of tasks", linesPerSecond)
    , m_endedJobLines("ends of jobs", linesPerSecond)
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
    std::vector<Control::Command> commands;
    if (!effects.record.ends.empty())
        commands.emplace_back().recordEnds = effects.record;
    const auto committed = co_await commitUntilDone(std::move(commands));
    if (!committed)
        co_return;
    m_ledger.endsRecorded(effects.record, effects.lastEnd);
    logEndedJobs(effects.record);
    wake();
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
    if (since < m_passPause)
        co_await AsyncNet::pause(m_passPause - since);
    m_passPending = false;
    if (!m_active)
        co_return;
    m_lastPass = m_parts.clock.now();
    const auto began = std::chrono::steady_clock::now();
    auto orders = m_parts.state.read([&](const Control::State &state) {
        return m_ledger.schedule(state, m_lastPass, m_parts.clock.wallTime());
    });
    const auto took = std::chrono::steady_clock::now() - began;
    m_passPause = std::clamp(std::chrono::duration_cast<Utils::Milliseconds>(took * passPart),
                             shortestPassPause,
                             longestPassPause);
    for (auto &order : orders.stops)
        AsyncNet::start(m_parts.loop, "stop", sendStop(std::move(order)), shared_from_this());
    if (!orders.starts.empty())
        AsyncNet::start(
            m_parts.loop, "starts", recordAndSend(std::move(orders.starts)), shared_from_this());
    for (auto &order : orders.paces)
        AsyncNet::start(m_parts.loop, "pace", sendPace(std::move(order)), shared_from_this());
}

auto LeaderSession::tick() -> Task
{
    while (m_active) {
        for (const auto &life : m_ledger.expireLeases(m_parts.clock.now()))
            co_await endLife(life, "it said that it leaves and its lease has run out");
        wake();
        const auto pausedAt = m_parts.clock.now();
        co_await AsyncNet::pause(tickInterval);
        noteLag(m_parts.clock.now() - pausedAt - tickInterval);
    }
}

// Commits what must not be lost; returns false if another leader has to do it.
auto LeaderSession::commitUntilDone(std::vector<Control::Command> commands) -> AsyncNet::Task<bool>
{
    while (m_active && !commands.empty()) {
        auto copy = commands;
        const auto result = co_await m_parts.log.commit(std::move(copy));
        if (result == CommitResult::Committed)
            break;
        co_await AsyncNet::pause(commitRetry);
    }
    co_return m_active;
}

// A start is durable before its order is sent: a later leader has to know where the task may run.
auto LeaderSession::recordAndSend(std::vector<StartOrder> orders) -> Task
{
    std::map<Control::EndpointLife, std::vector<Jobs::TaskId>> tasks;
    for (const auto &order : orders)
        tasks[order.target.life].push_back(order.task);
    std::vector<Control::Command> commands;
    for (auto &[life, started] : tasks)
        commands.emplace_back().recordStarts = Control::RecordStarts{life, std::move(started)};
    const auto committed = co_await commitUntilDone(std::move(commands));
    if (!committed)
        co_return;
    for (auto &order : orders) {
        if (m_ledger.confirmStart(order))
            AsyncNet::start(m_parts.loop, "start", sendStart(std::move(order)), shared_from_this());
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

auto LeaderSession::noteLag(Utils::Milliseconds lag) -> void
{
    m_parts.metrics.observe(
        "trefoilshelf_loop_lag_seconds", {}, std::chrono::duration<double>(lag).count());
    if (lag > longestLag)
        Utils::Log::warning("execution", "the event loop is late", {{"late_ms", lag.count()}});
}

auto LeaderSession::sendStop(StopOrder order) -> Task
{
    const auto result = co_await m_parts.endpoints.stop(order);
    noteStop(order, result);
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
