#include "provenleadership.h"

namespace Service {

ProvenLeadership::ProvenLeadership(const Replication::ReplicatedLog &log, const Utils::Clock &clock)
    : m_log(log)
    , m_clock(clock)
{}

auto ProvenLeadership::provenAt(std::int64_t term) const -> std::optional<Utils::Instant>
{
    // The age counts back from the time at which the log is asked. If the process is frozen in between, the
    // time read before leads to an earlier result, and one read afterwards would lead to a later one.
    const auto now = m_clock.now();
    const auto proof = m_log.leadershipProof();
    if (!proof || proof->term != std::uint64_t(term))
        return std::nullopt;
    return now - proof->age;
}

} // namespace Service
