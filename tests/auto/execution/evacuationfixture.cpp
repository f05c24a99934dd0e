#include "evacuationfixture.h"

#include <algorithm>

namespace ExecutionTest {

using Execution::ClosedFor;
using Execution::HostState;

auto EvacuationFixture::addEndpoint(const std::string &id, const std::string &pool) -> void
{
    ledger.addEndpoint(id, pool);
    m_runs[id];
    hosts.hosts.push_back({"host-" + id, pool, HostState::Up, id});
    hosts.complete = true;
}

auto EvacuationFixture::addHostInMaintenance(const std::string &pool) -> void
{
    hosts.hosts.push_back({"maintained", pool, HostState::Maintenance, ""});
}

auto EvacuationFixture::run(const std::string &endpoint, const Jobs::TaskId &task) -> void
{
    run(endpoint, task, ++m_lastRun);
}

auto EvacuationFixture::run(const std::string &endpoint,
                            const Jobs::TaskId &task,
                            std::int64_t number) -> void
{
    m_runs[endpoint].push_back({task, number, "", 100, 0});
}

auto EvacuationFixture::begin() -> void
{
    ledger.begin();
    pollAll();
    ledger.advance(longerThanAStop);
    pollAll();
    ledger.schedule();
}

auto EvacuationFixture::pollAll() -> void
{
    for (const auto &[endpoint, runs] : m_runs) {
        if (!silent.contains(endpoint))
            ledger.poll(endpoint, runs);
    }
}

auto EvacuationFixture::endNewest(const std::string &endpoint) -> void
{
    auto &runs = m_runs.at(endpoint);
    const auto ended = runs.back();
    runs.pop_back();
    ledger.advance(passInterval);
    ledger.record(
        ledger.poll(endpoint,
                    runs,
                    {{++m_ends[endpoint], ended.task, ended.run, Execution::EndKind::Done, ""}}));
}

auto EvacuationFixture::evacuate(const std::string &endpoint) -> void
{
    ledger.ledger.setClosed(endpoint, true, ClosedFor::Maintenance);
    ledger.ledger.evacuate(endpoint);
}

auto EvacuationFixture::endRun(const Execution::StopOrder &stop) -> void
{
    ledger.acceptStop(stop);
    auto &runs = m_runs.at(stop.target.incarnation.id);
    std::erase_if(runs, [&](const auto &run) { return run.task == stop.task; });
}

auto EvacuationFixture::carryOut(const Execution::StopOrder &stop) -> void
{
    endRun(stop);
    ledger.advance(longerThanAStop);
    pollAll();
}

auto EvacuationFixture::carryOutDue() -> void
{
    std::erase_if(pending, [this](const auto &item) {
        if (item.first > ledger.now())
            return false;
        endRun(item.second);
        return true;
    });
}

auto EvacuationFixture::unplacedHosts() -> double
{
    ledger.schedule();
    ledger.ledger.updateDemand(wallMs);
    return ledger.ledger.demand().at(LedgerFixture::defaultPool).unplaced.hosts;
}

auto EvacuationFixture::planMoves() -> Execution::HostMoves
{
    ledger.ledger.updateDemand(wallMs);
    m_plan.observe(ledger.ledger, ledger.now());
    auto moves =
        m_plan.next(ledger.state.configuration, ledger.ledger, hosts, mostMoves, ledger.now());
    Execution::closeAndOpen(moves, ledger.ledger);
    return moves;
}

auto EvacuationFixture::move(const Execution::MoveStep &step) -> void
{
    m_plan.ordered(step, Execution::HostOrderResult::Accepted, ledger.now());
    if (!step.incarnation.id.empty()) {
        ledger.removeEndpoint(step.incarnation.id);
        m_runs.erase(step.incarnation.id);
    }
    std::erase_if(hosts.hosts, [&](const auto &host) { return host.name == step.host; });
    const auto id = std::string("moved-").append(std::to_string(100 + ++m_moved));
    ledger.addEndpoint(id, step.to);
    m_runs[id];
    hosts.hosts.push_back({step.host, step.to, HostState::Up, id});
    ledger.advance(passInterval);
    m_plan.takeUnmoved(hosts, ledger.now());
}

auto EvacuationFixture::addWave(const std::vector<std::string> &endpoints, std::int64_t atOnce)
    -> void
{
    Control::Wave wave;
    wave.number = 1;
    wave.durationMs = 30'000;
    wave.maximumAtOnce = atOnce;
    wave.startedMs = wallMs;
    for (const auto &id : endpoints)
        wave.hosts.push_back("host-" + id);
    ledger.state.waves[1] = wave;
    m_waveBegan = ledger.now();
}

auto EvacuationFixture::planMaintenance() -> Execution::MaintenanceWork
{
    const auto elapsed = (ledger.now() - m_waveBegan).count();
    auto work = m_maintenance.next(
        ledger.state,
        {ledger.ledger, hosts, ledger.now(), ledger.now(), wallMs + elapsed, mostMoves, {}});
    for (const auto &endpoint : work.close)
        ledger.ledger.setClosed(endpoint, true, ClosedFor::Maintenance);
    for (const auto &endpoint : work.evacuate)
        ledger.ledger.evacuate(endpoint);
    for (const auto &endpoint : work.open)
        ledger.ledger.setClosed(endpoint, false, ClosedFor::Maintenance);
    return work;
}

} // namespace ExecutionTest
