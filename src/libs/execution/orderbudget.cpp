#include "orderbudget.h"

#include <algorithm>

namespace Execution {

// Another process may still give orders, and the provider's second is not ours.
constexpr double usedPart = 0.9;
// What is not used in this time is lost: it must not come on top of a later second's orders.
constexpr double longestSavingMs = 150;

OrderBudget::OrderBudget(double perSecond)
    : m_perMs(perSecond * usedPart / 1000)
{}

auto OrderBudget::available(Utils::Instant now) -> std::int64_t
{
    const auto elapsedMs = double((now - m_countedAt).count());
    m_countedAt = now;
    const auto most = std::max(1.0, m_perMs * longestSavingMs);
    m_available = std::min(most, m_available + elapsedMs * m_perMs);
    return std::int64_t(m_available);
}

auto OrderBudget::take(std::int64_t orders) -> void
{
    m_available -= double(orders);
}

} // namespace Execution
