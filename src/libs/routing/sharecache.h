#pragma once

#include "admissiongate.h"

#include <map>
#include <optional>
#include <shared_mutex>

namespace Routing {

/*!
    \brief Caches each customer's share of a service for some milliseconds. Thread-safe.

    A share without slots is not cached, so that the first endpoint of a service is used at once.
*/
class ShareCache
{
public:
    ShareCache(const Utils::Clock &clock, Utils::Milliseconds maximumAge);

    auto find(const std::string &service, const std::string &customer) const
        -> std::optional<ServiceShare>;
    auto store(const std::string &service, const std::string &customer, const ServiceShare &share)
        -> void;

private:
    struct Entry
    {
        ServiceShare share;
        Utils::Instant storedAt;
    };

    const Utils::Clock &m_clock;
    Utils::Milliseconds m_maximumAge;
    mutable std::shared_mutex m_mutex;
    std::map<std::string, std::map<std::string, Entry>> m_entries; //!< By service and customer.
};

} // namespace Routing
