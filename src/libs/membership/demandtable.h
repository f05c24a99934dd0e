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

/*! \brief Total demand of several processes for a service and for one of its customers. */
struct DemandSum
{
    int processes = 0;
    int serviceRequests = 0;
    int customerRequests = 0;
};

/*!
    \brief Demand of the other processes of one zone, divided by the order of their ids.

    Only processes that reported within the last lease are counted.
*/
struct PeerDemand
{
    DemandSum before; //!< Demand of the processes with a lower id.
    DemandSum after;  //!< Demand of the processes with a higher id.
};

/*! \brief The demand that other processes last reported. Thread-safe. */
class DemandTable
{
public:
    DemandTable(const Utils::Clock &clock, Utils::Milliseconds lease);

    auto setPeer(const std::string &process, std::string zone, std::vector<Demand> demand) -> void;
    /*! \brief Returns the demand of the processes of \a zone with ids before and after \a self. */
    auto demandInZone(std::string_view zone,
                      std::string_view self,
                      std::string_view service,
                      std::string_view customer) const -> PeerDemand;
    /*! \brief Returns the number of processes in all zones that reported within a lease. */
    auto reportingProcessCount() const -> int;

private:
    struct Peer
    {
        std::string zone;
        std::vector<Demand> demand;
        Utils::Instant lastReportAt;
    };

    const Utils::Clock &m_clock;
    Utils::Milliseconds m_lease;
    mutable std::mutex m_mutex;
    std::map<std::string, Peer> m_peers;
};

} // namespace Membership
