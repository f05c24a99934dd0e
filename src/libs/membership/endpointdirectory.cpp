#include "endpointdirectory.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace Membership {
namespace {

using Utils::EnumName;

constexpr std::size_t maximumTombstones = 4096;
// Records are kept for this number of leases after their lease has ended, so that a drain still
// finds the endpoints of its host.
constexpr auto retentionLeases = 10;
// Owner of a record that its former owner has removed from its set.
constexpr auto noOwner = "-";

constexpr std::array endpointStateNames{
    EnumName<EndpointState>{EndpointState::Serving, "serving"},
    EnumName<EndpointState>{EndpointState::Draining, "draining"},
    EnumName<EndpointState>{EndpointState::Leaving, "leaving"},
};

auto versionOf(const Announcement &announcement)
{
    return std::tie(announcement.incarnation, announcement.sequence);
}

// The part of an announcement that other processes and the routing depend on.
auto identityOf(const Announcement &announcement)
{
    return std::tie(announcement.service,
                    announcement.address,
                    announcement.host,
                    announcement.rack,
                    announcement.zone,
                    announcement.slots,
                    announcement.connections,
                    announcement.incarnation,
                    announcement.state);
}

auto eraseFromIndex(std::map<std::string, std::set<std::string>, std::less<>> &index,
                    const std::string &key,
                    const std::string &id) -> void
{
    const auto found = index.find(key);
    if (found == index.end())
        return;
    found->second.erase(id);
    if (found->second.empty())
        index.erase(found);
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
    const auto found = m_endpoints.find(announcement.id);
    if (found != m_endpoints.end()
        && versionOf(announcement) <= versionOf(found->second.endpoint.announcement)) {
        return false;
    }
    store(std::move(announcement), m_clock.now() + m_lease, {});
    return true;
}

// Stores a newer announcement. Increments the own set's version only if the change must be sent to
// peers.
auto EndpointDirectory::store(Announcement announcement,
                              Utils::Instant leaseUntil,
                              const std::string &owner) -> void
{
    const auto id = announcement.id;
    auto &stored = m_endpoints[id];
    const auto known = stored.entry != nullptr;
    const auto oldService = known ? stored.entry->announcement.service : std::string();
    const auto sameIdentity =
        known && identityOf(announcement) == identityOf(stored.endpoint.announcement);
    const auto isOwn = owner.empty();
    const auto setChanges = isOwn && (!sameIdentity || stored.changedAt == 0);
    if (!isOwn && stored.changedAt != 0)
        removeFromOwnSet(stored);
    if (known && stored.endpoint.announcement.host != announcement.host)
        eraseFromIndex(m_byHost, stored.endpoint.announcement.host, id);
    if (known && oldService != announcement.service)
        eraseFromIndex(m_byService, oldService, id);
    stored.endpoint = {std::move(announcement), leaseUntil, owner};
    const auto &current = stored.endpoint.announcement;
    m_byHost[current.host].insert(id);
    m_byService[current.service].insert(id);
    if (!sameIdentity) {
        stored.entry = std::make_shared<EndpointEntry>(current);
        updatePeersInFlight(id);
        rebuildService(current.service);
        if (known && oldService != current.service)
            rebuildService(oldService);
    }
    renew(stored, leaseUntil);
    if (setChanges) {
        stored.changedAt = ++m_ownVersion;
        m_ownSetChanged.notify_all();
    }
}

auto EndpointDirectory::renew(Stored &stored, Utils::Instant leaseUntil) -> void
{
    stored.endpoint.leaseUntil = leaseUntil;
    stored.entry->leaseUntilMs = leaseUntil.time_since_epoch().count();
}

auto EndpointDirectory::removeFromOwnSet(Stored &stored) -> void
{
    stored.changedAt = 0;
    m_tombstones.push_back({++m_ownVersion, stored.endpoint.announcement.id});
    if (m_tombstones.size() > maximumTombstones) {
        m_oldestDeltaBase = m_tombstones.front().version;
        m_tombstones.pop_front();
    }
    m_ownSetChanged.notify_all();
}

auto EndpointDirectory::rebuildService(const std::string &service) -> void
{
    auto list = std::make_shared<EndpointList>();
    if (const auto ids = m_byService.find(service); ids != m_byService.end()) {
        for (const auto &id : ids->second) {
            const auto &stored = m_endpoints.at(id);
            if (stored.entry->announcement.state == EndpointState::Serving)
                list->push_back(stored.entry);
        }
    }
    m_serving.insert_or_assign(service, std::move(list));
}

auto EndpointDirectory::serving(std::string_view service) const
    -> std::shared_ptr<const EndpointList>
{
    static const auto none = std::make_shared<const EndpointList>();
    const std::scoped_lock lock(m_mutex);
    const auto found = m_serving.find(service);
    return found == m_serving.end() ? none : found->second;
}

auto EndpointDirectory::available(std::string_view service) const -> std::vector<Endpoint>
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Endpoint> endpoints;
    const auto ids = m_byService.find(service);
    if (ids == m_byService.end())
        return endpoints;
    const auto now = m_clock.now();
    for (const auto &id : ids->second) {
        const auto &endpoint = m_endpoints.at(id).endpoint;
        if (endpoint.announcement.state == EndpointState::Serving && endpoint.leaseUntil > now)
            endpoints.push_back(endpoint);
    }
    return endpoints;
}

