#include "fleetmodel.h"

#include "execution/submissiongate.h"
#include "scheduling/joborder.h"

#include <algorithm>
#include <set>

namespace FleetModel {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::int64_t stepMs = 5;
constexpr std::int64_t roundTripMs = 3;
// Time from the decision to start a task until it runs, including the write of the log entry.
constexpr std::int64_t startDelayMs = 12;
constexpr std::int64_t hostsIntervalMs = 100;
constexpr std::int64_t backlogIntervalMs = 200;
constexpr Utils::Milliseconds accountRateWindow{5000};
// Time from the order to move a host until its new endpoint has announced itself.
constexpr std::int64_t hostMoveMs = 1600;
constexpr std::int64_t stopMs = 100;
constexpr std::int64_t restoreMs = 100;
// Warm-up in which hosts are distributed and long-running tasks start, before batch jobs arrive.
constexpr std::int64_t warmUpMs = 6000;
// Time after the last arrival. Jobs that are not done at its end earn no credit.
constexpr std::int64_t drainMs = 12'000;
constexpr std::int64_t term = 1;
constexpr std::int64_t startWallMs = 1'700'000'000'000;
// Jobs that take at most this many times their objective count as late and earn lateCredit.
constexpr std::int64_t lateObjectiveFactor = 3;
constexpr double lateCredit = 0.07;
constexpr std::int64_t fullPercent = 100;
constexpr auto sparePool = "spare";
constexpr std::int64_t hostMemoryMb = 64'000;

struct SimulatedRun
{
    std::int64_t number = 0;
    std::int64_t startMs = 0;
    std::int64_t durationMs = 0;
    std::int64_t stoppedAtMs = 0; // Time at which the run stops; 0: no stop was ordered.
};

struct SimulatedEndpoint
{
    Control::EndpointRecord record;
    std::string host;
    std::map<Jobs::TaskId, SimulatedRun> runs;
    std::vector<Execution::EndedTask> ended; // Ended runs that the leader has not recorded yet.
    std::int64_t ends = 0;
    std::optional<Execution::PollOrder> poll;
    std::int64_t pollSentMs = 0;
};

struct PendingStart
{
    std::int64_t arrivesMs = 0;
    Execution::StartOrder order;
};

struct PendingStop
{
    std::int64_t arrivesMs = 0;
    Execution::StopOrder order;
};

struct MovingHost
{
    std::int64_t arrivesMs = 0;
    std::string host;
    std::string pool;
};

auto ledgerTiming(const Scenario &scenario) -> Execution::LedgerTiming
{
    Execution::LedgerTiming timing;
    timing.farFactor = scenario.waitsForPlaces ? scenario.farFactor : 1;
    return timing;
}

class Fleet
{
public:
    Fleet(const Scenario &scenario, std::vector<PlannedJob> jobs)
        : m_scenario(scenario)
        , m_jobs(std::move(jobs))
        , m_ledger(ledgerTiming(scenario))
    {
        configure();
        createHosts();
        m_ledger.begin(term, m_state, now());
    }

    auto run() -> Result
    {
        const auto endMs = warmUpMs + m_scenario.lengthMs + drainMs;
        for (m_nowMs = 0; m_nowMs < endMs; m_nowMs += stepMs)
            step();
        return report();
    }

private:
    auto now() const -> Utils::Instant
    {
        return Utils::Instant(Utils::Milliseconds(1'000'000 + m_nowMs));
    }
    auto wallMs() const -> std::int64_t { return startWallMs + m_nowMs; }

    auto configure() -> void
    {
        auto &configuration = m_state.configuration;
        configuration.version = 1;
        std::set<std::string> pools;
        for (const auto &demand : m_scenario.queues) {
            Control::Queue queue;
            queue.name = demand.name;
            queue.pool = demand.pool;
            queue.stretch = demand.stretch;
            queue.objectiveMs = demand.objectiveMs;
            queue.priority = demand.priority;
            configuration.queues.push_back(queue);
            pools.insert(demand.pool);
            if (!demand.account.empty())
                addAccount(demand);
        }
        configuration.sortByName();
        for (const auto &pool : pools)
            configuration.pools.push_back({pool, true, false});
        configuration.pools.push_back({sparePool, true, true});
    }

