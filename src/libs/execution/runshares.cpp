// Implements the part of RunLedger that gives accounts their shares of full pools.
#include "runledger.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <utility>

namespace Execution {
namespace {

// Returns the place of an account in a list that begins with callers without one.
auto placeOf(Accounts::AccountId account) -> std::size_t
{
    return std::size_t(account) + 1;
}

// Returns the largest part of a resource of the pool that \a use takes.
auto dominantShare(const Jobs::Resources &use, const Jobs::Resources &capacity) -> double
{
    const auto part = [](std::int64_t amount, std::int64_t whole) {
        return whole > 0 ? double(amount) / double(whole) : 0;
    };
    return std::max({part(use.cpuMillicores, capacity.cpuMillicores),
                     part(use.memoryMb, capacity.memoryMb),
                     part(use.gpus, capacity.gpus)});
}

} // namespace

// A pool counts as full if the work that waits there needs more than is free in all of its open endpoints.
auto RunLedger::noteWanted(PoolPlacement &pool, const ReadyWork &work) -> void
{
    for (std::size_t task = 0; task < work.tasks && !pool.isFull; ++task) {
        pool.isFull = !work.leastDemand.fitsInto(pool.unclaimed);
        pool.unclaimed -= work.leastDemand;
    }
}

// Counts what accounts run in a full pool, once in a pass.
auto RunLedger::countShares(PoolPlacement &pool) const -> void
{
    pool.useOfAccounts.resize(m_accounts.count() + 1);
    for (const auto *endpoint : pool.endpoints) {
        pool.capacity += endpoint->record.capacity;
        auto others = endpoint->runs.occupied();
        for (const auto &part : endpoint->runs.byAccount()) {
            pool.useOfAccounts[placeOf(part.account)] += part.use;
            others -= part.use;
        }
        pool.useOfAccounts[placeOf(Accounts::noAccount)] += mostOf(others, {});
    }
}

auto RunLedger::shareOf(Accounts::AccountId account, const PoolPlacement &pool) const -> double
{
    if (!pool.isFull)
        return 0;
    return dominantShare(pool.useOfAccounts[placeOf(account)], pool.capacity)
           / m_accounts.weightOf(account);
}

auto RunLedger::startInOrder(std::span<const Candidate> candidates,
                             std::int64_t wallMs,
                             Orders &orders) -> void
{
    for (const auto &candidate : candidates)
        startJob(*candidate.job, *candidate.pool, wallMs, orders);
}

// Starts short tasks: jobs of the same class of rank in a full pool by the shares of their accounts.
auto RunLedger::startByShares(std::span<const Candidate> candidates,
                              std::int64_t wallMs,
                              Orders &orders) -> void
{
    const auto isOfFullPool = [](const Candidate &candidate) { return candidate.pool->isFull; };
    if (!m_accounts.hasAccounts() || std::ranges::none_of(candidates, isOfFullPool)) {
        startInOrder(candidates, wallMs, orders);
        return;
    }
    for (const auto &candidate : candidates) {
        if (candidate.pool->isFull && candidate.pool->capacity == Jobs::Resources())
            countShares(*candidate.pool);
    }
    while (!candidates.empty()) {
        const auto isOther = [&](const Candidate &candidate) {
            return !candidate.rank.isOfClass(candidates.front().rank);
        };
        const auto end = std::ranges::find_if(candidates, isOther);
        const auto size = std::size_t(end - candidates.begin());
        if (candidates.front().rank.beyondRate || m_timing.sharesOwedWork)
            startClass(candidates.first(size), wallMs, orders);
        else
            startInOrder(candidates.first(size), wallMs, orders);
        candidates = candidates.subspan(size);
    }
}

// Weighted max-min by progressive filling: the next job is that of the account with the smallest weighted share.
auto RunLedger::startClass(std::span<const Candidate> candidates,
                           std::int64_t wallMs,
                           Orders &orders) -> void
{
    using Turn = std::pair<double, std::size_t>; // Share, and candidate.
    const auto accounts = m_accounts.count() + 1;
    // The first job of each account in each pool, and the next one after each job.
    std::vector<std::size_t> first;
    std::vector<std::size_t> next(candidates.size(), candidates.size());
    for (auto index = candidates.size(); index-- > 0;) {
        const auto &candidate = candidates[index];
        const auto queue = candidate.pool->number * accounts + placeOf(candidate.job->account());
        if (first.size() <= queue)
            first.resize(queue + 1, candidates.size());
        next[index] = std::exchange(first[queue], index);
    }
    std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
    const auto enqueue = [&](std::size_t index) {
        if (index < candidates.size())
            turns.emplace(shareOf(candidates[index].job->account(), *candidates[index].pool),
                          index);
    };
    std::ranges::for_each(first, enqueue);
    while (!turns.empty()) {
        auto index = turns.top().second;
        turns.pop();
        auto &pool = *candidates[index].pool;
        const auto account = placeOf(candidates[index].job->account());
        const auto before = orders.starts.size();
        // An account whose job started nothing has the same share, so it is its turn again.
        for (; index < candidates.size() && orders.starts.size() == before; index = next[index])
            startJob(*candidates[index].job, pool, wallMs, orders);
        for (auto start = before; pool.isFull && start < orders.starts.size(); ++start)
            pool.useOfAccounts[account] += specOf(orders.starts[start].task)->demand;
        enqueue(index);
    }
}

} // namespace Execution
