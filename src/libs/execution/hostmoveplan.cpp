#include "hostmoveplan.h"

#include <algorithm>
#include <cmath>

namespace Execution {
namespace {

// Time constant of the smoothing; long enough that a single large job does not look like a trend.
constexpr double trendSmoothingMs = 700;
// Typical time from the decision on a move until the host serves its new pool.
constexpr double lookAheadMs = 1800;
// Longest time for which a new leader holds back moves because endpoints do not reply to polls.
constexpr Utils::Milliseconds maximumFirstPollWait{2000};
// Moves start once at most 1/10 of the hosts that are up have an endpoint that has not yet replied
// to a poll.
constexpr std::size_t unknownDivisor = 10;
// After this idle time, a host has cost as much as two moves, so the host may move to the spare
// pool, whose hosts are turned off.
constexpr Utils::Milliseconds parkAfter{1200};
// Maximum time from a move order until the moved host announces its endpoint.
constexpr Utils::Milliseconds maximumMoveTime{4000};
// Pause before an order that got no reply is repeated.
constexpr Utils::Milliseconds moveRetry{1500};

// Returns true if nothing is known to run on the incarnation, or if there is none.
auto isEmpty(const RunLedger &ledger, const Control::EndpointIncarnation &incarnation) -> bool
{
    if (incarnation.id.empty())
        return true;
    const auto found = ledger.endpoints().find(incarnation.id);
    return found != ledger.endpoints().end() && found->second.record.incarnation == incarnation
           && found->second.possibleRuns() == 0;
}

} // namespace

auto HostMovePlan::inherit(const MoveStep &step,
                           Utils::Instant orderedAt,
                           Utils::Instant mayMoveUntil) -> void
{
    m_moving[step.host] = {step, orderedAt, mayMoveUntil, false};
}

auto HostMovePlan::observe(const RunLedger &ledger, Utils::Instant now) -> void
{
    const auto elapsed = double((now - m_observedAt).count());
    const auto first = m_observedAt == Utils::Instant();
    m_observedAt = now;
    if (first)
        m_firstObserved = now;
    const auto weight = 1 - std::exp(-elapsed / trendSmoothingMs);
    for (const auto &[pool, demand] : ledger.demand()) {
        auto &trend = m_trends[pool];
        const auto change =
            demand.batchMillicores - std::exchange(trend.millicores, demand.batchMillicores);
        if (!first && elapsed > 0)
            trend.millicoresPerMs += weight * (change / elapsed - trend.millicoresPerMs);
    }
    updateIdleSince(ledger, now);
}

auto HostMovePlan::updateIdleSince(const RunLedger &ledger, Utils::Instant now) -> void
{
    // Both are sorted by id.
    auto known = m_idleSince.begin();
    for (const auto &[id, endpoint] : ledger.endpoints()) {
        while (known != m_idleSince.end() && known->first < id)
            known = m_idleSince.erase(known);
        const auto wasIdle = known != m_idleSince.end() && known->first == id;
        const auto idle = endpoint.polled && endpoint.runs.empty();
        if (wasIdle)
            known = idle ? std::next(known) : m_idleSince.erase(known);
        else if (idle)
            m_idleSince.emplace_hint(known, id, now);
    }
    m_idleSince.erase(known, m_idleSince.end());
}

auto HostMovePlan::isIdle(const RunLedger &ledger,
                          const HostOccupancy &occupancy,
                          const HostInfo &host) const -> bool
{
    if (host.state != HostState::Up || m_moving.contains(host.name) || m_refused.contains(host.name)
        || !occupancy.isEmpty(host))
        return false;
    if (host.endpoint.empty())
        return true;
    const auto endpoint = ledger.endpoints().find(host.endpoint);
    return endpoint != ledger.endpoints().end() && m_idleSince.contains(host.endpoint)
           && endpoint->second.answers && !endpoint->second.draining && !endpoint->second.leaving
           && !ledger.isKeptFree(host.endpoint) && !ledger.isToBeOpened(host.endpoint)
           && (!endpoint->second.isClosed() || m_releasing.contains(host.endpoint));
}

// Returns the load of the pool without its hosts.
auto HostMovePlan::demandOf(const Control::Pool &pool, const RunLedger &ledger) const
    -> Scheduling::PoolLoad
{
    Scheduling::PoolLoad load;
    load.name = pool.name;
    load.spare = pool.spare;
    if (const auto demand = ledger.demand().find(pool.name); demand != ledger.demand().end()) {
        load.longRunningMillicores = demand->second.longRunningMillicores;
        load.longRunningMemoryMb = demand->second.longRunningMemoryMb;
        load.hostsForUnplaced = demand->second.unplaced.hosts;
        load.openHosts = demand->second.unplaced.openEndpoints;
        load.batchMillicores = demand->second.batchMillicores;
        load.minimumHosts = demand->second.minimumHosts;
    }
    // Demand in a burst keeps rising while a host is being moved.
    if (const auto trend = m_trends.find(pool.name); trend != m_trends.end())
        load.batchMillicores += std::max(0.0, trend->second.millicoresPerMs) * lookAheadMs;
    return load;
}

// Adds a host to the load of the pool that it is in or moves to.
auto HostMovePlan::addHost(const HostInfo &host,
                           const RunLedger &ledger,
                           const HostOccupancy &occupancy,
                           Utils::Instant now,
                           std::span<Scheduling::PoolLoad> loads) const -> void
{
    const auto moving = m_moving.find(host.name);
    const auto &pool = moving != m_moving.end() ? moving->second.step.to : host.pool;
    const auto load = std::ranges::find(loads, pool, &Scheduling::PoolLoad::name);
    if (load == loads.end())
        return;
    if (moving != m_moving.end()) {
        ++load->hosts;
        ++load->heldHosts;
        return;
    }
    if (host.state == HostState::Down)
        return;
    const auto endpoint = ledger.endpoints().find(host.endpoint);
    const auto known = endpoint != ledger.endpoints().end();
    const auto closed = known && endpoint->second.isClosed();
    // A host that is being released stays in its pool until it moves. Otherwise the pool would seem to
    // have no host left to release, and the endpoint would be opened again.
    const auto leaves = known
                        && (endpoint->second.draining || endpoint->second.leaving
                            || (closed && !m_releasing.contains(host.endpoint)));
    load->hosts += leaves ? 0 : 1;
    load->silentHosts += known && !leaves && !endpoint->second.answers ? 1 : 0;
    const auto fixed =
        known && (endpoint->second.holdsLongRunning() || ledger.isKeptFree(host.endpoint));
    load->fixedHosts += fixed && !leaves && !closed ? 1 : 0;
    const auto silent = known ? !endpoint->second.answers : !host.endpoint.empty();
    const auto held = host.state != HostState::Up || silent;
    load->heldHosts += held && !leaves && !(fixed && !closed) ? 1 : 0;
    load->releasingHosts += closed && !leaves && !held ? 1 : 0;
    if (!isIdle(ledger, occupancy, host))
        return;
    ++load->idleHosts;
    const auto since = m_idleSince.find(host.endpoint);
    load->parkableHosts += since != m_idleSince.end() && now - since->second > parkAfter ? 1 : 0;
}

auto HostMovePlan::loads(const Control::Configuration &configuration,
                         const RunLedger &ledger,
                         const HostList &hosts,
                         Utils::Instant now) const -> std::vector<Scheduling::PoolLoad>
{
    return loads(configuration, ledger, HostOccupancy(ledger, hosts), hosts, now);
}

auto HostMovePlan::loads(const Control::Configuration &configuration,
                         const RunLedger &ledger,
                         const HostOccupancy &occupancy,
                         const HostList &hosts,
                         Utils::Instant now) const -> std::vector<Scheduling::PoolLoad>
{
    const auto largest = largestCapacity(ledger.endpoints());
    std::vector<Scheduling::PoolLoad> loads;
    for (const auto &pool : configuration.pools) {
        loads.push_back(demandOf(pool, ledger));
        loads.back().hostMillicores = largest.cpuMillicores;
        loads.back().hostMemoryMb = largest.memoryMb;
    }
    for (const auto &host : hosts.hosts)
        addHost(host, ledger, occupancy, now, loads);
    return loads;
}

// Returns false until most endpoints have replied or maximumFirstPollWait has passed, since busy
// hosts would look idle before.
auto HostMovePlan::mayMove(const RunLedger &ledger, const HostList &hosts, Utils::Instant now) const
    -> bool
{
    if (now - m_firstObserved >= maximumFirstPollWait)
        return true;
    std::size_t up = 0;
    std::size_t polled = 0;
    for (const auto &host : hosts.hosts) {
        if (host.state != HostState::Up || host.endpoint.empty())
            continue;
        ++up;
        const auto endpoint = ledger.endpoints().find(host.endpoint);
        polled += endpoint != ledger.endpoints().end() && endpoint->second.polled ? 1 : 0;
    }
    return up > 0 && (up - polled) * unknownDivisor <= up;
}

auto HostMovePlan::next(const Control::Configuration &configuration,
                        RunLedger &ledger,
                        const HostList &hosts,
                        std::int64_t maximumMoves,
                        Utils::Instant now) -> HostMoves
{
    HostMoves moves;
    if (!hosts.complete || !mayMove(ledger, hosts, now))
        return moves;
    moves.steps = repeatUnanswered(ledger, hosts, maximumMoves, now);
    const HostOccupancy occupancy(ledger, hosts);
    auto plan = Scheduling::planTransfers(loads(configuration, ledger, occupancy, hosts, now));
    for (auto transfer : plan.transfers) {
        const auto available = maximumMoves - std::int64_t(moves.steps.size());
        // Hosts whose move has to wait for an order stay released.
        if (transfer.count > available)
            plan.releases.push_back({transfer.from, transfer.count - available});
        transfer.count = std::min(transfer.count, available);
        for (auto &step : chooseHosts(transfer, ledger, occupancy, hosts, now))
            moves.steps.push_back(std::move(step));
    }
    releaseHosts(plan.releases, configuration, ledger, now, moves);
    return moves;
}

// Repeats orders that got no reply: the provider accepts what it has done, and then the first copy changes
// nothing any more.
auto HostMovePlan::repeatUnanswered(const RunLedger &ledger,
                                    const HostList &hosts,
                                    std::int64_t maximumMoves,
                                    Utils::Instant now) -> std::vector<MoveStep>
{
    std::vector<MoveStep> steps;
    for (auto &[name, moving] : m_moving) {
        if (std::int64_t(steps.size()) >= maximumMoves)
            break;
        if (!moving.uncertainUntil || moving.inFlight || now - moving.at < moveRetry)
            continue;
        const auto &step = moving.step;
        const auto host = std::ranges::find(hosts.hosts, name, &HostInfo::name);
        if (host == hosts.hosts.end() || host->state != HostState::Up || host->pool != step.from
            || host->endpoint != step.incarnation.id || !isEmpty(ledger, step.incarnation))
            continue;
        moving.at = now;
        moving.inFlight = true;
        steps.push_back(step);
    }
    return steps;
}

auto HostMovePlan::chooseHosts(const Scheduling::Transfer &transfer,
                               const RunLedger &ledger,
                               const HostOccupancy &occupancy,
                               const HostList &hosts,
                               Utils::Instant now) -> std::vector<MoveStep>
{
    std::vector<const HostInfo *> idle;
    for (const auto &host : hosts.hosts) {
        if (host.pool == transfer.from && isIdle(ledger, occupancy, host))
            idle.push_back(&host);
    }
    // Hosts without an endpoint come first, followed by those that have been idle for longest.
    std::ranges::stable_sort(idle, {}, [&](const HostInfo *host) {
        const auto since = m_idleSince.find(host->endpoint);
        return since != m_idleSince.end() ? since->second : Utils::Instant();
    });
    std::vector<MoveStep> steps;
    for (const auto *host : idle) {
        if (std::int64_t(steps.size()) >= transfer.count)
            break;
        MoveStep step{host->name, transfer.from, transfer.to, {}};
        if (const auto endpoint = ledger.endpoints().find(host->endpoint);
            endpoint != ledger.endpoints().end())
            step.incarnation = endpoint->second.record.incarnation;
        m_moving[host->name] = {step, now, {}, true};
        m_releasing.erase(host->endpoint);
        steps.push_back(std::move(step));
    }
    return steps;
}

auto HostMovePlan::ordered(const MoveStep &step, HostOrderResult result, Utils::Instant now) -> bool
{
    auto &moving = m_moving[step.host];
    moving.step = step;
    moving.at = now;
    moving.inFlight = false;
    if (result == HostOrderResult::Accepted)
        moving.uncertainUntil.reset();
    else if (result == HostOrderResult::Unknown)
        moving.uncertainUntil = now + longestLateOrder;
    const auto mayBeCarriedOut = moving.uncertainUntil && now < *moving.uncertainUntil;
    if (result == HostOrderResult::Accepted || mayBeCarriedOut)
        return false;
    m_moving.erase(step.host);
    m_refused[step.host] = now;
    return !step.incarnation.id.empty();
}

auto HostMovePlan::takeUnmoved(const HostList &hosts, Utils::Instant listedAt)
    -> std::vector<std::string>
{
    std::erase_if(m_refused, [listedAt](const auto &item) { return item.second < listedAt; });
    std::vector<std::string> unmoved;
    for (auto moving = m_moving.begin(); moving != m_moving.end();) {
        const auto &[name, order] = *moving;
        const auto host = std::ranges::find(hosts.hosts, name, &HostInfo::name);
        const auto listed = host != hosts.hosts.end() && listedAt > order.at;
        const auto arrived = listed && host->state == HostState::Up && host->pool == order.step.to
                             && host->endpoint != order.step.incarnation.id;
        const auto mayBeCarriedOut = order.uncertainUntil && listedAt < *order.uncertainUntil;
        const auto overdue = listedAt - order.at > maximumMoveTime && !mayBeCarriedOut;
        const auto hasEndpoint = !order.step.incarnation.id.empty();
        if (overdue && listed && host->pool == order.step.from && hasEndpoint)
            unmoved.push_back(order.step.incarnation.id);
        // A list may leave a host out. Its endpoint stays closed until a list tells where the host is.
        const auto over = arrived || (overdue && (listed || !hasEndpoint));
        moving = over ? m_moving.erase(moving) : std::next(moving);
    }
    return unmoved;
}

auto HostMovePlan::movingHosts() const -> std::set<std::string>
{
    std::set<std::string> hosts;
    for (const auto &[host, moving] : m_moving)
        hosts.insert(host);
    return hosts;
}

auto HostMovePlan::arrivingHosts() const -> std::map<std::string, std::int64_t>
{
    std::map<std::string, std::int64_t> hosts;
    for (const auto &[host, moving] : m_moving)
        ++hosts[moving.step.to];
    return hosts;
}

} // namespace Execution