    auto addAccount(const QueueDemand &demand) -> void
    {
        auto &accounts = m_state.configuration.accounts;
        if (!accounts)
            accounts.emplace();
        accounts->push_back({demand.account, {}, demand.weight, {}});
    }

    auto createHosts() -> void
    {
        for (const auto &pool : m_state.configuration.pools) {
            const auto count = pool.spare ? m_scenario.spareHosts : m_scenario.hostsPerPool;
            for (std::int64_t index = 0; index < count; ++index) {
                const auto name = "host-" + std::to_string(m_pools.size());
                m_pools[name] = pool.name;
                m_racks[name] = rackOf(pool.name, index);
                createEndpoint(name);
            }
        }
    }

    auto createEndpoint(const std::string &host) -> void
    {
        SimulatedEndpoint endpoint;
        endpoint.host = host;
        auto &record = endpoint.record;
        record.incarnation = {"endpoint-" + std::to_string(m_endpointCount++), wallMs()};
        record.pool = m_pools[host];
        record.address = record.incarnation.id;
        record.rack = m_racks[host];
        record.capacity = {m_scenario.hostMillicores, hostMemoryMb, 0};
        Control::Command command;
        command.addEndpoint = record;
        m_state.apply(command, wallMs());
        m_ledger.addEndpoint(record, now());
        m_endpointOf[host] = record.incarnation.id;
        m_endpoints[record.incarnation.id] = std::move(endpoint);
    }

    auto step() -> void
    {
        submitJobs();
        finishMoves();
        deliverOrders();
        for (auto &[id, endpoint] : m_endpoints)
            advance(endpoint);
        advancePolls();
        schedule();
        if (m_nowMs % hostsIntervalMs == 0)
            moveHosts();
        if (m_scenario.admission && m_nowMs % backlogIntervalMs == 0)
            updateBacklog();
    }

    auto submitJobs() -> void
    {
        while (m_nextJob < m_jobs.size()) {
            auto &job = m_jobs[m_nextJob];
            const auto longRunning = job.spec.steps.front().longRunning;
            if (!longRunning && job.dueMs + warmUpMs > m_nowMs)
                return;
            job.spec.submittedMs = wallMs();
            m_indexOf[job.spec.id] = m_nextJob++;
            if (!admit(job.spec))
                continue;
            Control::Command command;
            command.submitJob = job.spec;
            m_state.apply(command, wallMs());
        }
    }

    auto admit(Jobs::JobSpec &job) -> bool
    {
        if (!m_scenario.admission)
            return true;
        const auto decision = m_submissions.decide(
            job, m_ledger.expectedDurations(job), m_state.configuration, now(), wallMs());
        job.beyondRate = decision.beyondRate;
        m_submissions.settled(job.id, Execution::CommitResult::Committed);
        if (decision.admission.refusal)
            m_refused.insert(job.id);
        return !decision.admission.refusal;
    }

    auto updateBacklog() -> void
    {
        Execution::HostOutlook outlook;
        outlook.arriving = m_moves.arrivingHosts();
        m_submissions.update(
            m_ledger.backlog(m_state, now(), wallMs()), outlook, m_state.jobs, now());
    }

    auto finishMoves() -> void
    {
        for (auto moving = m_moving.begin(); moving != m_moving.end();) {
            if (moving->arrivesMs > m_nowMs) {
                ++moving;
                continue;
            }
            m_pools[moving->host] = moving->pool;
            createEndpoint(moving->host);
            moving = m_moving.erase(moving);
        }
    }

