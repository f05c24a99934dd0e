#include "retrybudget.h"

#include <algorithm>

namespace Routing {
namespace {

constexpr auto tenthsPerRetry = 10;
constexpr auto tenthsReservedForUrgent = 60;
constexpr auto maximumTenths = 1000;

} // namespace

auto RetryBudget::addRequest() -> void
{
    const std::scoped_lock lock(m_mutex);
    m_tenths = std::min(maximumTenths, m_tenths + 1);
}

auto RetryBudget::takeRetry(Priority priority) -> bool
{
    const auto reserved = priority == Priority::Urgent ? 0 : tenthsReservedForUrgent;
    const std::scoped_lock lock(m_mutex);
    if (m_tenths < tenthsPerRetry + reserved)
        return false;
    m_tenths -= tenthsPerRetry;
    return true;
}

} // namespace Routing
