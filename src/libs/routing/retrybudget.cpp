#include "retrybudget.h"

#include <algorithm>

namespace Routing {
namespace {

constexpr auto tenthsPerRetry = 10;
constexpr auto tenthsKeptForUrgent = 60;
constexpr auto maximumTenths = 1000;

} // namespace

auto RetryBudget::addRequest() -> void
{
    const std::scoped_lock lock(m_mutex);
    m_tenths = std::min(maximumTenths, m_tenths + 1);
}

auto RetryBudget::takeRetry(Priority priority) -> bool
{
    const auto kept = priority == Priority::Urgent ? 0 : tenthsKeptForUrgent;
    const std::scoped_lock lock(m_mutex);
    if (m_tenths < tenthsPerRetry + kept)
        return false;
    m_tenths -= tenthsPerRetry;
    return true;
}

} // namespace Routing
