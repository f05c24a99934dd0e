#include "demandtable.h"

namespace Membership {

DemandTable::DemandTable(const Utils::Clock &clock, Utils::Milliseconds lease)
    : m_clock(clock)
    , m_lease(lease)
{}

auto DemandTable::setPeer(const std::string &process, std::string zone, std::vector<Demand> demand)
    -> void
{
    const std::scoped_lock lock(m_mutex);
    m_peers.insert_or_assign(process, Peer{std::move(zone), std::move(demand), m_clock.now()});
}

auto DemandTable::demandInZone(std::string_view zone,
                               std::string_view self,
                               std::string_view service,
                               std::string_view customer) const -> PeerDemand
{
    const std::scoped_lock lock(m_mutex);
    const auto oldest = m_clock.now() - m_lease;
    PeerDemand demand;
    for (const auto &[process, peer] : m_peers) {
        if (peer.zone != zone || peer.lastReportAt < oldest)
            continue;
        auto &sum = process < self ? demand.before : demand.after;
        ++sum.processes;
        for (const auto &reported : peer.demand) {
            if (reported.service != service)
                continue;
            sum.serviceRequests += reported.requests;
            sum.customerRequests += reported.customer == customer ? reported.requests : 0;
        }
    }
    return demand;
}

auto DemandTable::reportingProcessCount() const -> int
{
    const std::scoped_lock lock(m_mutex);
    const auto oldest = m_clock.now() - m_lease;
    auto count = 0;
    for (const auto &[process, peer] : m_peers)
        count += peer.lastReportAt >= oldest ? 1 : 0;
    return count;
}

} // namespace Membership
