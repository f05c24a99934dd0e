#pragma once

#include "utils/clock.h"
#include "utils/fields.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

/*! The known endpoints and peers, and the state that they last reported. */
namespace Membership {

enum class EndpointState { Serving, Draining, Leaving };

auto enumNames(EndpointState) -> std::span<const Utils::EnumName<EndpointState>>;

/*! \brief The state that an endpoint reports about itself. */
struct Announcement
{
    std::string id; //!< Endpoint id, taken from the path of the request.
    std::string service;
    std::string address;
    std::string host;
    std::string rack;
    std::string zone;
    std::int64_t slots = 0;
    std::int64_t connections = 0;
    std::int64_t incarnation = 0;
    std::int64_t sequence = 0;
    EndpointState state = EndpointState::Serving;
    std::int64_t inFlight = 0;
    Utils::Json usage;
};

template <typename Archive>
auto describe(Archive &archive, Announcement &announcement) -> void
{
    archive.required("service", announcement.service);
    archive.required("address", announcement.address);
    archive.required("host", announcement.host);
    archive.required("rack", announcement.rack);
    archive.required("zone", announcement.zone);
    archive.required("slots", announcement.slots, Utils::Range{0, 65536});
    archive.required("connections", announcement.connections, Utils::Range{0, 65536});
    archive.required("incarnation", announcement.incarnation);
    archive.required("sequence", announcement.sequence);
    archive.required("state", announcement.state);
    archive.required("in_flight", announcement.inFlight, Utils::Range{0, 1'000'000});
    archive.optional("usage", announcement.usage);
}

/*! \brief An endpoint with a lease. */
struct Endpoint
{
    Announcement announcement;
    Utils::Instant leaseUntil;
    std::string owner; //!< The process that the endpoint announces to; empty for this process.
};

/*!
    \brief An endpoint as the routing reads it, shared without copies.

    The announcement does not change; the lease and the load from other processes do. An endpoint
    that announces a changed identity gets a new entry.
*/
struct EndpointEntry
{
    explicit EndpointEntry(Announcement announced)
        : announcement(std::move(announced))
    {}

    auto hasLease(Utils::Instant now) const -> bool
    {
        return leaseUntilMs.load(std::memory_order_relaxed) > now.time_since_epoch().count();
    }

    const Announcement announcement;
    std::atomic<std::int64_t> leaseUntilMs = 0;
    //! Requests that other processes have in flight at the endpoint, as last reported.
    std::atomic<int> peersInFlight = 0;
};

using EndpointList = std::vector<std::shared_ptr<const EndpointEntry>>;

/*! \brief An endpoint's announcement, as sent between processes, with its remaining lease. */
struct LeasedRecord
{
    Announcement announcement;
    Utils::Milliseconds lease{0};
};

/*! \brief Changes of the set of endpoints that announce to one process. */
struct SetDelta
{
    std::string process;
    std::int64_t incarnation = 0;
    std::int64_t baseVersion = 0; //!< The version to which the changes apply.
    std::int64_t version = 0;
    bool full = false; //!< Whether the changes contain the whole set.
    //! The shortest remaining lease of the records that are not in changed.
    Utils::Milliseconds setLease{0};
    std::vector<LeasedRecord> changed;
    std::vector<std::string> removed;
};

/*! \brief Totals of one service's endpoints that announce to this process. */
struct ServiceSummary
{
    std::string service;
    int endpoints = 0;
    int slots = 0;
    int inFlight = 0;
};

/*!
    \brief The endpoints known to this process. Thread-safe.

    An announcement is ignored unless its (incarnation, sequence) is higher than that of the last
    one. An endpoint whose lease has ended receives no requests. A process owns the endpoints
    that announce to it. Other processes receive them in its deltas, with the remaining leases,
    and never forward them.
*/
class EndpointDirectory
{
public:
    EndpointDirectory(const Utils::Clock &clock, Utils::Milliseconds lease);

    /*! \brief Stores \a announcement; returns false if it is not newer than the last one. */
    auto announce(Announcement announcement) -> bool;
    /*! \brief Returns the serving endpoints of \a service whose leases have not ended. */
    auto available(std::string_view service) const -> std::vector<Endpoint>;
    /*! \brief Returns all known endpoints of \a host, with or without a valid lease. */
    auto onHost(std::string_view host) const -> std::vector<Endpoint>;
    auto all() const -> std::vector<Endpoint>;
    auto isEmpty() const -> bool;
    auto lease() const -> Utils::Milliseconds { return m_lease; }

    /*! \brief Returns the serving endpoints of \a service; the caller must check their leases. */
    auto serving(std::string_view service) const -> std::shared_ptr<const EndpointList>;

    /*!
        \brief Returns the changes of the own set since \a version.

        Returns the whole set if the changes since \a version are not known.
    */
    auto changesSince(std::int64_t version) const -> SetDelta;
    /*! \brief Applies another process's \a delta; returns false if the whole set is needed. */
    auto applyPeer(const SetDelta &delta) -> bool;
    /*! \brief Replaces the numbers of requests that \a process has in flight, by endpoint. */
    auto setPeerInFlight(const std::string &process, std::map<std::string, int> inFlight) -> void;
    /*!
        \brief Removes expired state.

        Removes endpoints whose lease has ended from the own set, and erases them after their
        retention. Discards the in-flight counts of peers that sent nothing for a lease.
    */
    auto removeExpired() -> void;
    /*! \brief Returns the version of the own set. */
    auto version() const -> std::int64_t;
    /*! \brief Returns the totals of each service's endpoints in the own set. */
    auto summaries() const -> std::vector<ServiceSummary>;
    /*! \brief Waits until the own set's version differs from \a version, at most \a timeout. */
    auto waitForChange(std::int64_t version, Utils::Milliseconds timeout) const -> void;

private:
    struct Stored
    {
        Endpoint endpoint;
        std::shared_ptr<EndpointEntry> entry;
        std::int64_t changedAt = 0; //!< The own set's version at the change; 0 if not in the set.
    };
    struct Tombstone
    {
        std::int64_t version = 0;
        std::string id;
    };
    struct PeerSet
    {
        std::int64_t incarnation = 0;
        std::int64_t version = 0;
        Utils::Instant lastUpdateAt;
        std::map<std::string, int> inFlight;
    };

    auto store(Announcement announcement, Utils::Instant leaseUntil, const std::string &owner)
        -> void;
    auto removeFromOwnSet(Stored &stored) -> void;
    auto renew(Stored &stored, Utils::Instant leaseUntil) -> void;
    auto endLease(Stored &stored) -> void;
    auto applyRecord(const LeasedRecord &record, const std::string &process) -> void;
    auto endMissingLeases(const SetDelta &delta) -> void;
    auto updatePeersInFlight(const std::string &endpoint) -> void;
    auto rebuildService(const std::string &service) -> void;
    auto erase(const std::string &id) -> void;

    const Utils::Clock &m_clock;
    Utils::Milliseconds m_lease;
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_ownSetChanged;
    std::map<std::string, Stored, std::less<>> m_endpoints;
    std::map<std::string, std::set<std::string>, std::less<>> m_byHost;
    std::map<std::string, std::set<std::string>, std::less<>> m_byService;
    std::map<std::string, std::shared_ptr<const EndpointList>, std::less<>> m_serving;
    std::map<std::string, PeerSet> m_peers;
    std::int64_t m_ownVersion = 1;
    std::deque<Tombstone> m_tombstones;
    std::int64_t m_oldestDeltaBase = 1; //!< Lowest version from which a delta can be computed.
};

} // namespace Membership
