#include "poolsizing.h"

#include <algorithm>
#include <cmath>

namespace Scheduling {
namespace {

// Share of a host's capacity that tasks can use, since tasks do not fill hosts completely.
constexpr double usableShare = 0.8;
// Minimum number of hosts of a pool even without work, so that the first task of a burst starts at
// once.
constexpr std::int64_t minimumPoolHosts = 2;

// Returns how many hosts with this capacity provide the amount of a resource.
auto hostsFor(double amount, std::int64_t capacity) -> std::int64_t
{
    if (capacity <= 0)
        return 0;
    return std::int64_t(std::ceil(amount / (double(capacity) * usableShare)));
}

// Returns how many hosts the long-running tasks of the pool require. Silent hosts count as hosts of the pool,
// and have no room.
auto hostsForLongRunning(const PoolLoad &load) -> std::int64_t
{
    const auto unplaced = std::int64_t(std::ceil(load.hostsForUnplaced));
    return std::max({load.minimumHosts,
                     hostsFor(double(load.longRunningMillicores), load.hostMillicores),
                     hostsFor(double(load.longRunningMemoryMb), load.hostMemoryMb),
                     unplaced > 0 ? load.openHosts + load.silentHosts + unplaced : 0});
}

struct Balance
{
    const PoolLoad *pool;
    std::int64_t wanted;
    std::int64_t hosts;
    std::int64_t idle;
    std::int64_t releasing;
};

// Adds a transfer of at most the available hosts and of no more than the target pool lacks.
auto addTransfer(Balance &from,
                 Balance &to,
                 std::int64_t available,
                 std::vector<Transfer> &transfers) -> void
{
    const auto count = std::min(available, to.wanted - to.hosts);
    if (count <= 0)
        return;
    transfers.push_back({from.pool->name, to.pool->name, count});
    from.hosts -= count;
    from.idle -= count;
    from.releasing -= std::min(from.releasing, count);
    to.hosts += count;
}

auto leastOf(const Balance &balance) -> std::int64_t
{
    return std::min(balance.wanted, std::max(balance.pool->fixedHosts, leastHosts(*balance.pool)));
}

// Returns how many hosts of the pool can be released, whatever it needs them for.
auto releasableOf(const Balance &balance) -> std::int64_t
{
    return balance.hosts - balance.pool->fixedHosts - balance.pool->heldHosts;
}

// Limits the wanted hosts of the pools to the number of hosts: each pool gets its minimum, and the
// same fraction of its remaining demand.
auto distributeHosts(std::vector<Balance> &balances) -> void
{
    std::int64_t available = 0;
    std::int64_t wanted = 0;
    std::int64_t least = 0;
    for (const auto &balance : balances) {
        available += balance.hosts;
        wanted += balance.wanted;
        least += leastOf(balance);
    }
    if (wanted <= available || wanted <= least)
        return;
    const auto part = double(std::max<std::int64_t>(0, available - least)) / double(wanted - least);
    for (auto &balance : balances) {
        const auto more = double(balance.wanted - leastOf(balance)) * part;
        balance.wanted = leastOf(balance) + std::int64_t(more);
    }
}

// Returns the pools that lack hosts: those that lack the most for long-running tasks first, and then
// those that lack the most.
auto poolsLackingHosts(std::vector<Balance> &balances) -> std::vector<Balance *>
{
    std::vector<Balance *> lacking;
    for (auto &balance : balances) {
        if (!balance.pool->spare && balance.wanted > balance.hosts)
            lacking.push_back(&balance);
    }
    std::ranges::sort(lacking, std::greater<>(), [](const auto *b) {
        return std::pair(std::max<std::int64_t>(0, leastOf(*b) - b->hosts), b->wanted - b->hosts);
    });
    return lacking;
}

// Returns how many more hosts the long-running tasks of the pools need than they have or are released.
auto missingForLongRunning(std::span<const Balance> balances, std::span<const Release> releases)
    -> std::int64_t
{
    std::int64_t missing = 0;
    for (const auto &balance : balances) {
        const auto needed = balance.pool->spare ? 0 : hostsForLongRunning(*balance.pool);
        missing += std::max<std::int64_t>(0, needed - balance.hosts);
    }
    for (const auto &release : releases)
        missing -= release.count;
    return missing;
}

// Adds the hosts that long-running tasks still lack to a part of the releases, one by one from the pool that has the
// most hosts beyond those that it keeps.
auto releaseMissing(std::span<const Balance> balances,
                    std::int64_t (*keptBy)(const PoolLoad &),
                    std::int64_t Release::*part,
                    std::vector<Release> &releases) -> void
{
    std::vector<std::int64_t> surplus;
    for (const auto &balance : balances) {
        auto hosts = balance.pool->spare ? 0 : balance.hosts - keptBy(*balance.pool);
        for (const auto &release : releases)
            hosts -= release.pool == balance.pool->name ? release.count : 0;
        surplus.push_back(hosts);
    }
    for (auto missing = missingForLongRunning(balances, releases); missing > 0; --missing) {
        const auto most = std::ranges::max_element(surplus);
        if (most == surplus.end() || *most <= 0)
            return;
        --*most;
        const auto &pool = balances[std::size_t(most - surplus.begin())].pool->name;
        auto known = std::ranges::find(releases, pool, &Release::pool);
        if (known == releases.end())
            known = releases.insert(known, {pool});
        ++((*known).*part);
    }
}

// Returns the hosts that a pool keeps as long as no long-running task of it has to move.
auto keptForLongRunning(const PoolLoad &load) -> std::int64_t
{
    return std::max(leastHosts(load), load.fixedHosts + load.heldHosts);
}

// Releases hosts for \a missing ones, \a forLongRunning of which long-running tasks need. Pools that release hosts
// already go first, and go on for long-running tasks although their own short tasks want more hosts by now.
// Otherwise a release would pass from pool to pool as their demand changes, before any host is empty.
auto releaseHosts(std::span<const Balance> balances,
                  std::int64_t missing,
                  std::int64_t forLongRunning,
                  std::vector<Release> &releases) -> void
{
    std::vector<const Balance *> pools;
    for (const auto &balance : balances) {
        if (!balance.pool->spare)
            pools.push_back(&balance);
    }
    std::ranges::stable_sort(pools, std::greater<>(), &Balance::releasing);
    for (const auto *from : pools) {
        const auto kept = std::min({forLongRunning, from->releasing, from->hosts - leastOf(*from)});
        const auto surplus = std::min({missing, from->hosts - from->wanted, releasableOf(*from)});
        const auto count = std::max(kept, surplus);
        if (count <= 0)
            continue;
        releases.push_back({from->pool->name, count});
        missing -= count;
        forLongRunning -= std::min(forLongRunning, count);
    }
}

auto turnOff(std::vector<Balance> &balances, std::vector<Transfer> &transfers) -> void
{
    const auto spare = std::ranges::find_if(balances, [](const auto &b) { return b.pool->spare; });
    if (spare == balances.end())
        return;
    for (auto &from : balances) {
        if (from.pool->spare)
            continue;
        const auto count =
            std::min({from.pool->parkableHosts, from.idle, from.hosts - from.wanted});
        if (count > 0)
            transfers.push_back({from.pool->name, spare->pool->name, count});
    }
}

} // namespace

auto leastHosts(const PoolLoad &load) -> std::int64_t
{
    return load.spare ? 0 : std::max(minimumPoolHosts, hostsForLongRunning(load));
}

auto wantedHosts(const PoolLoad &load) -> std::int64_t
{
    if (load.spare)
        return 0;
    const auto millicores = double(load.longRunningMillicores) + load.batchMillicores;
    return std::max(leastHosts(load), hostsFor(millicores, load.hostMillicores));
}

auto planTransfers(std::span<const PoolLoad> pools) -> TransferPlan
{
    std::vector<Balance> balances;
    for (const auto &pool : pools)
        balances.push_back({&pool,
                            std::max(pool.fixedHosts, wantedHosts(pool)),
                            pool.hosts,
                            pool.idleHosts,
                            pool.releasingHosts});
    distributeHosts(balances);
    TransferPlan plan;
    std::int64_t missing = 0;
    std::int64_t forLongRunning = 0; // Part of it.
    for (auto *to : poolsLackingHosts(balances)) {
        for (auto &from : balances) {
            if (from.pool->spare)
                addTransfer(from, *to, from.idle, plan.transfers);
        }
        for (auto &from : balances) {
            if (!from.pool->spare)
                addTransfer(
                    from, *to, std::min(from.idle, from.hosts - from.wanted), plan.transfers);
        }
        missing += std::max<std::int64_t>(0, to->wanted - to->hosts);
        forLongRunning += std::max<std::int64_t>(0, leastOf(*to) - to->hosts);
    }
    releaseHosts(balances, missing, forLongRunning, plan.releases);
    // Hosts with short tasks alone go first, whatever share of the hosts their pools have.
    releaseMissing(balances, keptForLongRunning, &Release::count, plan.releases);
    releaseMissing(balances, leastHosts, &Release::evacuated, plan.releases);
    turnOff(balances, plan.transfers);
    return plan;
}

} // namespace Scheduling
