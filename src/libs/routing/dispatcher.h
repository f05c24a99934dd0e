#pragma once

#include "admissiongate.h"
#include "endpointselector.h"
#include "eventlog.h"
#include "failedrequests.h"
#include "ratelimiter.h"
#include "request.h"
#include "retrybudget.h"
#include "sharecache.h"

#include "membership/peerupdates.h"

namespace Routing {

/*! \brief Where the process stands, what it knows of peers, and its limits. */
struct DispatcherOptions
{
    std::string process;
    std::string zone; //!< Empty: all endpoints count as those of the own zone.
    std::uint64_t seed = 1;
    Strategy strategy = Strategy::ModulatedTwoChoices;
    std::size_t queuedRequests = 1024;
    std::function<bool()> hasQuorum; //!< Spilling to other zones needs it; empty: always.
    const Membership::DemandTable *peers = nullptr;
    Utils::Metrics *metrics = nullptr;
};

/*! \brief Admits requests, chooses endpoints for them and sends them there. Thread-safe. */
class Dispatcher
{
public:
    Dispatcher(const Utils::Clock &clock,
               const Fleet::Replica &replica,
               const Membership::EndpointDirectory &directory,
               DispatcherOptions options = {});

    /*! \brief Runs \a request at an endpoint of its service. */
    auto dispatch(const Request &request) -> Reply;
    /*! \brief Returns this process's requests in flight to endpoints of \a host. */
    auto inFlightOnHost(std::string_view host) -> int;
    /*! \brief Returns what this process has in flight and needs, for its peers. */
    auto localLoad() -> Membership::LocalLoad;
    /*! \brief Returns the last refusals, retries, spills and ejections. */
    auto recentEvents() const -> std::vector<Event> { return m_events.recent(); }

private:
    struct Failure
    {
        Choice choice;
        AttemptFailure kind = AttemptFailure::None;
    };
    struct Trail
    {
        Tried tried;
        std::vector<Failure> failures;
    };

    auto shareOf(const std::string &service, const std::string &customer) -> ServiceShare;
    auto computeShare(const std::string &service, const std::string &customer) -> ServiceShare;
    auto checkLimits(const Request &request) -> std::optional<Reply>;
    auto runAttempts(const Request &request) -> Reply;
    auto takeRetry(const Request &request, AttemptFailure failure) -> bool;
    auto attempt(const Request &request, Choice &choice, int number) -> AttemptResult;
    auto succeed(const Request &request, const Choice &choice, const Trail &trail) -> void;
    auto isAtFault(const Request &request, const Trail &trail) -> bool;
    auto blame(const Request &request, const Trail &trail) -> void;
    auto rejected(const Request &request) -> Reply;
    auto refused(const Request &request, Reply reply) -> Reply;
    auto report(EventKind kind,
                const Request &request,
                const std::string &endpoint,
                std::string_view reason) -> void;

    const Utils::Clock &m_clock;
    const Fleet::Replica &m_replica;
    DispatcherOptions m_options;
    EventLog m_events;
    EndpointSelector m_selector;
    EndpointClient m_client;
    AdmissionGate m_gate;
    ShareCache m_shares;
    RateLimiter m_rates;
    RetryBudget m_budget;
    FailedRequests m_failedRequests;
    Utils::IdGenerator m_jitter;
};

} // namespace Routing
