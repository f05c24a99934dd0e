#include "ejectiontable.h"

#include <algorithm>

namespace Routing {
namespace {

constexpr auto failuresToEject = 3;
constexpr auto endpointsPerEjection = 3; // At most one in this many endpoints is ejected.
constexpr auto loadPerFailure = 4;
constexpr auto maximumDoublings = 4;
constexpr Utils::Milliseconds firstEjection{2000};

} // namespace

auto EjectionTable::addFailure(const std::string &endpoint, int poolSize, Utils::Instant now)
    -> bool
{
    auto &entry = m_entries[endpoint];
    ++entry.consecutiveFailures;
    const auto failedProbe = entry.ejected && now >= entry.until;
    const auto mayEject = !entry.ejected && entry.consecutiveFailures >= failuresToEject
                          && (ejectedCount() + 1) * endpointsPerEjection <= poolSize;
    if (!failedProbe && !mayEject)
        return false;
    entry.ejected = true;
    entry.until = now + firstEjection * (1 << std::min(entry.ejections, maximumDoublings));
    ++entry.ejections;
    return true;
}

auto EjectionTable::addSuccess(const std::string &endpoint) -> bool
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end())
        return false;
    const auto wasEjected = found->second.ejected;
    m_entries.erase(found);
    return wasEjected;
}

auto EjectionTable::state(const std::string &endpoint, Utils::Instant now) const -> EjectionState
{
    const auto found = m_entries.find(endpoint);
    if (found == m_entries.end() || !found->second.ejected)
        return EjectionState::Healthy;
    return now < found->second.until ? EjectionState::Ejected : EjectionState::Probing;
}

auto EjectionTable::penalty(const std::string &endpoint) const -> int
{
    const auto found = m_entries.find(endpoint);
    return found == m_entries.end() ? 0 : found->second.consecutiveFailures * loadPerFailure;
}

auto EjectionTable::ejectedCount() const -> int
{
    return int(
        std::ranges::count_if(m_entries, [](const auto &entry) { return entry.second.ejected; }));
}

} // namespace Routing
