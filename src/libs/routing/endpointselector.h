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

/*! \brief Location of this process and its load balancing strategy. */
struct SelectorOptions
{
    std::string zone; //!< Zone of this process; if empty, all endpoints count as local.
    Strategy strategy = Strategy::ModulatedTwoChoices;
    std::uint64_t seed = 1;
    std::function<bool()> maySpill; //!< Whether other zones may be used; empty: always.
};

/*! \brief The endpoint chosen for one attempt. */
struct Choice
{
    std::string endpoint;
    std::string rack;
    std::string host;
    Attempt attempt;
    bool spilled = false;
    bool healthy = true; //!< The endpoint has not failed a request since its last success.
};

/*! \brief Endpoints and racks used by earlier attempts of a request. */
struct TriedTargets
{
    std::set<std::string> endpoints;
    std::set<std::string> racks;
};

/*! \brief Capacity of a service's endpoints that accept new work. */
struct ServiceSlots
{
    int ownZone = 0;
    int otherZonesFree = 0; //!< Free slots in other zones; 0 while spilling is not allowed.
    int endpoints = 0;
    int racks = 0;
};

/*!
    \brief Chooses endpoints and counts the requests in flight on them. Thread-safe.

    choose() reads the host's state and counts the request under one lock, so that
    inFlightOnHost() includes every request for which the host was chosen before this process
    applied the drain of the host.
*/
class EndpointSelector
{
public:
    EndpointSelector(const Utils::Clock &clock,
                     const Fleet::Replica &replica,
                     const Membership::EndpointDirectory &directory,
                     SelectorOptions options);

    auto choose(const Request &request, const TriedTargets &tried, const SlotRange &range)
        -> std::optional<Choice>;
    auto finish(const Choice &choice) -> void;
    auto slots(const std::string &service) -> ServiceSlots;
    auto inFlightOnHost(std::string_view host) -> int;
    auto inFlight() -> std::map<std::string, int>;

    /*! \brief Counts a failure; returns true if the endpoint is ejected, or ejected again. */
    auto addFailure(const Choice &choice, int poolSize) -> bool;
    /*! \brief Counts a success; returns true if it ends an ejection of the endpoint. */
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
    auto setLocalAndFree(std::vector<Candidate> &found, const SlotRange &range) const -> void;
    auto ownInFlight(const std::string &endpoint) const -> int;
    auto preferredCandidates(std::vector<Candidate> all) -> std::vector<Candidate>;
    auto countRequest(const Candidate &candidate) -> Choice;

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
