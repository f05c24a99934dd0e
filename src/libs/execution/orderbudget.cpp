#include "orderbudget.h"

#include <algorithm>

namespace Execution {

// Share of the provider's rate to use. The rest allows for orders that another process may still
// send, and for a difference between the provider's one-second window and the local one.
constexpr double usedShare = 0.9;
// Unused budget accumulates for at most this time, so that it is not added to the orders of a later
// one-second window.
constexpr double maximumAccumulationMs = 150;

// Maintenance gets 1/4 of the orders (rounded up) while moves wait.
constexpr std::int64_t maintenanceDivisor = 4;

auto maintenanceShare(std::int64_t available) -> std::int64_t
{
    return (available + maintenanceDivisor - 1) / maintenanceDivisor;
}

OrderBudget::OrderBudget(double perSecond)
    : m_perMs(perSecond * usedShare / 1000)
{}

auto OrderBudget::available(Utils::Instant now) -> std::int64_t
{
    const auto elapsedMs = double((now - m_countedAt).count());
    m_countedAt = now;
    const auto most = std::max(1.0, m_perMs * maximumAccumulationMs);
    m_available = std::min(most, m_available + elapsedMs * m_perMs);
    return std::int64_t(m_available);
}

auto OrderBudget::take(std::int64_t orders) -> void
{
    m_available -= double(orders);
}

} // namespace Execution
