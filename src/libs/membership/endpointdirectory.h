#pragma once

#include "utils/clock.h"
#include "utils/fields.h"

#include <map>
#include <mutex>
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
};

/*!
    \brief The endpoints known to this process. Thread-safe.

    An announcement with a lower (incarnation, sequence) than the last one is ignored.
    An endpoint whose lease has ended receives no request.
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
    auto lease() const -> Utils::Milliseconds { return m_lease; }

private:
    const Utils::Clock &m_clock;
    Utils::Milliseconds m_lease;
    mutable std::mutex m_mutex;
    std::map<std::string, Endpoint> m_endpoints;
};

} // namespace Membership
