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

/*! Which endpoints and peers there are, and what they last told about themselves. */
namespace Membership {

enum class EndpointState { Serving, Draining, Leaving };

auto enumNames(EndpointState) -> std::span<const Utils::EnumName<EndpointState>>;

/*! \brief What an endpoint tells about itself. */
struct Announcement
{
    std::string id; //!< From the request's path.
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
    std::string owner; //!< The process that it announces to; empty for this one.
};

/*!
    \brief An endpoint as the routing reads it, shared without copies.

    The announcement's identity does not change; the lease and the load do.
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
    //! Requests in flight here from other processes, as last reported.
    std::atomic<int> peersInFlight = 0;
};

using EndpointList = std::vector<std::shared_ptr<const EndpointEntry>>;

/*! \brief One record of another process's set. */
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
    std::int64_t baseVersion = 0; //!< The version that the changes build on.
    std::int64_t version = 0;
    bool full = false; //!< The changes are the whole set.
    //! The shortest remaining lease among records that are not in changed.
    Utils::Milliseconds setLease{0};
    std::vector<LeasedRecord> changed;
    std::vector<std::string> removed;
};

/*! \brief Slots of one pool's endpoints that announce to this process. */
struct ServiceSummary
{
    std::string service;
    int endpoints = 0;
    int slots = 0;
    int inFlight = 0;
};

/*!
    \brief The endpoints known to this process. Thread-safe.

    An announcement with a lower (incarnation, sequence) than the last one is ignored.
    An endpoint whose lease has ended receives no request. A process owns the endpoints that
    announce to it; others learn of them from its deltas, with what is left of each lease, and
    never pass them on.
*/
class EndpointDirectory
{
public:
    EndpointDirectory(const Utils::Clock &clock, Utils::Milliseconds lease);

    /*! \brief Takes in \a announcement; returns false if it is older than the last one. */
    auto announce(Announcement announcement) -> bool;
    /*! \brief Returns the endpoints of \a service with a lease that take new work. */
    auto available(std::string_view service) const -> std::vector<Endpoint>;
    /*! \brief Returns all endpoints of \a host, with or without a lease. */
    auto onHost(std::string_view host) const -> std::vector<Endpoint>;
    auto all() const -> std::vector<Endpoint>;
    auto isEmpty() const -> bool;
    auto lease() const -> Utils::Milliseconds { return m_lease; }

    /*! \brief Returns the serving endpoints of \a service; the reader checks the leases. */
    auto serving(std::string_view service) const -> std::shared_ptr<const EndpointList>;

    /*! \brief Returns the own set's changes since \a version; the whole set if it is unknown. */
    auto changesSince(std::int64_t version) const -> SetDelta;
    /*! \brief Takes in another process's \a delta; returns false if the whole set is needed. */
    auto applyPeer(const SetDelta &delta) -> bool;
    /*! \brief Replaces what \a process has in flight by endpoint. */
    auto setPeerInFlight(const std::string &process, std::map<std::string, int> inFlight) -> void;
    /*! \brief Ends own records without a lease and forgets peers not heard of for a lease. */
    auto sweep() -> void;
    /*! \brief Returns the version of the own set. */
    auto version() const -> std::int64_t;
    auto summaries() const -> std::vector<ServiceSummary>;
    /*! \brief Waits until the own set's version differs from \a version, at most \a timeout. */
    auto waitForChange(std::int64_t version, Utils::Milliseconds timeout) const -> void;

private:
    struct Stored
    {
        Endpoint endpoint;
        std::shared_ptr<EndpointEntry> entry;
        std::int64_t changedAt = 0; //!< The own set's version; 0 if not in the set.
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
        Utils::Instant heardAt;
        std::map<std::string, int> inFlight;
    };

    auto store(Announcement announcement, Utils::Instant leaseUntil, const std::string &owner)
        -> void;
    auto leaveOwnSet(Stored &stored) -> void;
    auto renew(Stored &stored, Utils::Instant leaseUntil) -> void;
    auto endLease(Stored &stored) -> void;
    auto applyRecord(const LeasedRecord &record, const std::string &process) -> void;
    auto dropMissing(const SetDelta &delta) -> void;
    auto updatePeersInFlight(const std::string &endpoint) -> void;
    auto rebuildService(const std::string &service) -> void;
    auto forget(const std::string &id) -> void;

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
    std::int64_t m_oldestDelta = 1; //!< Deltas from lower versions are not known any more.
};

} // namespace Membership
