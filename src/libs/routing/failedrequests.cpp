#include "failedrequests.h"

#include <algorithm>

namespace Routing {
namespace {

constexpr std::size_t endpointsToReject = 3;
constexpr std::size_t maximumEntries = 4096;
constexpr Utils::Milliseconds retention{10'000};

} // namespace

auto FailedRequests::addFailure(std::size_t fingerprint,
                                const std::string &endpoint,
                                const std::string &rack,
                                int racksInPool,
                                Utils::Instant now) -> bool
{
    const std::scoped_lock lock(m_mutex);
    if (m_entries.size() >= maximumEntries)
        std::erase_if(m_entries, [&](const auto &entry) { return entry.second.until <= now; });
    if (m_entries.size() >= maximumEntries)
        return false;
    m_isEmpty = false;
    auto &entry = m_entries[fingerprint];
    entry.endpoints.insert(endpoint);
    entry.racks.insert(rack);
    entry.until = now + retention;
    const auto racksNeeded = std::size_t(std::min(2, racksInPool));
    if (entry.endpoints.size() >= endpointsToReject && entry.racks.size() >= racksNeeded)
        entry.rejected = true;
    return entry.rejected;
}

auto FailedRequests::addSuccess(std::size_t fingerprint) -> void
{
    const std::scoped_lock lock(m_mutex);
    m_entries.erase(fingerprint);
    m_isEmpty = m_entries.empty();
}

auto FailedRequests::isRejected(std::size_t fingerprint, Utils::Instant now) -> bool
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end())
        return false;
    if (found->second.until <= now) {
        m_entries.erase(found);
        m_isEmpty = m_entries.empty();
        return false;
    }
    return found->second.rejected;
}

} // namespace Routing
