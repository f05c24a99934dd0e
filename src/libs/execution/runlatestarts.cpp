// Implements the part of RunLedger that keeps starts without a reply apart from what else runs their tasks.
#include "runledger.h"

#include <algorithm>
#include <utility>

namespace Execution {

// Notes that a copy of the start got no reply. Whatever became of the run, the next incarnation may carry
// that copy out.
auto RunLedger::noteLateStart(const StartOrder &order, Utils::Instant now) -> void
{
    const auto &incarnation = order.target.incarnation;
    LateStart late{order.task, order.run, incarnation.bornMs, now};
    if (const auto *run = findStarted(order)) {
        late.account = run->account;
        late.demand = run->demand;
    }
    addLateStart(incarnation.id, std::move(late));
}

auto RunLedger::addLateStart(const std::string &endpoint, LateStart late) -> void
{
    if (const auto *spec = specOf(late.task)) {
        late.account = m_jobs.at(late.task.job).account();
        late.demand = spec->demand;
    }
    m_lateStarts[endpoint].push_back(std::move(late));
}

// Returns the start of the run if a copy of it may be carried out late, or nullptr.
auto RunLedger::findLateStart(const std::string &endpoint,
                              const Jobs::TaskId &task,
                              std::int64_t run) const -> const LateStart *
{
    const auto found = m_lateStarts.find(endpoint);
    if (found == m_lateStarts.end())
        return nullptr;
    const auto start = std::ranges::find_if(
        found->second, [&](const LateStart &late) { return late.task == task && late.run == run; });
    return start != found->second.end() ? &*start : nullptr;
}

auto RunLedger::tasksOfLateStarts() const -> std::set<Jobs::TaskId>
{
    std::set<Jobs::TaskId> tasks;
    for (const auto &[id, starts] : m_lateStarts) {
        for (const auto &start : starts)
            tasks.insert(start.task);
    }
    return tasks;
}

auto RunLedger::lateStarts() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[id, starts] : m_lateStarts)
        count += starts.size();
    return count;
}

// Forgets starts on which nothing can run any more: what has been carried out is on the list of the endpoint, or its
// lease is over, which each order to the endpoint may lengthen.
auto RunLedger::forgetLateStarts(Utils::Instant now) -> void
{
    for (auto &[id, starts] : m_lateStarts) {
        const auto endpoint = m_endpoints.find(id);
        const auto listedAt =
            endpoint != m_endpoints.end() ? endpoint->second.listedAt : Utils::Instant();
        const auto last = std::ranges::max(starts, {}, &LateStart::unansweredAt).unansweredAt;
        const auto leaseOver = now - last > longestLateRun(m_timing);
        // A run that is being stopped need not be listed.
        const auto listable = longestLateOrder + m_timing.longestStop;
        std::erase_if(starts, [&](const LateStart &start) {
            return leaseOver || listedAt > start.unansweredAt + listable;
        });
    }
    std::erase_if(m_lateStarts, [](const auto &item) { return item.second.empty(); });
}

// Returns true if the task waits until no start of it can be late any more. A long-running task does not: it may not be
// without a run for so long.
auto RunLedger::isHeldByLateStart(const Jobs::StepSpec &spec, const Jobs::TaskId &task) const
    -> bool
{
    return !spec.longRunning && m_tasksOfLateStarts.contains(task);
}

auto RunLedger::isGangHeldByLateStart(const Jobs::StepSpec &spec, const Jobs::TaskId &first) const
    -> bool
{
    auto last = first;
    last.index = spec.count;
    const auto next = m_tasksOfLateStarts.lower_bound(first);
    return !spec.longRunning && next != m_tasksOfLateStarts.end() && *next < last;
}

} // namespace Execution
