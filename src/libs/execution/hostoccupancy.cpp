#include "hostoccupancy.h"

#include <string_view>

namespace Execution {

HostOccupancy::HostOccupancy(const RunLedger &ledger, const HostList &hosts)
    : m_ledger(ledger)
{
    std::set<std::string_view> listed;
    for (const auto &host : hosts.hosts)
        listed.insert(host.endpoint);
    for (const auto &[id, endpoint] : ledger.endpoints()) {
        if (endpoint.possibleRuns() > 0 && !listed.contains(id))
            m_unlistedPools.insert(endpoint.record.pool);
    }
}

auto HostOccupancy::isEmpty(const HostInfo &host) const -> bool
{
    const auto found = m_ledger.endpoints().find(host.endpoint);
    const auto known = found != m_ledger.endpoints().end();
    if (known && found->second.possibleRuns() > 0)
        return false;
    // An endpoint that does not reply to polls may have been replaced by another one on its host.
    const auto current = known && found->second.answers;
    return current || !m_unlistedPools.contains(host.pool);
}

} // namespace Execution