    auto isFar(const Execution::StartOrder &order) const -> bool
    {
        const auto &job = m_jobs[m_indexOf.at(order.task.job)].spec;
        const auto &dataRack = job.steps[std::size_t(order.task.step)].dataRack;
        const auto &endpoint = m_endpoints.at(order.target.incarnation.id);
        return !dataRack.empty() && dataRack != endpoint.record.rack;
    }

    auto durationOf(const Execution::StartOrder &order) const -> std::int64_t
    {
        const auto &job = m_jobs[m_indexOf.at(order.task.job)];
        const auto near = job.taskMs[std::size_t(order.task.step)];
        const auto full = isFar(order) ? std::int64_t(double(near) * m_scenario.farFactor) : near;
        if (order.checkpoint.empty())
            return full;
        return std::max<std::int64_t>(1, full - std::stoll(order.checkpoint)) + restoreMs;
    }

    auto deliverOrders() -> void
    {
        std::vector<PendingStart> starts;
        starts.swap(m_starts);
        for (auto &start : starts) {
            if (start.arrivesMs > m_nowMs) {
                m_starts.push_back(std::move(start));
                continue;
            }
            Execution::StartReply reply;
            reply.result = Execution::StartResult::OtherIncarnation;
            const auto found = m_endpoints.find(start.order.target.incarnation.id);
            if (found != m_endpoints.end()) {
                reply.result = Execution::StartResult::Started;
                found->second.runs[start.order.task] = {
                    start.order.run, m_nowMs, durationOf(start.order), 0};
                recordFirstStart(start.order.task.job);
                m_result.farStarts += isFar(start.order) ? 1 : 0;
            }
            m_ledger.startAnswered(start.order, reply, now());
        }
        for (const auto &stop : m_stops) {
            const auto found = m_endpoints.find(stop.order.target.incarnation.id);
            if (found == m_endpoints.end())
                continue;
            const auto run = found->second.runs.find(stop.order.task);
            if (run != found->second.runs.end() && run->second.stoppedAtMs == 0)
                run->second.stoppedAtMs = m_nowMs + stopMs;
            m_ledger.stopAnswered(stop.order, Execution::OrderResult::Accepted, now());
        }
        m_stops.clear();
    }

    auto recordFirstStart(const std::string &job) -> void { m_startedMs.try_emplace(job, m_nowMs); }

    // Ends the runs that are done or have been stopped.
    auto advance(SimulatedEndpoint &endpoint) -> void
    {
        for (auto item = endpoint.runs.begin(); item != endpoint.runs.end();) {
            const auto &[task, run] = *item;
            const auto &spec = m_jobs[m_indexOf.at(task.job)].spec.steps[std::size_t(task.step)];
            const auto worked = m_nowMs - run.startMs;
            const auto stopped = run.stoppedAtMs > 0 && run.stoppedAtMs <= m_nowMs;
            const auto done = !spec.longRunning && worked >= run.durationMs;
            if (!stopped && !done) {
                ++item;
                continue;
            }
            const auto saved = spec.checkpoints ? std::to_string(worked) : std::string();
            endpoint.ended.push_back({++endpoint.ends,
                                      task,
                                      run.number,
                                      done ? Execution::EndKind::Done : Execution::EndKind::Stopped,
                                      done ? std::string() : saved});
            item = endpoint.runs.erase(item);
        }
    }

    auto advancePolls() -> void
    {
        for (auto &[id, endpoint] : m_endpoints) {
            if (!endpoint.poll) {
                sendPoll(endpoint);
                continue;
            }
            const auto waitedMs = m_nowMs - endpoint.pollSentMs;
            const auto due = waitedMs >= endpoint.poll->waitMs || !endpoint.ended.empty();
            if (due && waitedMs >= roundTripMs)
                answerPoll(endpoint);
        }
    }

