#pragma once

#include "balancer.h"
#include "ejectiontable.h"
#include "endpointclient.h"
#include "slotshare.h"

#include "fleet/replica.h"
#include "membership/endpointdirectory.h"

#include <functional>
#include <map>
#include <mutex>
#include <set>

namespace Routing {

/*! \brief Where this process stands and how it balances. */
struct SelectorOptions
{
    std::string zone; //!< Empty: all endpoints count as those of the own zone.
    Strategy strategy = Strategy::ModulatedTwoChoices;
    std::uint64_t seed = 1;
    std::function<bool()> maySpill; //!< Empty: always.
};

/*! \brief The endpoint chosen for one attempt. */
struct Choice
{
    std::string endpoint;
    std::string rack;
    std::string host;
    Attempt attempt;
    bool spilled = false;
    bool healthy = true; //!< It failed nothing since its last success.
};

/*! \brief Endpoints and racks that a request's earlier attempts used. */
struct Tried
{
    std::set<std::string> endpoints;
    std::set<std::string> racks;
};

/*! \brief Slots of the endpoints that take new work for a service. */
struct ServiceSlots
{
    int ownZone = 0;
    int otherZonesFree = 0; //!< 0 if spilling is not allowed now.
    int endpoints = 0;
    int racks = 0;
};

/*!
    \brief Chooses endpoints and counts what is in flight there. Thread-safe.

    A choice reads the host's state and counts the request under one lock, so that
    inFlightOnHost() misses no request that was chosen before a drain was applied here.
*/
class EndpointSelector
{
public:
    EndpointSelector(const Utils::Clock &clock,
                     const Fleet::Replica &replica,
                     const Membership::EndpointDirectory &directory,
                     SelectorOptions options);

    auto choose(const Request &request, const Tried &tried, const SlotRange &range)
        -> std::optional<Choice>;
    auto finish(const Choice &choice) -> void;
    auto slots(const std::string &service) -> ServiceSlots;
    auto inFlightOnHost(std::string_view host) -> int;
    auto inFlight() -> std::map<std::string, int>;

    /*! \brief Counts a failure; returns true if it ejects the endpoint. */
    auto addFailure(const Choice &choice, int poolSize) -> bool;
    /*! \brief Returns true if the endpoint comes back by this success. */
    auto addSuccess(const Choice &choice) -> bool;

private:
    struct Candidate
    {
        const Membership::EndpointEntry *entry = nullptr;
        std::int64_t epoch = 0;
        int load = 0;
        bool isLocal = true;
        bool isFree = true;
        bool isNewRack = true;
        bool isProbe = false;
        bool isHealthy = true;
    };
    struct InFlight
    {
        int requests = 0;
        std::string host;
    };

    auto candidates(const Membership::EndpointList &endpoints, const SlotRange &range)
        -> std::vector<Candidate>;
    auto allow(std::vector<Candidate> &found, const SlotRange &range) const -> void;
    auto ownInFlight(const std::string &endpoint) const -> int;
    auto pickGroup(std::vector<Candidate> all) -> std::vector<Candidate>;
    auto count(const Candidate &candidate) -> Choice;

    const Utils::Clock &m_clock;
    const Fleet::Replica &m_replica;
    const Membership::EndpointDirectory &m_directory;
    SelectorOptions m_options;
    std::mutex m_mutex;
    Balancer m_balancer;
    EjectionTable m_ejections;
    std::map<std::string, InFlight, std::less<>> m_inFlight;
};

} // namespace Routing
