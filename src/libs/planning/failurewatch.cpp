#include "failurewatch.h"

#include "utils/log.h"

#include <algorithm>

namespace Planning {

namespace {
// Time after the end of the last lease on a host at which the host counts as failed.
constexpr Utils::Milliseconds failureGrace{10'000};
} // namespace

FailureWatch::FailureWatch(Fleet::Gateway &gateway,
                           const Fleet::Replica &replica,
                           const Membership::EndpointDirectory &directory,
                           const Utils::Clock &clock)
    : m_gateway(gateway)
    , m_replica(replica)
    , m_directory(directory)
    , m_clock(clock)
{}

auto FailureWatch::runOnce() -> void
{
    // Maps each host to its endpoint whose lease ends last.
    std::map<std::string, Membership::Endpoint> lastByHost;
    for (auto &endpoint : m_directory.all()) {
        auto &last = lastByHost[endpoint.announcement.host];
        if (last.leaseUntil <= endpoint.leaseUntil)
            last = std::move(endpoint);
    }
    // Hosts without an endpoint that this process knows are not evaluated.
    const auto reports = m_replica.read([&](const Fleet::State &state) {
        std::vector<HostReport> reports;
        for (const auto &[id, last] : lastByHost) {
            const auto *host = state.findHost(id);
            if (const auto report = host ? evaluateHost(*host, last) : std::nullopt)
                reports.push_back(*report);
        }
        return reports;
    });
    for (const auto &report : reports) {
        const auto observedMs = m_clock.wallTime() - report.sinceLeaseEnd.count();
        const auto *cause = report.failed ? "all leases of its endpoints are over"
                                          : "an endpoint of it announces again";
        const auto result =
            m_gateway.execute(Fleet::ReportHost{report.host, report.failed, observedMs},
                              {"failure-watch", cause, {}, {}});
        if (!result)
            Utils::Log::warning("planning",
                                "could not commit the report of a failed or returned host",
                                {{"host", report.host}, {"reason", result.error().message}});
    }
}

auto FailureWatch::evaluateHost(const Fleet::Host &host, const Membership::Endpoint &last) const
    -> std::optional<HostReport>
{
    if (host.state == Fleet::HostState::InMaintenance)
        return std::nullopt;
    const auto sinceLeaseEnd = m_clock.now() - last.leaseUntil;
    if (host.state == Fleet::HostState::Failed) {
        const auto isBack = sinceLeaseEnd < Utils::Milliseconds(0)
                            && last.announcement.state == Membership::EndpointState::Serving;
        return isBack ? std::optional(HostReport{host.id, false, {}}) : std::nullopt;
    }
    const auto leftAsPlanned = host.state == Fleet::HostState::Draining
                               && last.announcement.state == Membership::EndpointState::Leaving;
    if (sinceLeaseEnd < failureGrace || leftAsPlanned)
        return std::nullopt;
    return HostReport{host.id, true, sinceLeaseEnd};
}

} // namespace Planning