    auto sendPoll(SimulatedEndpoint &endpoint) -> void
    {
        endpoint.poll = m_ledger.pollOrder(endpoint.record.incarnation.id, now(), now());
        endpoint.pollSentMs = m_nowMs;
        const auto recordedEnds = endpoint.poll ? endpoint.poll->recordedEnds : 0;
        std::erase_if(endpoint.ended,
                      [recordedEnds](const auto &end) { return end.number <= recordedEnds; });
    }

    auto answerPoll(SimulatedEndpoint &endpoint) -> void
    {
        Execution::PollReply reply;
        reply.result = Execution::PollResult::Seen;
        reply.bornMs = endpoint.record.incarnation.bornMs;
        reply.clockMs = m_nowMs;
        reply.ended = endpoint.ended;
        for (const auto &[task, run] : endpoint.runs)
            reply.running.push_back({task, run.number, {}, fullPercent, 0});
        const auto order = *std::exchange(endpoint.poll, std::nullopt);
        const auto began = Clock::now();
        const auto effects = m_ledger.pollAnswered(
            order,
            reply,
            Utils::Instant(Utils::Milliseconds(1'000'000 + endpoint.pollSentMs)),
            now());
        if (effects.lastEnd > 0) {
            Control::Command command;
            command.recordEnds = effects.record;
            m_state.apply(command, wallMs());
            m_ledger.endsRecorded(effects.record, effects.lastEnd);
            for (const auto &end : effects.record.ends)
                recordJobEnd(end.task.job);
        }
        m_result.pollTime += Clock::now() - began;
        ++m_result.polls;
    }

    auto recordJobEnd(const std::string &id) -> void
    {
        if (m_state.jobs.find(id)->state == Jobs::JobState::Done)
            m_doneMs.try_emplace(id, m_nowMs);
    }

    auto schedule() -> void
    {
        const auto began = Clock::now();
        m_ledger.expireLeases(now());
        auto orders = m_ledger.schedule(m_state, now(), wallMs());
        m_result.passTime += Clock::now() - began;
        ++m_result.passes;
        m_result.starts += std::int64_t(orders.starts.size());
        m_result.stops += std::int64_t(orders.stops.size());
        for (auto &order : orders.starts)
            m_starts.push_back({m_nowMs + startDelayMs, std::move(order)});
        for (auto &order : orders.stops)
            m_stops.push_back({m_nowMs + roundTripMs, std::move(order)});
    }

    auto listHosts() const -> Execution::HostList
    {
        Execution::HostList list;
        list.complete = true;
        std::set<std::string> unavailable;
        for (const auto &moving : m_moving) {
            list.hosts.push_back({moving.host, moving.pool, Execution::HostState::Moving, {}});
            unavailable.insert(moving.host);
        }
        for (const auto &[host, pool] : m_pools) {
            if (!unavailable.contains(host))
                list.hosts.push_back({host, pool, Execution::HostState::Up, m_endpointOf.at(host)});
        }
        return list;
    }

    auto moveHosts() -> void
    {
        m_ledger.updateDemand(wallMs());
        m_moves.observe(m_ledger, now());
        const auto hosts = listHosts();
        for (const auto &host : hosts.hosts)
            m_result.hostSeconds += host.pool != sparePool ? double(hostsIntervalMs) / 1000.0 : 0.0;
        for (const auto &id : m_moves.takeUnmoved(hosts, now()))
            m_ledger.setClosed(id, false);
        const auto moves = m_moves.next(
            m_state.configuration, m_ledger, hosts, std::int64_t(hosts.hosts.size()), now());
        Execution::closeAndOpen(moves, m_ledger);
        for (const auto &move : moves.steps) {
            ++m_result.moves;
            m_moves.ordered(move, Execution::HostOrderResult::Accepted, now());
            m_ledger.endIncarnation(move.incarnation);
            Control::Command command;
            command.removeEndpoint = move.incarnation;
            m_state.apply(command, wallMs());
            m_endpoints.erase(move.incarnation.id);
            m_moving.push_back({m_nowMs + hostMoveMs, move.host, move.to});
        }
    }

