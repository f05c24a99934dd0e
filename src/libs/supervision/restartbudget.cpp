#include "restartbudget.h"

#include <algorithm>

namespace Supervision {

RestartBudget::RestartBudget(RestartPolicy policy)
    : m_policy(policy)
{}

auto RestartBudget::addFailure(Utils::Instant now) -> std::optional<Utils::Milliseconds>
{
    while (!m_failures.empty() && now - m_failures.front() >= m_policy.window)
        m_failures.pop_front();
    m_failures.push_back(now);
    if (m_failures.size() > std::size_t(m_policy.maximumRestarts))
        return std::nullopt;
    auto backoff = m_policy.initialBackoff;
    for (std::size_t failure = 1; failure < m_failures.size(); ++failure)
        backoff = std::min(backoff * 2, m_policy.maximumBackoff);
    return backoff;
}

} // namespace Supervision
