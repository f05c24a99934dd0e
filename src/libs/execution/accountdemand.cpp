#include "accountdemand.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace Execution {
namespace {

/*! \brief The shares of an account's demand that its quota lets run. */
struct Shares
{
    double longRunning = 1;
    double batch = 1;
};

auto amountsOf(const Jobs::Resources &resources) -> std::array<double, 3>
{
    return {double(resources.cpuMillicores), double(resources.memoryMb), double(resources.gpus)};
}

// Returns the largest share of \a demand that fits into \a room.
auto shareThatFits(double demand, double room) -> double
{
    return demand > room ? std::max(0.0, room) / demand : 1;
}

// Long-running tasks come first, as they do in a pass.
auto sharesOf(const JobDemand &demand, const Jobs::Resources &quota, const Jobs::Resources &use)
    -> Shares
{
    const auto limits = amountsOf(quota);
    const auto allowed = amountsOf(mostOf(quota, use));
    const auto longRunning = amountsOf(demand.longRunning);
    Shares shares;
    for (std::size_t index = 0; index < limits.size(); ++index) {
        if (limits[index] > 0)
            shares.longRunning =
                std::min(shares.longRunning, shareThatFits(longRunning[index], allowed[index]));
    }
    for (std::size_t index = 0; index < limits.size(); ++index) {
        const auto left = allowed[index] - shares.longRunning * longRunning[index];
        if (limits[index] > 0)
            shares.batch = std::min(shares.batch, shareThatFits(demand.batch[index], left));
    }
    return shares;
}

auto bounded(PoolDemand demand, const Shares &shares) -> PoolDemand
{
    const auto part = [&shares](std::int64_t amount) {
        return std::int64_t(std::ceil(shares.longRunning * double(amount)));
    };
    demand.batchMillicores *= shares.batch;
    demand.longRunningMillicores = part(demand.longRunningMillicores);
    demand.longRunningMemoryMb = part(demand.longRunningMemoryMb);
    demand.minimumHosts = part(demand.minimumHosts);
    return demand;
}

} // namespace

auto JobDemand::operator+=(const JobDemand &other) -> JobDemand &
{
    addTo(pool, other.pool);
    longRunning += other.longRunning;
    for (std::size_t index = 0; index < batch.size(); ++index)
        batch[index] += other.batch[index];
    return *this;
}

auto addTo(PoolDemand &pool, const PoolDemand &demand) -> void
{
    pool.batchMillicores += demand.batchMillicores;
    pool.longRunningMillicores += demand.longRunningMillicores;
    pool.longRunningMemoryMb += demand.longRunningMemoryMb;
    pool.minimumHosts = std::max(pool.minimumHosts, demand.minimumHosts);
}

auto AccountDemands::add(Accounts::AccountId account,
                         const std::string &pool,
                         const JobDemand &demand) -> void
{
    m_demands[account][pool] += demand;
}

auto AccountDemands::addBounded(const Accounts::AccountUse &accounts,
                                std::map<std::string, PoolDemand> &pools) const -> void
{
    for (const auto &[account, demands] : m_demands) {
        JobDemand total;
        for (const auto &[pool, demand] : demands)
            total += demand;
        const auto shares = sharesOf(total, accounts.quotaOf(account), accounts.useOf(account));
        for (const auto &[pool, demand] : demands)
            addTo(pools[pool], bounded(demand.pool, shares));
    }
}

} // namespace Execution
