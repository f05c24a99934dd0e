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

/*! \brief Location, peers and limits of this process. */
struct DispatcherOptions
{
    std::string process;
    std::string zone; //!< Zone of this process; if empty, all endpoints count as local.
    std::uint64_t seed = 1;
    Strategy strategy = Strategy::ModulatedTwoChoices;
    std::size_t queuedRequests = 1024;
    std::function<bool()> hasQuorum; //!< Condition for spilling to other zones; empty: always met.
    const Membership::DemandTable *peers = nullptr; //!< Demand of the peers; may be nullptr.
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
    /*! \brief Returns the number of requests that this process has in flight on \a host. */
    auto inFlightOnHost(std::string_view host) -> int;
    /*! \brief Returns the requests in flight and the demand of this process, for its peers. */
    auto localLoad() -> Membership::LocalLoad;
    /*! \brief Returns the most recent refusals, retries, spills and ejections. */
    auto recentEvents() const -> std::vector<Event> { return m_events.recent(); }

private:
    struct Failure
    {
        Choice choice;
        AttemptFailure kind = AttemptFailure::None;
    };
    struct AttemptHistory
    {
        TriedTargets tried;
        std::vector<Failure> failures;
    };

    auto shareOf(const std::string &service, const std::string &customer) -> ServiceShare;
    auto computeShare(const std::string &service, const std::string &customer) -> ServiceShare;
    auto checkLimits(const Request &request) -> std::optional<Reply>;
    auto runAttempts(const Request &request) -> Reply;
    auto takeRetry(const Request &request, AttemptFailure failure) -> bool;
    auto attempt(const Request &request, Choice &choice, int number) -> AttemptResult;
    auto succeed(const Request &request, const Choice &choice, const AttemptHistory &history)
        -> void;
    auto isRequestAtFault(const Request &request, const AttemptHistory &history) -> bool;
    auto recordFailures(const Request &request, const AttemptHistory &history) -> void;
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