    auto totalTaskMs(const PlannedJob &job) const -> std::int64_t
    {
        std::int64_t total = 0;
        for (const auto duration : job.taskMs)
            total += duration;
        return total;
    }

    auto report() -> Result
    {
        for (const auto &demand : m_scenario.queues) {
            if (demand.lastingTasks > 0)
                continue;
            QueueResult result;
            result.queue = demand.name;
            double waitedMs = 0;
            for (std::size_t index = 0; index < m_nextJob; ++index)
                count(demand, m_jobs[index], result, waitedMs);
            if (const auto ended = result.onTime + result.late + result.missed; ended > 0)
                result.meanResponseMs /= double(ended);
            if (result.jobs > 0)
                result.meanWaitMs = waitedMs / double(result.jobs);
            if (result.work > 0)
                result.credit /= result.work;
            m_result.queues.push_back(std::move(result));
        }
        return m_result;
    }

    auto count(const QueueDemand &demand,
               const PlannedJob &job,
               QueueResult &result,
               double &waitedMs) const -> void
    {
        if (job.spec.queue != demand.name)
            return;
        double work = 0;
        for (std::size_t step = 0; step < job.taskMs.size(); ++step)
            work += double(job.spec.steps[step].count) * double(job.taskMs[step])
                    * double(job.spec.steps[step].demand.cpuMillicores) / 1e6;
        ++result.jobs;
        result.refused += m_refused.contains(job.spec.id) ? 1 : 0;
        result.work += work;
        const auto submittedMs = job.spec.submittedMs - startWallMs;
        const auto started = m_startedMs.find(job.spec.id);
        waitedMs +=
            double((started != m_startedMs.end() ? started->second : m_nowMs) - submittedMs);
        const auto done = m_doneMs.find(job.spec.id);
        if (done == m_doneMs.end())
            return;
        const auto objective =
            std::int64_t(demand.stretch * double(totalTaskMs(job))) + demand.objectiveMs;
        const auto took = done->second - submittedMs;
        result.meanResponseMs += double(took);
        if (took <= objective) {
            ++result.onTime;
            result.credit += work;
        } else if (took <= objective * lateObjectiveFactor) {
            ++result.late;
            result.credit += work * lateCredit;
        } else {
            ++result.missed;
        }
    }

    const Scenario &m_scenario;
    std::vector<PlannedJob> m_jobs;
    Control::State m_state;
    Execution::SubmissionGate m_submissions{accountRateWindow};
    std::set<std::string> m_refused; // Ids of jobs.
    Execution::RunLedger m_ledger;
    Execution::HostMovePlan m_moves;
    std::map<std::string, SimulatedEndpoint> m_endpoints; // Keyed by endpoint id.
    std::map<std::string, std::string> m_pools;           // Pool of each host.
    std::map<std::string, std::string> m_racks;           // Rack of each host.
    std::map<std::string, std::string> m_endpointOf;      // Endpoint id of each host.
    std::vector<MovingHost> m_moving;
    std::vector<PendingStart> m_starts;
    std::vector<PendingStop> m_stops;
    std::map<std::string, std::size_t> m_indexOf;    // Index in m_jobs by job id.
    std::map<std::string, std::int64_t> m_startedMs; // Time of the first start by job id.
    std::map<std::string, std::int64_t> m_doneMs;    // Time of completion by job id.
    std::size_t m_nextJob = 0;
    std::int64_t m_endpointCount = 0;
    std::int64_t m_nowMs = 0;
    Result m_result;
};

} // namespace

auto Result::credit() const -> double
{
    double earned = 0;
    double work = 0;
    for (const auto &queue : queues) {
        earned += queue.credit * queue.work;
        work += queue.work;
    }
    return work > 0 ? earned / work : 0;
}

auto play(const Scenario &scenario, std::uint64_t seed) -> Result
{
    return Fleet(scenario, planJobs(scenario, seed)).run();
}

} // namespace FleetModel
