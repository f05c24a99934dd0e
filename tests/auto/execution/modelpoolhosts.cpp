#include "modelpoolhosts.h"

#include <algorithm>
#include <utility>

namespace ExecutionTest {
namespace {

constexpr std::int64_t ms = usPerMs;
constexpr std::int64_t moveUs = 1500 * ms;
constexpr std::int64_t maintenanceUs = 2000 * ms;
// A run ends within this time after the reply to its stop (LedgerTiming::longestStop).
constexpr std::int64_t longestStopUs = 380 * ms;
constexpr std::int64_t shortestStopUs = 20 * ms;
constexpr std::int64_t longestWarmUpUs = 300 * ms;
// Lists are also renewed without news, as polls wait for a limited time.
constexpr std::int64_t longestPollUs = 500 * ms;
constexpr std::int64_t readyPercent = 100;
constexpr std::int64_t warmingUpPercent = 50;

} // namespace

auto ModelPoolHosts::Host::freeOfShortTasks() const -> Jobs::Resources
{
    auto free = capacity;
    for (const auto &[task, run] : runs) {
        if (run.task.step.longRunning)
            free -= run.task.step.demand;
    }
    return free;
}

auto ModelPoolHosts::Host::countOfStep(const Jobs::TaskId &task) const -> std::int64_t
{
    return std::ranges::count_if(runs,
                                 [&task](const auto &run) { return run.first.job == task.job; });
}

ModelPoolHosts::ModelPoolHosts(VirtualTime &time,
                               RandomSource &random,
                               RunWatch &watch,
                               Announce announce)
    : m_time(time)
    , m_random(random)
    , m_watch(watch)
    , m_announce(std::move(announce))
{}

auto ModelPoolHosts::add(const std::string &pool, bool on) -> void
{
    Host host;
    host.name = "host" + std::to_string(m_hosts.size() + 1);
    host.pool = pool;
    m_hosts.push_back(std::move(host));
    if (on)
        startEndpoint(m_hosts.back());
}

auto ModelPoolHosts::list() const -> Execution::HostList
{
    Execution::HostList list;
    list.complete = true;
    for (const auto &host : m_hosts)
        list.hosts.push_back({host.name, host.pool, host.state, host.incarnation.id});
    return list;
}

auto ModelPoolHosts::isReady(const Jobs::TaskId &task) const -> bool
{
    return std::ranges::any_of(m_hosts, [&](const Host &host) {
        const auto run = host.runs.find(task);
        return run != host.runs.end() && !run->second.stops
               && run->second.readyAtUs <= m_time.nowUs();
    });
}

auto ModelPoolHosts::hasNews(const Host &host) const -> bool
{
    const auto becameReady = [&](const auto &item) {
        return item.second.readyAtUs > host.polledAtUs && item.second.readyAtUs <= m_time.nowUs();
    };
    return !host.ended.empty() || m_time.nowUs() - host.polledAtUs >= longestPollUs
           || std::ranges::any_of(host.runs, becameReady);
}

auto ModelPoolHosts::start(const Execution::StartOrder &order, const ModelPoolTask &task)
    -> Execution::StartReply
{
    auto *host = find(order.target.incarnation.id);
    if (host == nullptr)
        return {};
    auto free = capacity;
    for (const auto &[other, run] : host->runs)
        free -= run.task.step.demand;
    if (!task.step.demand.fitsInto(free))
        return {Execution::StartResult::NoRoom, clockMs()};
    const auto readyAtUs = m_time.nowUs() + m_random.between(0, longestWarmUpUs);
    host->runs[order.task] = {order.run, task, readyAtUs};
    m_watch.started(order.task, order.run, order.target.incarnation.id);
    if (task.durationMs > 0)
        m_time.after(task.durationMs * ms,
                     [this, id = order.target.incarnation.id, task = order.task, run = order.run] {
                         end(id, task, run, Execution::EndKind::Done);
                     });
    return {Execution::StartResult::Started, clockMs()};
}

auto ModelPoolHosts::stop(const Execution::StopOrder &order) -> Execution::OrderResult
{
    auto *host = find(order.target.incarnation.id);
    if (host == nullptr)
        return Execution::OrderResult::Unknown;
    const auto run = host->runs.find(order.task);
    if (run == host->runs.end() || run->second.number != order.run
        || std::exchange(run->second.stops, true))
        return Execution::OrderResult::Accepted;
    m_time.after(m_random.between(shortestStopUs, longestStopUs),
                 [this, id = order.target.incarnation.id, task = order.task, number = order.run] {
                     end(id, task, number, Execution::EndKind::Stopped);
                 });
    return Execution::OrderResult::Accepted;
}

auto ModelPoolHosts::poll(const Execution::PollOrder &order) -> Execution::PollReply
{
    Execution::PollReply reply;
    auto *host = find(order.target.incarnation.id);
    if (host == nullptr)
        return reply;
    host->polledAtUs = m_time.nowUs();
    std::erase_if(host->ended, [&](const auto &end) { return end.number <= order.recordedEnds; });
    reply.result = Execution::PollResult::Seen;
    reply.bornMs = host->incarnation.bornMs;
    reply.clockMs = clockMs();
    reply.ended = host->ended;
    for (const auto &[task, run] : host->runs) {
        const auto ready = run.readyAtUs <= m_time.nowUs();
        reply.running.push_back({task, run.number, "", ready ? readyPercent : warmingUpPercent, 0});
    }
    return reply;
}

auto ModelPoolHosts::crash(std::size_t host) -> void
{
    endAll(m_hosts[host], "its host crashes");
    m_hosts[host].state = Execution::HostState::Down;
}

auto ModelPoolHosts::move(const std::string &name, const std::string &pool, bool on) -> void
{
    const auto index = std::size_t(std::ranges::find(m_hosts, name, &Host::name) - m_hosts.begin());
    endAll(m_hosts[index], "its host moves");
    m_hosts[index].state = Execution::HostState::Moving;
    m_time.after(moveUs, [this, index, pool, on] {
        auto &host = m_hosts[index];
        if (host.state == Execution::HostState::Down)
            return;
        host.state = Execution::HostState::Up;
        host.pool = pool;
        if (on)
            startEndpoint(host);
    });
}

auto ModelPoolHosts::maintain(std::size_t host) -> void
{
    endAll(m_hosts[host], "its host is maintained");
    m_hosts[host].state = Execution::HostState::Maintenance;
    m_time.after(maintenanceUs, [this, host] {
        if (m_hosts[host].state == Execution::HostState::Down)
            return;
        m_hosts[host].state = Execution::HostState::Up;
        startEndpoint(m_hosts[host]);
    });
}

auto ModelPoolHosts::find(const std::string &endpoint) -> Host *
{
    const auto found =
        std::ranges::find(m_hosts, endpoint, [](const Host &host) { return host.incarnation.id; });
    return found != m_hosts.end() ? &*found : nullptr;
}

auto ModelPoolHosts::clockMs() const -> std::int64_t
{
    return m_time.now().time_since_epoch().count();
}

auto ModelPoolHosts::end(const std::string &endpoint,
                         const Jobs::TaskId &task,
                         std::int64_t number,
                         Execution::EndKind kind) -> void
{
    auto *host = find(endpoint);
    if (host == nullptr)
        return;
    const auto run = host->runs.find(task);
    if (run == host->runs.end() || run->second.number != number)
        return;
    host->runs.erase(run);
    host->ended.push_back({++host->ends, task, number, kind, ""});
    m_watch.ended(
        task, number, endpoint, kind == Execution::EndKind::Done ? "done" : "it is stopped");
}

auto ModelPoolHosts::endAll(Host &host, const std::string &how) -> void
{
    for (const auto &[task, run] : host.runs)
        m_watch.ended(task, run.number, host.incarnation.id, how);
    m_watch.noteEndpoint(host.incarnation.id, how);
    host.runs.clear();
    host.ended.clear();
    host.ends = 0;
    host.incarnation = {};
}

auto ModelPoolHosts::startEndpoint(Host &host) -> void
{
    Control::EndpointRecord record;
    record.incarnation = {"endpoint" + std::to_string(++m_endpoints), clockMs()};
    record.pool = host.pool;
    record.address = record.incarnation.id + ":1";
    record.capacity = capacity;
    host.incarnation = record.incarnation;
    host.polledAtUs = -longestPollUs;
    m_watch.noteEndpoint(host.incarnation.id, "starts on " + host.name + " in " + host.pool);
    m_announce(record);
}

} // namespace ExecutionTest
