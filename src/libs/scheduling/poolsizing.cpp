#include "poolsizing.h"

#include <algorithm>
#include <cmath>

namespace Scheduling {
namespace {

// Tasks do not fill hosts to the last processor.
constexpr double usablePart = 0.8;
// Kept even without work, so that the first task of a burst starts at once.
constexpr std::int64_t leastHosts = 2;

struct Balance
{
    const PoolLoad *pool;
    std::int64_t wanted;
    std::int64_t hosts;
    std::int64_t idle;
};

// Moves up to count hosts to the pool that lacks them, as long as the other can give them.
auto give(Balance &from, Balance &to, std::int64_t available, std::vector<Transfer> &transfers)
    -> void
{
    const auto count = std::min(available, to.wanted - to.hosts);
    if (count <= 0)
        return;
    transfers.push_back({from.pool->name, to.pool->name, count});
    from.hosts -= count;
    from.idle -= count;
    to.hosts += count;
}

} // namespace

auto wantedHosts(const PoolLoad &load) -> std::int64_t
{
    if (load.spare)
        return 0;
    const auto least = std::max(leastHosts, load.minimumHosts);
    if (load.hostMillicores <= 0)
        return least;
    const auto millicores = double(load.lastingMillicores) + load.batchMillicores;
    const auto hosts = std::ceil(millicores / (double(load.hostMillicores) * usablePart));
    return std::max(least, std::int64_t(hosts));
}

auto planTransfers(std::span<const PoolLoad> pools) -> std::vector<Transfer>
{
    std::vector<Balance> balances;
    for (const auto &pool : pools)
        balances.push_back({&pool, wantedHosts(pool), pool.hosts, pool.idleHosts});
    std::vector<Transfer> transfers;
    std::vector<Balance *> needy;
    for (auto &balance : balances) {
        if (!balance.pool->spare && balance.wanted > balance.hosts)
            needy.push_back(&balance);
    }
    std::ranges::sort(needy, std::greater<>(), [](const auto *b) { return b->wanted - b->hosts; });
    for (auto *to : needy) {
        for (auto &from : balances) {
            if (from.pool->spare)
                give(from, *to, from.idle, transfers);
        }
        for (auto &from : balances) {
            if (!from.pool->spare)
                give(from, *to, std::min(from.idle, from.hosts - from.wanted), transfers);
        }
    }
    const auto spare = std::ranges::find_if(balances, [](const auto &b) { return b.pool->spare; });
    if (spare == balances.end())
        return transfers;
    for (auto &from : balances) {
        if (from.pool->spare)
            continue;
        const auto count =
            std::min({from.pool->parkableHosts, from.idle, from.hosts - from.wanted});
        if (count > 0)
            transfers.push_back({from.pool->name, spare->pool->name, count});
    }
    return transfers;
}

} // namespace Scheduling