auto EndpointDirectory::onHost(std::string_view host) const -> std::vector<Endpoint>
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Endpoint> endpoints;
    const auto ids = m_byHost.find(host);
    if (ids == m_byHost.end())
        return endpoints;
    for (const auto &id : ids->second)
        endpoints.push_back(m_endpoints.at(id).endpoint);
    return endpoints;
}

auto EndpointDirectory::all() const -> std::vector<Endpoint>
{
    const std::scoped_lock lock(m_mutex);
    std::vector<Endpoint> endpoints;
    for (const auto &[id, stored] : m_endpoints)
        endpoints.push_back(stored.endpoint);
    return endpoints;
}

auto EndpointDirectory::isEmpty() const -> bool
{
    const std::scoped_lock lock(m_mutex);
    return m_endpoints.empty();
}

auto EndpointDirectory::changesSince(std::int64_t version) const -> SetDelta
{
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.now();
    SetDelta delta;
    delta.full = version < m_oldestDeltaBase || version > m_ownVersion;
    delta.baseVersion = version;
    delta.version = m_ownVersion;
    delta.setLease = m_lease;
    for (const auto &[id, stored] : m_endpoints) {
        if (stored.changedAt == 0)
            continue;
        const auto remaining = stored.endpoint.leaseUntil - now;
        // A record that has not been renewed for half a lease is sent with its own lease, so
        // that it does not shorten the common lease of the other records.
        if (delta.full || stored.changedAt > version || remaining < m_lease / 2)
            delta.changed.push_back({stored.endpoint.announcement, remaining});
        else
            delta.setLease = std::min(delta.setLease, remaining);
    }
    if (delta.full)
        return delta;
    for (const auto &tombstone : m_tombstones) {
        if (tombstone.version > version)
            delta.removed.push_back(tombstone.id);
    }
    return delta;
}

auto EndpointDirectory::applyPeer(const SetDelta &delta) -> bool
{
    const std::scoped_lock lock(m_mutex);
    auto &peer = m_peers[delta.process];
    peer.lastUpdateAt = m_clock.now();
    const auto isConsecutive =
        peer.incarnation == delta.incarnation && peer.version == delta.baseVersion;
    if (!delta.full && !isConsecutive)
        return false;
    if (delta.full)
        endMissingLeases(delta);
    for (auto &[id, stored] : m_endpoints) {
        if (stored.endpoint.owner == delta.process)
            renew(stored, peer.lastUpdateAt + std::min(delta.setLease, m_lease));
    }
    for (const auto &id : delta.removed) {
        const auto found = m_endpoints.find(id);
        if (found != m_endpoints.end() && found->second.endpoint.owner == delta.process)
            endLease(found->second);
    }
    for (const auto &record : delta.changed)
        applyRecord(record, delta.process);
    peer.incarnation = delta.incarnation;
    peer.version = delta.version;
    return true;
}

// Ends the leases of the peer's records that its whole set no longer contains.
auto EndpointDirectory::endMissingLeases(const SetDelta &delta) -> void
{
    std::set<std::string_view> contained;
    for (const auto &record : delta.changed)
        contained.insert(record.announcement.id);
    for (auto &[id, stored] : m_endpoints) {
        if (stored.endpoint.owner == delta.process && !contained.contains(id))
            endLease(stored);
    }
}

