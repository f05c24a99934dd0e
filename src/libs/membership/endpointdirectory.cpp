#include "endpointdirectory.h"

#include <array>
#include <tuple>

namespace Membership {
namespace {

using Utils::EnumName;

constexpr std::array endpointStateNames{
    EnumName<EndpointState>{EndpointState::Serving, "serving"},
    EnumName<EndpointState>{EndpointState::Draining, "draining"},
    EnumName<EndpointState>{EndpointState::Leaving, "leaving"},
};

auto versionOf(const Announcement &announcement)
{
    return std::tie(announcement.incarnation, announcement.sequence);
}

} // namespace

auto enumNames(EndpointState) -> std::span<const EnumName<EndpointState>>
{
    return endpointStateNames;
}

EndpointDirectory::EndpointDirectory(const Utils::Clock &clock, Utils::Milliseconds lease)
    : m_clock(clock)
    , m_lease(lease)
{}

auto EndpointDirectory::announce(Announcement announcement) -> bool
{
    const std::scoped_lock lock(m_mutex);
    const auto leaseUntil = m_clock.now() + m_lease;
    const auto found = m_endpoints.find(announcement.id);
    if (found == m_endpoints.end()) {
        auto id = announcement.id;
        m_endpoints.emplace(std::move(id), Endpoint{std::move(announcement), leaseUntil});
        return true;
    }
    auto &endpoint = found->second;
    if (versionOf(announcement) <= versionOf(endpoint.announcement))
        return false;
    endpoint = {std::move(announcement), leaseUntil};
    return true;
}

auto EndpointDirectory::available(std::string_view service) const -> std::vector<Endpoint>
{
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.now();
    std::vector<Endpoint> endpoints;
    for (const auto &[id, endpoint] : m_endpoints) {
        const auto &announcement = endpoint.announcement;
        if (announcement.service == service && announcement.state == EndpointState::Serving
            && endpoint.leaseUntil > now) {
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

auto EndpointDirectory::onHost(std::string_view host) const -> std::vector<Endpoint>
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Endpoint> endpoints;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (endpoint.announcement.host == host)
            endpoints.push_back(endpoint);
    }
    return endpoints;
}

auto EndpointDirectory::all() const -> std::vector<Endpoint>
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Endpoint> endpoints;
    for (const auto &[id, endpoint] : m_endpoints)
        endpoints.push_back(endpoint);
    return endpoints;
}

} // namespace Membership
