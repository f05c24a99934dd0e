#pragma once

#include "utils/clock.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Membership {

/*! \brief Requests that one process has in flight or queued for a customer's service. */
struct Demand
{
    std::string service;
    std::string customer;
    int requests = 0;
};

/*! \brief What several processes need together. */
struct DemandSum
{
    int processes = 0;
    int serviceRequests = 0;
    int customerRequests = 0;
};

/*! \brief What the other processes of one zone need; those heard of within a lease. */
struct PeerDemand
{
    DemandSum before; //!< Those with a lower id.
    DemandSum after;
};

/*! \brief The demand that other processes last reported. Thread-safe. */
class DemandTable
{
public:
    DemandTable(const Utils::Clock &clock, Utils::Milliseconds lease);

    auto setPeer(const std::string &process, std::string zone, std::vector<Demand> demand) -> void;
    /*! \brief Returns the demand of the processes of \a zone before and after \a self. */
    auto inZone(std::string_view zone,
                std::string_view self,
                std::string_view service,
                std::string_view customer) const -> PeerDemand;
    /*! \brief Returns the processes of all zones heard of within a lease. */
    auto livePeers() const -> int;

private:
    struct Peer
    {
        std::string zone;
        std::vector<Demand> demand;
        Utils::Instant heardAt;
    };

    const Utils::Clock &m_clock;
    Utils::Milliseconds m_lease;
    mutable std::mutex m_mutex;
    std::map<std::string, Peer> m_peers;
};

} // namespace Membership