auto EndpointDirectory::endLease(Stored &stored) -> void
{
    stored.endpoint.owner = noOwner;
    renew(stored, m_clock.now());
}

auto EndpointDirectory::applyRecord(const LeasedRecord &record, const std::string &process) -> void
{
    const auto leaseUntil = m_clock.now() + std::min(record.lease, m_lease);
    const auto found = m_endpoints.find(record.announcement.id);
    if (found != m_endpoints.end()) {
        auto &stored = found->second;
        const auto received = versionOf(record.announcement);
        const auto existing = versionOf(stored.endpoint.announcement);
        if (received < existing)
            return;
        if (received == existing) {
            if (stored.endpoint.owner == process)
                renew(stored, leaseUntil);
            return;
        }
    }
    store(record.announcement, leaseUntil, process);
}

auto EndpointDirectory::setPeerInFlight(const std::string &process,
                                        std::map<std::string, int> inFlight) -> void
{
    const std::scoped_lock lock(m_mutex);
    auto &peer = m_peers[process];
    peer.lastUpdateAt = m_clock.now();
    const auto before = std::exchange(peer.inFlight, std::move(inFlight));
    for (const auto &[endpoint, count] : before)
        updatePeersInFlight(endpoint);
    for (const auto &[endpoint, count] : peer.inFlight)
        updatePeersInFlight(endpoint);
}

auto EndpointDirectory::updatePeersInFlight(const std::string &endpoint) -> void
{
    const auto stored = m_endpoints.find(endpoint);
    if (stored == m_endpoints.end() || !stored->second.entry)
        return;
    auto sum = 0;
    for (const auto &[process, peer] : m_peers) {
        const auto found = peer.inFlight.find(endpoint);
        sum += found == peer.inFlight.end() ? 0 : found->second;
    }
    stored->second.entry->peersInFlight = sum;
}

auto EndpointDirectory::removeExpired() -> void
{
    const std::scoped_lock lock(m_mutex);
    const auto now = m_clock.now();
    for (auto &[process, peer] : m_peers) {
        if (peer.inFlight.empty() || peer.lastUpdateAt + m_lease > now)
            continue;
        const auto before = std::exchange(peer.inFlight, {});
        for (const auto &[endpoint, count] : before)
            updatePeersInFlight(endpoint);
    }
    std::vector<std::string> expired;
    for (auto &[id, stored] : m_endpoints) {
        if (stored.endpoint.leaseUntil > now)
            continue;
        if (stored.changedAt != 0)
            removeFromOwnSet(stored);
        if (stored.endpoint.leaseUntil + retentionLeases * m_lease <= now)
            expired.push_back(id);
    }
    for (const auto &id : expired)
        erase(id);
}

auto EndpointDirectory::erase(const std::string &id) -> void
{
    const auto found = m_endpoints.find(id);
    const auto service = found->second.endpoint.announcement.service;
    eraseFromIndex(m_byHost, found->second.endpoint.announcement.host, id);
    eraseFromIndex(m_byService, service, id);
    m_endpoints.erase(found);
    rebuildService(service);
}

auto EndpointDirectory::version() const -> std::int64_t
{
    const std::scoped_lock lock(m_mutex);
    return m_ownVersion;
}

auto EndpointDirectory::summaries() const -> std::vector<ServiceSummary>
{
    const std::scoped_lock lock(m_mutex);
    std::vector<ServiceSummary> summaries;
    for (const auto &[service, ids] : m_byService) {
        ServiceSummary summary{service};
        for (const auto &id : ids) {
            const auto &stored = m_endpoints.at(id);
            if (stored.changedAt == 0)
                continue;
            ++summary.endpoints;
            summary.slots += int(stored.endpoint.announcement.slots);
            summary.inFlight += int(stored.endpoint.announcement.inFlight);
        }
        if (summary.endpoints > 0)
            summaries.push_back(std::move(summary));
    }
    return summaries;
}

auto EndpointDirectory::waitForChange(std::int64_t version, Utils::Milliseconds timeout) const
    -> void
{
    std::unique_lock lock(m_mutex);
    m_ownSetChanged.wait_for(lock, timeout, [&] { return m_ownVersion != version; });
}

} // namespace Membership
