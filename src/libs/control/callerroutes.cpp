#include "callerroutes.h"

#include <algorithm>
#include <functional>

namespace Control {

// Number of versions that entry processes may still have while operators set one after the other.
constexpr std::size_t maximumVersions = 16;

CallerRoutes::CallerRoutes(const Configuration &configuration)
    : m_version(configuration.version)
    , m_limits(configuration.limits)
{
    for (const auto &queue : configuration.queues)
        m_routes[queue.name] = {queue.name, queue.host, queue.pathPrefix, queue.pool};
    indexHosts();
}

auto CallerRoutes::find(std::string_view host, std::string_view path) const -> const CallerRoute *
{
    const auto routes = m_hosts.find(host);
    if (routes == m_hosts.end())
        return nullptr;
    const auto found = std::ranges::find_if(
        routes->second, [path](const auto *route) { return path.starts_with(route->pathPrefix); });
    return found != routes->second.end() ? *found : nullptr;
}

auto CallerRoutes::changesSince(const CallerRoutes &base) const -> CallerRoutesUpdate
{
    CallerRoutesUpdate update;
    update.version = m_version;
    update.baseVersion = base.m_version;
    update.limits = m_limits;
    for (const auto &[queue, route] : m_routes) {
        const auto known = base.m_routes.find(queue);
        if (known == base.m_routes.end() || known->second != route)
            update.changed.push_back(route);
    }
    for (const auto &[queue, route] : base.m_routes) {
        if (!m_routes.contains(queue))
            update.removed.push_back(queue);
    }
    return update;
}

auto CallerRoutes::apply(const CallerRoutesUpdate &update) -> bool
{
    if (update.version <= m_version)
        return false;
    if (update.baseVersion != 0 && update.baseVersion != m_version)
        return false;
    if (update.baseVersion == 0)
        m_routes.clear();
    for (const auto &queue : update.removed)
        m_routes.erase(queue);
    for (const auto &route : update.changed)
        m_routes[route.queue] = route;
    m_version = update.version;
    m_limits = update.limits;
    indexHosts();
    return true;
}

auto CallerRoutes::indexHosts() -> void
{
    m_hosts.clear();
    for (const auto &[queue, route] : m_routes)
        m_hosts[route.host].push_back(&route);
    for (auto &[host, routes] : m_hosts)
        std::ranges::stable_sort(
            routes, std::greater<>(), [](const auto *route) { return route->pathPrefix.size(); });
}

auto CallerRoutesHistory::add(const Configuration &configuration) -> void
{
    if (configuration.version <= newestVersion())
        return;
    m_versions.emplace_back(configuration);
    if (m_versions.size() > maximumVersions)
        m_versions.pop_front();
}

auto CallerRoutesHistory::newestVersion() const -> std::int64_t
{
    return m_versions.empty() ? 0 : m_versions.back().version();
}

auto CallerRoutesHistory::updateFrom(std::int64_t version) const -> CallerRoutesUpdate
{
    if (m_versions.empty())
        return {};
    static const CallerRoutes noRoutes;
    const auto base = std::ranges::find(m_versions, version, &CallerRoutes::version);
    return m_versions.back().changesSince(base != m_versions.end() ? *base : noRoutes);
}

} // namespace Control
