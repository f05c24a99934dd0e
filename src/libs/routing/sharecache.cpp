#include "sharecache.h"

#include <mutex>

namespace Routing {

ShareCache::ShareCache(const Utils::Clock &clock, Utils::Milliseconds maximumAge)
    : m_clock(clock)
    , m_maximumAge(maximumAge)
{}

auto ShareCache::find(const std::string &service, const std::string &customer) const
    -> std::optional<ServiceShare>
{
    const auto now = m_clock.now();
    const std::shared_lock lock(m_mutex);
    const auto customers = m_entries.find(service);
    if (customers == m_entries.end())
        return std::nullopt;
    const auto entry = customers->second.find(customer);
    if (entry == customers->second.end() || now - entry->second.storedAt >= m_maximumAge)
        return std::nullopt;
    return entry->second.share;
}

auto ShareCache::store(const std::string &service,
                       const std::string &customer,
                       const ServiceShare &share) -> void
{
    if (share.slots == 0)
        return;
    const std::unique_lock lock(m_mutex);
    m_entries[service][customer] = {share, m_clock.now()};
}

} // namespace Routing
