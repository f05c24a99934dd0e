// Implements the part of LeaderSession that moves and maintains hosts.
#include "leadersession.h"

#include "utils/log.h"

#include <algorithm>
#include <cmath>

namespace Execution {
namespace {

// The list is requested rarely, since the provider of hosts charges for each call.
constexpr Utils::Milliseconds hostListInterval{1000};
constexpr Utils::Milliseconds hostsInterval{100};
constexpr Utils::Milliseconds reportInterval{2000};

} // namespace

auto LeaderSession::hasOpenWave() const -> bool
{
    return m_parts.state.read([](const Control::State &state) {
        return std::ranges::any_of(state.waves,
                                   [](const auto &item) { return !item.second.isDone(); });
    });
}

// Logs the loads that the sizes of the pools are derived from.
auto LeaderSession::reportPools() -> void
{
    const auto now = m_parts.clock.now();
    if (!m_hosts.complete || now - m_lastReport < reportInterval)
        return;
    m_lastReport = now;
    const auto loads = m_parts.state.read([&](const Control::State &state) {
        return m_moves.loads(state.configuration, m_ledger, m_hosts, now);
    });
    for (const auto &load : loads) {
        const auto use = m_ledger.useOf(load.name, now);
        Utils::Log::info("execution",
                         "load of a pool",
                         {{"pool", load.name},
                          {"hosts", load.hosts},
                          {"wanted", Scheduling::wantedHosts(load)},
                          {"idle", load.idleHosts},
                          {"at_least", Scheduling::leastHosts(load)},
                          {"lasting_millicores", load.longRunningMillicores},
                          {"lasting_memory_mb", load.longRunningMemoryMb},
                          {"for_unplaced", std::int64_t(std::ceil(load.hostsForUnplaced))},
                          {"batch_millicores", std::int64_t(load.batchMillicores)},
                          {"open", use.openEndpoints},
                          {"free_millicores", use.freeMillicores},
                          {"unconfirmed_runs", use.unconfirmedRuns}});
    }
}

// Closes the endpoints that orders of earlier leaders may still end.
auto LeaderSession::inheritHostOrders() -> void
{
    const auto now = m_parts.clock.now();
    m_parts.state.read([&](const Control::State &state) {
        for (const auto &[host, known] : state.hostOrders) {
            const auto &incarnation = known.order.incarnation;
            const auto orderedAt = known.knownSince.value_or(now);
            const auto found = m_ledger.endpoints().find(incarnation.id);
            const auto mayEndUntil = orderedAt + longestInheritedOrder;
            if (now >= mayEndUntil || found == m_ledger.endpoints().end()
                || found->second.record.incarnation != incarnation)
                continue;
            if (known.order.isMove()) {
                const auto &from = found->second.record.pool;
                m_moves.inherit(
                    {host, from, known.order.pool, incarnation}, orderedAt, mayEndUntil);
                m_ledger.setClosed(incarnation.id, true);
            } else if (m_maintenance.mayBeCarriedOut(host, now)) {
                m_ledger.setClosed(incarnation.id, true, ClosedFor::Maintenance);
                m_ledger.setEndOrdered(incarnation.id, true);
            }
        }
    });
}

// Records orders before they are sent: a later leader must know what they may end. Returns false if they
// are not to be sent.
auto LeaderSession::recordHostOrders(std::vector<Control::RecordHostOrder> orders)
    -> AsyncNet::Task<bool>
{
    // The move of a host without an endpoint ends nothing.
    std::erase_if(orders,
                  [](const auto &order) { return order.isMove() && order.incarnation.id.empty(); });
    if (orders.empty())
        co_return true;
    std::vector<Control::Command> commands;
    for (auto &order : orders)
        commands.emplace_back().recordHostOrder = std::move(order);
    const auto result = co_await commit(std::move(commands));
    const auto recorded = m_active && result == CommitResult::Committed;
    co_return recorded;
}

auto LeaderSession::listHosts() -> Task
{
    while (m_active) {
        const auto askedAt = m_parts.clock.now();
        auto listed = co_await m_parts.hosts.list();
        if (!m_active)
            co_return;
        m_hosts = std::move(listed);
        m_hostsListedAt = askedAt;
        if (m_hosts.complete) {
            for (const auto &endpoint : m_moves.takeUnmoved(m_hosts, askedAt))
                m_ledger.setClosed(endpoint, false);
        }
        co_await AsyncNet::pause(hostListInterval);
    }
}

auto LeaderSession::manageHosts() -> Task
{
    inheritHostOrders();
    while (m_active) {
        updateDemand();
        if (hasOpenWave() || m_maintenance.hasUnconfirmedOrders())
            co_await runWaves();
        if (!m_active)
            co_return;
        orderMoves();
        reportPools();
        co_await AsyncNet::pause(hostsInterval);
    }
}

auto LeaderSession::updateDemand() -> void
{
    const LeaderLoad::Timer timer(m_load, LeaderWork::Hosts);
    m_ledger.updateDemand(m_parts.clock.wallTime());
    m_moves.observe(m_ledger, m_parts.clock.now());
}

auto LeaderSession::orderMoves() -> void
{
    const LeaderLoad::Timer timer(m_load, LeaderWork::Hosts);
    const auto now = m_parts.clock.now();
    const auto available = m_hostOrders.available(now);
    const auto moves = m_parts.state.read([&](const Control::State &state) {
        return m_moves.next(state.configuration, m_ledger, m_hosts, available, now);
    });
    m_movesWait = std::int64_t(moves.steps.size()) >= available;
    reportReleasedHosts(moves);
    closeAndOpen(moves, m_ledger);
    m_hostOrders.take(std::int64_t(moves.steps.size()));
    for (const auto &step : moves.steps)
        m_ledger.setClosed(step.incarnation.id, true);
    if (!moves.steps.empty())
        AsyncNet::start(m_parts.loop, "moves", moveHosts(moves.steps), shared_from_this());
}

// Logs for how many hosts pools begin or cease to wait, so that they can move.
auto LeaderSession::reportReleasedHosts(const HostMoves &moves) const -> void
{
    if (moves.close.empty() && moves.open.empty())
        return;
    Utils::Log::info("execution",
                     "pools release hosts",
                     {{"closed", moves.close.size()},
                      {"opened", moves.open.size()},
                      {"evacuated", moves.evacuate.size()},
                      {"moved", moves.steps.size()}});
}

auto LeaderSession::planMaintenance() -> MaintenanceWork
{
    const LeaderLoad::Timer timer(m_load, LeaderWork::Hosts);
    const auto now = m_parts.clock.now();
    const auto available = m_hostOrders.available(now);
    const MaintenanceView view{m_ledger,
                               m_hosts,
                               m_hostsListedAt,
                               now,
                               m_parts.clock.wallTime(),
                               m_movesWait ? maintenanceShare(available) : available,
                               m_moves.movingHosts()};
    return m_parts.state.read(
        [&](const Control::State &state) { return m_maintenance.next(state, view); });
}

auto LeaderSession::runWaves() -> Task
{
    const auto work = planMaintenance();
    for (const auto &endpoint : work.close)
        m_ledger.setClosed(endpoint, true, ClosedFor::Maintenance);
    for (const auto &endpoint : work.evacuate)
        m_ledger.evacuate(endpoint);
    for (const auto &endpoint : work.open) {
        Utils::Log::info("execution",
                         "an earlier order had maintained the host before its endpoint started",
                         {{"endpoint", endpoint}});
        m_ledger.setEndOrdered(endpoint, false);
        m_ledger.setClosed(endpoint, false, ClosedFor::Maintenance);
    }
    for (const auto &incarnation : work.ended)
        AsyncNet::start(m_parts.loop,
                        "maintained endpoint",
                        endIncarnation(incarnation, "its host has been maintained"),
                        shared_from_this());
    std::vector<MaintenanceStep> steps;
    for (const auto &step : work.begin) {
        // The plan does not know of the other orders of this pass, so the limit is checked again.
        if (!m_ledger.canLose(step.incarnation.id)) {
            m_maintenance.withdraw(step);
            continue;
        }
        m_ledger.setEndOrdered(step.incarnation.id, true);
        markMaintained(step.host);
        m_hostOrders.take(1);
        steps.push_back(step);
    }
    if (!steps.empty())
        AsyncNet::start(
            m_parts.loop, "maintenance", maintainHosts(std::move(steps)), shared_from_this());
    std::vector<Control::Command> commands;
    for (const auto &departed : work.departed) {
        Control::Command command;
        command.finishWaveHost = departed;
        commands.push_back(std::move(command));
    }
    if (commands.empty() || !m_active)
        co_return;
    // If the commit fails, the next pass finds the same hosts missing.
    co_await commit(std::move(commands));
}

// Marks the host in the list, which is replaced about once a second, so that the host is not chosen
// for another order before the next list shows what became of it.
auto LeaderSession::markMaintained(std::string_view name) -> void
{
    const auto host = std::ranges::find(m_hosts.hosts, name, &HostInfo::name);
    if (host != m_hosts.hosts.end())
        host->state = HostState::Maintenance;
}

auto LeaderSession::maintainHosts(std::vector<MaintenanceStep> steps) -> Task
{
    std::vector<Control::RecordHostOrder> orders;
    for (const auto &step : steps)
        orders.push_back({step.host, step.incarnation, step.wave, {}});
    const auto recorded = co_await recordHostOrders(std::move(orders));
    if (!m_active)
        co_return;
    for (auto &step : steps) {
        // Tasks may have ended while the order was recorded.
        if (recorded && m_ledger.canLose(step.incarnation.id))
            AsyncNet::start(
                m_parts.loop, "maintenance", maintainHost(std::move(step)), shared_from_this());
        else
            withdrawMaintenance(step);
    }
}

auto LeaderSession::withdrawMaintenance(const MaintenanceStep &step) -> void
{
    m_maintenance.withdraw(step);
    if (!m_maintenance.mayBeCarriedOut(step.host, m_parts.clock.now()))
        m_ledger.setEndOrdered(step.incarnation.id, false);
}

auto LeaderSession::maintainHost(MaintenanceStep step) -> Task
{
    const auto result = co_await m_parts.hosts.maintain(step.host, step.wave, m_term);
    if (!m_active)
        co_return;
    const auto now = m_parts.clock.now();
    m_maintenance.ordered(step, result, now);
    if (result != HostOrderResult::Accepted && !m_maintenance.mayBeCarriedOut(step.host, now))
        m_ledger.setEndOrdered(step.incarnation.id, false);
    Utils::Log::info("execution",
                     "ordered maintenance of a host",
                     {{"host", step.host},
                      {"wave", step.wave},
                      {"endpoint", step.incarnation.id},
                      {"accepted", result == HostOrderResult::Accepted}});
    if (result != HostOrderResult::Accepted)
        co_return;
    Control::Command finished;
    finished.finishWaveHost = Control::FinishWaveHost{step.wave, step.host};
    std::vector<Control::Command> commands;
    commands.push_back(std::move(finished));
    if (!step.repeated) {
        co_await forgetEndpoint(step.incarnation, std::move(commands));
        co_return;
    }
    // The provider also accepts an order that it has already carried out, so this incarnation may
    // have started after the maintenance. The next list of hosts shows it.
    std::vector<Jobs::TaskId> noGoneTasks;
    const auto committed = co_await commitUntilDone(std::move(commands), std::move(noGoneTasks));
    if (committed)
        wake();
}

auto LeaderSession::moveHosts(std::vector<MoveStep> steps) -> Task
{
    std::vector<Control::RecordHostOrder> orders;
    for (const auto &step : steps)
        orders.push_back({step.host, step.incarnation, 0, step.to});
    const auto recorded = co_await recordHostOrders(std::move(orders));
    if (!m_active)
        co_return;
    for (auto &step : steps) {
        if (recorded)
            AsyncNet::start(m_parts.loop, "move", moveHost(std::move(step)), shared_from_this());
        else if (m_moves.ordered(step, HostOrderResult::Busy, m_parts.clock.now()))
            m_ledger.setClosed(step.incarnation.id, false);
    }
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
                      {"endpoint", step.incarnation.id},
                      {"accepted", result == HostOrderResult::Accepted}});
    if (m_moves.ordered(step, result, m_parts.clock.now()))
        m_ledger.setClosed(step.incarnation.id, false);
    if (result != HostOrderResult::Accepted)
        co_return;
    std::vector<Control::Command> noOtherCommands;
    co_await forgetEndpoint(step.incarnation, std::move(noOtherCommands));
}

// Removes an endpoint whose incarnation has ended, and commits the removal together with \a commands
// and with what it means for tasks: a later leader cannot ask a removed endpoint for them.
// An endpoint that the state went on to hold would be acknowledged, and get no tasks, if it announced
// itself again.
auto LeaderSession::forgetEndpoint(Control::EndpointIncarnation incarnation,
                                   std::vector<Control::Command> commands) -> Task
{
    m_ledger.endIncarnation(incarnation);
    Control::Command removed;
    removed.removeEndpoint = incarnation;
    commands.push_back(std::move(removed));
    auto gone = m_parts.state.read([this](const Control::State &state) {
        return m_ledger.takeGone(state, m_parts.clock.now());
    });
    const auto committed = co_await commitUntilDone(std::move(commands), std::move(gone));
    if (committed)
        wake();
}

} // namespace Execution
