// The part of LeaderSession that moves and maintains hosts.
#include "leadersession.h"

#include "utils/log.h"

#include <algorithm>

namespace Execution {
namespace {

// The provider charges for each call.
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

// Tells what the sizes of the pools are decided from.
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
    while (m_active) {
        m_ledger.updateDemand(m_parts.clock.wallTime());
        m_moves.observe(m_ledger, m_parts.clock.now());
        if (hasOpenWave())
            co_await runWaves();
        if (!m_active)
            co_return;
        orderMoves();
        reportPools();
        co_await AsyncNet::pause(hostsInterval);
    }
}

auto LeaderSession::orderMoves() -> void
{
    const auto now = m_parts.clock.now();
    const auto moves = m_parts.state.read([&](const Control::State &state) {
        return m_moves.next(
            state.configuration, m_ledger, m_hosts, m_hostOrders.available(now), now);
    });
    for (const auto &endpoint : moves.close)
        m_ledger.setClosed(endpoint, true);
    for (const auto &endpoint : moves.open)
        m_ledger.setClosed(endpoint, false);
    m_hostOrders.take(std::int64_t(moves.steps.size()));
    for (const auto &step : moves.steps) {
        m_ledger.setClosed(step.life.id, true);
        AsyncNet::start(m_parts.loop, "move", moveHost(step), shared_from_this());
    }
}

auto LeaderSession::runWaves() -> Task
{
    const auto work = m_parts.state.read([&](const Control::State &state) {
        return m_maintenance.next(state,
                                  m_ledger,
                                  m_hosts,
                                  m_hostsListedAt,
                                  m_parts.clock.now(),
                                  m_parts.clock.wallTime());
    });
    for (const auto &endpoint : work.close)
        m_ledger.setClosed(endpoint, true);
    for (const auto &endpoint : work.evacuate)
        m_ledger.evacuate(endpoint);
    for (const auto &step : work.begin) {
        // What was ordered since the plan was made counts too.
        if (!m_ledger.canLose(step.life.id)) {
            m_maintenance.ordered(step, HostOrderResult::Busy, m_parts.clock.now());
            continue;
        }
        m_ledger.setEndOrdered(step.life.id, true);
        m_hostOrders.take(1);
        AsyncNet::start(m_parts.loop, "maintenance", maintainHost(step), shared_from_this());
    }
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
    if (!step.repeated) {
        co_await forgetEndpoint(step.life, std::move(commands));
        co_return;
    }
    // The provider accepts what it has done before. Looks tell whether this life goes on.
    m_ledger.setEndOrdered(step.life.id, false);
    m_ledger.setClosed(step.life.id, false);
    const auto committed = co_await commitUntilDone(std::move(commands));
    if (committed)
        wake();
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
    if (result != HostOrderResult::Accepted)
        co_return;
    std::vector<Control::Command> nothingElse;
    co_await forgetEndpoint(step.life, std::move(nothingElse));
}

// Notes that an order has ended the life of an endpoint, together with other commands.
auto LeaderSession::forgetEndpoint(Control::EndpointLife life,
                                   std::vector<Control::Command> commands) -> Task
{
    m_ledger.endLife(life);
    Control::Command removed;
    removed.removeEndpoint = life;
    commands.push_back(std::move(removed));
    const auto committed = co_await commitUntilDone(std::move(commands));
    if (committed)
        wake();
}

} // namespace Execution
