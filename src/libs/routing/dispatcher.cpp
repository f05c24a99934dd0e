#include "dispatcher.h"

#include "slotshare.h"

#include <thread>

namespace Routing {

namespace {

constexpr Utils::Milliseconds shareMaximumAge{5};
constexpr auto maximumAttempts = 4;
constexpr auto statusBadGateway = 502;
constexpr Utils::Milliseconds busyRetryInterval{25};

auto fingerprintOf(const Request &request) -> std::size_t
{
    return std::hash<std::string>()(request.customer + '\n' + request.service + '\n'
                                    + request.method + '\n' + request.path + '\n' + request.body);
}

auto isEndpointFault(AttemptFailure failure) -> bool
{
    return failure != AttemptFailure::Busy && failure != AttemptFailure::ShortDeadline;
}

} // namespace

Dispatcher::Dispatcher(const Utils::Clock &clock,
                       const Fleet::Replica &replica,
                       const Membership::EndpointDirectory &directory,
                       DispatcherOptions options)
    : m_clock(clock)
    , m_replica(replica)
    , m_options(std::move(options))
    , m_events(clock, m_options.metrics)
    , m_selector(clock,
                 replica,
                 directory,
                 {m_options.zone, m_options.strategy, m_options.seed, m_options.hasQuorum})
    , m_client(m_clock)
    , m_gate(clock,
             m_options.queuedRequests,
             [this](const std::string &service, const std::string &customer) {
                 return shareOf(service, customer);
             })
    , m_shares(clock, shareMaximumAge)
    , m_rates(clock)
    , m_jitter(m_options.seed)
{}

auto Dispatcher::dispatch(const Request &request) -> Reply
{
    if (auto refusal = checkLimits(request))
        return refused(request, std::move(*refusal));
    m_budget.addRequest();
    const auto ticket = m_gate.acquire(request);
    if (!ticket) {
        const auto &error = ticket.error();
        return refused(request, Reply::notRun(error.type, error.message, error.details));
    }
    auto reply = runAttempts(request);
    m_gate.release(request, ticket.value());
    if (reply.outcome == Outcome::NotRun)
        return refused(request, std::move(reply));
    return reply;
}

auto Dispatcher::checkLimits(const Request &request) -> std::optional<Reply>
{
    if (!m_failedRequests.isEmpty()
        && m_failedRequests.isRejected(fingerprintOf(request), m_clock.now())) {
        return Reply::notRun(Utils::ErrorType::Mismatch,
                             "the request failed on three healthy endpoints",
                             "identical requests are refused for some seconds");
    }
    const auto perSecond = m_replica.read([&](const Fleet::State &state) -> std::int64_t {
        const auto *contract = state.findContract(request.customer);
        const auto *terms = contract ? contract->findService(request.service) : nullptr;
        return terms ? terms->requestsPerS : 0;
    });
    if (perSecond == 0)
        return std::nullopt;
    const auto processes = 1 + (m_options.peers ? m_options.peers->reportingProcessCount() : 0);
    if (m_rates.take(request.customer + '/' + request.service, double(perSecond) / processes))
        return std::nullopt;
    return Reply::notRun(Utils::ErrorType::LimitReached,
                         "the customer's limit of requests per second is exceeded");
}

// Returns this process's share of the slots, which depends on its own demand and on that of the
// peers in its zone.
auto Dispatcher::shareOf(const std::string &service, const std::string &customer) -> ServiceShare
{
    if (auto share = m_shares.find(service, customer))
        return *share;
    const auto share = computeShare(service, customer);
    m_shares.store(service, customer, share);
    return share;
}

auto Dispatcher::computeShare(const std::string &service, const std::string &customer)
    -> ServiceShare
{
    const auto slots = m_selector.slots(service);
    ServiceShare share;
    const auto terms = m_replica.read([&](const Fleet::State &state) {
        const auto *contract = state.findContract(customer);
        const auto *found = contract ? contract->findService(service) : nullptr;
        return found ? *found : Fleet::ServiceTerms{service, {}, 0, slots.ownZone, 0};
    });
    Membership::PeerDemand others;
    AdmissionGate::ReportedDemand own;
    if (m_options.peers) {
        others =
            m_options.peers->demandInZone(m_options.zone, m_options.process, service, customer);
        own = m_gate.reportedDemand(service, customer);
    }
    const auto &[before, after] = others;
    share.range = slotRange({double(own.service),
                             double(before.serviceRequests),
                             double(after.serviceRequests),
                             before.processes,
                             after.processes},
                            slots.ownZone);
    const auto customerRange = slotRange({double(own.customer),
                                          double(before.customerRequests),
                                          double(after.customerRequests),
                                          before.processes,
                                          after.processes},
                                         slots.ownZone);
    const auto processes = before.processes + 1 + after.processes;
    share.slots =
        slotsOfFraction(share.range.fraction(), slots.ownZone) + slots.otherZonesFree / processes;
    share.customer = {slotsOfFraction(customerRange.fraction(), terms.guaranteedSlots),
                      slotsOfFraction(customerRange.fraction(), terms.maxSlots)};
    share.endpoints = slots.endpoints;
    share.racks = slots.racks;
    return share;
}

auto Dispatcher::runAttempts(const Request &request) -> Reply
{
    AttemptHistory history;
    auto reply =
        Reply::notRun(Utils::ErrorType::Unavailable, "no endpoint of the service is available");
    for (auto number = 1; number <= maximumAttempts; ++number) {
        const auto share = shareOf(request.service, request.customer);
        auto choice = m_selector.choose(request, history.tried, share.range);
        if (!choice)
            break;
        auto result = attempt(request, *choice, number);
        if (result.failure == AttemptFailure::None) {
            succeed(request, *choice, history);
            return std::move(result.reply);
        }
        // A later attempt that did not run does not replace the reply of one that may have run.
        if (reply.outcome == Outcome::NotRun || result.reply.outcome == Outcome::Ran)
            reply = std::move(result.reply);
        history.tried.endpoints.insert(choice->endpoint);
        history.tried.racks.insert(choice->rack);
        if (isEndpointFault(result.failure))
            history.failures.push_back({*choice, result.failure});
        if (isRequestAtFault(request, history))
            return rejected(request);
        const auto mayRetry = (reply.outcome == Outcome::NotRun || request.idempotent)
                              && number < maximumAttempts && takeRetry(request, result.failure);
        if (!mayRetry)
            break;
        report(EventKind::Retried, request, choice->endpoint, Utils::nameOf(result.failure));
    }
    recordFailures(request, history);
    return reply;
}

// Takes a retry from the budget. After a busy endpoint, waits for the budget while the deadline
// leaves time for another run.
auto Dispatcher::takeRetry(const Request &request, AttemptFailure failure) -> bool
{
    while (m_clock.now() < request.deadline) {
        if (m_budget.takeRetry(request.priority))
            return true;
        const auto next = m_clock.now() + busyRetryInterval + m_gate.meanRun(request.service);
        if (failure != AttemptFailure::Busy || next > request.deadline)
            return false;
        std::this_thread::sleep_for(busyRetryInterval);
    }
    return false;
}

auto Dispatcher::attempt(const Request &request, Choice &choice, int number) -> AttemptResult
{
    choice.attempt.number = number;
    if (choice.spilled)
        report(
            EventKind::Spilled, request, choice.endpoint, "no local endpoint can take the request");
    const auto start = m_clock.now();
    auto result = m_client.send(request, choice.attempt);
    m_selector.finish(choice);
    const auto elapsed = m_clock.now() - start;
    if (result.failure == AttemptFailure::None)
        m_gate.observeRun(request.service, elapsed);
    // A time-out within twice the mean run time does not show that the endpoint is faulty.
    if (result.failure == AttemptFailure::TimedOut
        && elapsed < 2 * m_gate.meanRun(request.service)) {
        result.failure = AttemptFailure::ShortDeadline;
    }
    return result;
}

auto Dispatcher::succeed(const Request &request,
                         const Choice &choice,
                         const AttemptHistory &history) -> void
{
    if (m_selector.addSuccess(choice))
        report(EventKind::Returned, request, choice.endpoint, "a probe succeeded");
    if (!m_failedRequests.isEmpty())
        m_failedRequests.addSuccess(fingerprintOf(request));
    if (!history.failures.empty())
        recordFailures(request, history);
}

// Counts the last failure against the request and returns true if the request, rather than the
// endpoints, is considered faulty. Only failures of idempotent requests on healthy and reachable
// endpoints count.
auto Dispatcher::isRequestAtFault(const Request &request, const AttemptHistory &history) -> bool
{
    if (!request.idempotent || history.failures.empty())
        return false;
    const auto &last = history.failures.back().choice;
    if (!last.healthy || history.failures.back().kind == AttemptFailure::Unreachable)
        return false;
    const auto racks = m_selector.slots(request.service).racks;
    return m_failedRequests.addFailure(
        fingerprintOf(request), last.endpoint, last.rack, racks, m_clock.now());
}

auto Dispatcher::recordFailures(const Request &request, const AttemptHistory &history) -> void
{
    if (history.failures.empty())
        return;
    const auto poolSize = m_selector.slots(request.service).endpoints;
    for (const auto &failure : history.failures) {
        if (m_selector.addFailure(failure.choice, poolSize)) {
            report(
                EventKind::Ejected, request, failure.choice.endpoint, Utils::nameOf(failure.kind));
        }
    }
}

auto Dispatcher::rejected(const Request &request) -> Reply
{
    report(EventKind::RequestRejected, request, {}, "failed on three healthy endpoints");
    auto reply = Reply::unknown("the request failed on three healthy endpoints");
    reply.status = statusBadGateway;
    reply.error->type = Utils::ErrorType::Refused;
    return reply;
}

auto Dispatcher::refused(const Request &request, Reply reply) -> Reply
{
    constexpr std::uint64_t jitterSteps = 1000;
    const auto base = m_gate.retryAfter(request.service);
    const auto jitter = double(m_jitter.nextNumber() % jitterSteps) / jitterSteps;
    reply.retryAfter = base + Utils::Milliseconds(std::int64_t(jitter * double(base.count())));
    report(EventKind::Refused,
           request,
           {},
           reply.error ? std::string_view(reply.error->message) : std::string_view());
    return reply;
}

auto Dispatcher::report(EventKind kind,
                        const Request &request,
                        const std::string &endpoint,
                        std::string_view reason) -> void
{
    m_events.add(
        {0, kind, request.id, request.customer, request.service, endpoint, std::string(reason)});
}

auto Dispatcher::inFlightOnHost(std::string_view host) -> int
{
    return m_selector.inFlightOnHost(host);
}

auto Dispatcher::localLoad() -> Membership::LocalLoad
{
    return {m_selector.inFlight(), m_gate.demand()};
}

} // namespace Routing
