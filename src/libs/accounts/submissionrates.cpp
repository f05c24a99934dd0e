#include "submissionrates.h"

#include <algorithm>
#include <cmath>

namespace Accounts {

constexpr double millisecondsPerSecond = 1000;

SubmissionRates::SubmissionRates(RateTerms terms)
    : m_terms(terms)
    , m_window(std::max(terms.window, Utils::Milliseconds(slices)))
{}

auto SubmissionRates::keepOnly(std::span<const ClientAccount> accounts) -> void
{
    std::erase_if(m_accounts, [accounts](const auto &item) {
        return std::ranges::find(accounts, item.first, &ClientAccount::name) == accounts.end();
    });
}

auto SubmissionRates::isExceeded(const ClientAccount &account, Utils::Instant now) const -> bool
{
    if (account.weight <= 0)
        return false;
    const auto found = m_accounts.find(account.name);
    if (found == m_accounts.end())
        return false;
    const auto rate = account.weight * double(m_window.count()) / millisecondsPerSecond;
    const auto owed = std::ceil(rate * (1 + m_terms.excess) + m_terms.slack);
    return double(jobsIn(found->second, sliceOf(now))) >= owed;
}

auto SubmissionRates::count(const ClientAccount &account, Utils::Instant now) -> void
{
    if (account.weight <= 0)
        return;
    auto &window = m_accounts[account.name];
    advance(window, sliceOf(now));
    ++window.jobs[std::size_t(window.newest % slices)];
}

auto SubmissionRates::takeBack(std::string_view account, Utils::Instant countedAt) -> void
{
    const auto found = m_accounts.find(account);
    const auto slice = sliceOf(countedAt);
    if (found == m_accounts.end() || slice <= found->second.newest - slices)
        return;
    auto &jobs = found->second.jobs[std::size_t(slice % slices)];
    jobs = std::max<std::int64_t>(0, jobs - 1);
}

auto SubmissionRates::sliceOf(Utils::Instant at) const -> std::int64_t
{
    return at.time_since_epoch().count() / (m_window.count() / slices);
}

// Returns the jobs in the window whose newest slice is \a slice.
auto SubmissionRates::jobsIn(const Window &window, std::int64_t slice) -> std::int64_t
{
    std::int64_t jobs = 0;
    const auto oldest = std::max(slice, window.newest) - slices + 1;
    for (auto number = oldest; number <= window.newest; ++number)
        jobs += window.jobs[std::size_t(number % slices)];
    return jobs;
}

auto SubmissionRates::advance(Window &window, std::int64_t slice) -> void
{
    if (slice <= window.newest)
        return;
    for (auto number = std::max(window.newest + 1, slice - slices + 1); number <= slice; ++number)
        window.jobs[std::size_t(number % slices)] = 0;
    window.newest = slice;
}

} // namespace Accounts
