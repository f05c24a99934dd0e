#include "admissiongate.h"

#include <algorithm>

namespace Routing {
namespace {

// Interval at which waiting requests check the slots again, because the number of slots may change
// while no request ends.
constexpr Utils::Milliseconds recheckInterval{50};

auto refusalOf(RefusalReason reason) -> Utils::Error
{
    if (reason == RefusalReason::TooLate) {
        return {Utils::ErrorType::Timeout,
                "the request cannot be run before its deadline",
                std::string(Utils::nameOf(reason))};
    }
    return {Utils::ErrorType::Unavailable,
            "the request queue of the service is full",
            std::string(Utils::nameOf(reason))};
}

} // namespace

struct AdmissionGate::Waiter
{
    std::condition_variable changed;
    AdmissionState state = AdmissionState::Queued;
    RefusalReason reason = RefusalReason::None;
};

struct AdmissionGate::Service
{
    explicit Service(std::size_t queueLimit)
        : admission(queueLimit)
    {}

    std::mutex mutex;
    Admission admission;
    std::map<TicketId, Waiter *> waiters;
    std::set<std::string> customers;
};

AdmissionGate::AdmissionGate(const Utils::Clock &clock, std::size_t queueLimit, ShareSource share)
    : m_clock(clock)
    , m_queueLimit(queueLimit)
    , m_shareSource(std::move(share))
{}

AdmissionGate::~AdmissionGate() = default;

auto AdmissionGate::serviceOf(const std::string &name) -> Service &
{
    const std::scoped_lock lock(m_mutex);
    auto &service = m_services[name];
    if (!service)
        service = std::make_unique<Service>(m_queueLimit);
    return *service;
}

auto AdmissionGate::acquire(const Request &request) -> Utils::Result<TicketId>
{
    auto &service = serviceOf(request.service);
    // Computes the share before taking the lock, since all requests of the service need the lock.
    const auto share = m_shareSource(request.service, request.customer);
    std::unique_lock lock(service.mutex);
    service.customers.insert(request.customer);
    applyShare(service, request, share);
    if (share.slots == 0) {
        return Utils::failure(Utils::ErrorType::Unavailable,
                              "no endpoint of the service is available");
    }
    const auto decision = service.admission.offer(
        {request.customer, request.priority, request.deadline}, m_clock.now());
    if (decision.state == AdmissionState::Queued)
        return wait(service, request, decision.ticket, lock);
    if (decision.state == AdmissionState::Refused)
        return refusalOf(decision.reason);
    return decision.ticket;
}

auto AdmissionGate::wait(Service &service,
                         const Request &request,
                         TicketId ticket,
                         std::unique_lock<std::mutex> &lock) -> Utils::Result<TicketId>
{
    Waiter waiter;
    service.waiters[ticket] = &waiter;
    advance(service);
    while (waiter.state == AdmissionState::Queued) {
        const auto left = request.deadline - m_clock.now();
        waiter.changed.wait_for(lock, std::clamp(left, Utils::Milliseconds(1), recheckInterval));
        if (waiter.state == AdmissionState::Queued) {
            applyShare(service, request, m_shareSource(request.service, request.customer));
            advance(service);
        }
    }
    service.waiters.erase(ticket);
    if (waiter.state == AdmissionState::Started)
        return ticket;
    return refusalOf(waiter.reason);
}

auto AdmissionGate::applyShare(Service &service, const Request &request, const ServiceShare &share)
    -> void
{
    service.admission.setCapacity(share.slots);
    service.admission.setCustomer(request.customer, share.customer);
}

// Wakes the requests that were started or refused.
auto AdmissionGate::advance(Service &service) -> void
{
    const auto end = [&](TicketId ticket, AdmissionState state, RefusalReason reason) {
        const auto found = service.waiters.find(ticket);
        if (found == service.waiters.end())
            return;
        found->second->state = state;
        found->second->reason = reason;
        found->second->changed.notify_one();
    };
    const auto changes = service.admission.advance(m_clock.now());
    for (const auto ticket : changes.started)
        end(ticket, AdmissionState::Started, RefusalReason::None);
    for (const auto ticket : changes.expired)
        end(ticket, AdmissionState::Refused, RefusalReason::TooLate);
    for (const auto ticket : changes.evicted)
        end(ticket, AdmissionState::Refused, RefusalReason::Evicted);
}

auto AdmissionGate::release(const Request &request, TicketId ticket) -> void
{
    auto &service = serviceOf(request.service);
    const std::scoped_lock lock(service.mutex);
    service.admission.finish(ticket);
    advance(service);
}

auto AdmissionGate::observeRun(const std::string &name, Utils::Milliseconds run) -> void
{
    auto &service = serviceOf(name);
    const std::scoped_lock lock(service.mutex);
    service.admission.observeRun(run);
}

auto AdmissionGate::retryAfter(const std::string &name) -> Utils::Milliseconds
{
    constexpr Utils::Milliseconds shortest{1000};
    constexpr Utils::Milliseconds longest{30'000};
    auto &service = serviceOf(name);
    const std::scoped_lock lock(service.mutex);
    const auto ahead = std::int64_t(service.admission.queued()) + 1;
    return std::clamp(service.admission.meanRun() * ahead, shortest, longest);
}

auto AdmissionGate::meanRun(const std::string &name) -> Utils::Milliseconds
{
    auto &service = serviceOf(name);
    const std::scoped_lock lock(service.mutex);
    return service.admission.meanRun();
}

auto AdmissionGate::demand() -> std::vector<Membership::Demand>
{
    std::vector<Membership::Demand> demand;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[name, service] : m_services) {
        const std::scoped_lock serviceLock(service->mutex);
        for (const auto &customer : service->customers) {
            const auto requests = service->admission.demandOf(customer);
            if (requests > 0)
                demand.push_back({name, customer, requests});
        }
    }
    const std::scoped_lock reportedLock(m_reportedMutex);
    m_reported = demand;
    return demand;
}

auto AdmissionGate::reportedDemand(const std::string &service, const std::string &customer)
    -> ReportedDemand
{
    ReportedDemand reported;
    const std::scoped_lock lock(m_reportedMutex);
    for (const auto &demand : m_reported) {
        if (demand.service != service)
            continue;
        reported.service += demand.requests;
        reported.customer += demand.customer == customer ? demand.requests : 0;
    }
    return reported;
}

} // namespace Routing
