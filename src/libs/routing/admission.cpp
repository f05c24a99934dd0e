#include "admission.h"

#include <algorithm>

namespace Routing {
namespace {

using Utils::EnumName;

constexpr auto runTimeWeight = 0.1; // Weight of a new measurement in the moving average.

constexpr std::array refusalNames{
    EnumName<RefusalReason>{RefusalReason::None, "none"},
    EnumName<RefusalReason>{RefusalReason::QueueFull, "queue-full"},
    EnumName<RefusalReason>{RefusalReason::TooLate, "too-late"},
    EnumName<RefusalReason>{RefusalReason::Evicted, "evicted"},
};

} // namespace

auto enumNames(RefusalReason) -> std::span<const EnumName<RefusalReason>>
{
    return refusalNames;
}

auto Admission::Customer::queued() const -> std::size_t
{
    std::size_t sum = 0;
    for (const auto &queue : queues)
        sum += queue.size();
    return sum;
}

Admission::Admission(std::size_t queueLimit)
    : m_queueLimit(queueLimit)
{}

auto Admission::setCustomer(const std::string &customer, CustomerSlots slots) -> void
{
    m_customers[customer].slots = slots;
}

auto Admission::demandOf(const std::string &customer) const -> int
{
    const auto found = m_customers.find(customer);
    if (found == m_customers.end())
        return 0;
    return found->second.inFlight + int(found->second.queued());
}

auto Admission::offer(const AdmissionRequest &request, Utils::Instant now) -> AdmissionDecision
{
    auto &customer = m_customers[request.customer];
    AdmissionDecision decision;
    decision.expectedWait = expectedWait(customer, request);
    const auto withinGuarantee =
        customer.inFlight + int(customer.queued()) < customer.slots.guaranteed;
    if (!withinGuarantee && now + decision.expectedWait + meanRun() > request.deadline) {
        decision.reason = RefusalReason::TooLate;
        return decision;
    }
    const auto mayStart =
        m_queued == 0 && m_inFlight < m_capacity && customer.inFlight < customer.slots.maximum;
    if (!mayStart && !withinGuarantee && m_queued >= m_queueLimit && !makeRoom(customer, request)) {
        decision.reason = RefusalReason::QueueFull;
        return decision;
    }
    decision.ticket = m_nextTicket++;
    decision.state = mayStart ? AdmissionState::Started : AdmissionState::Queued;
    m_tickets[decision.ticket] = {request.customer, request.priority, request.deadline, mayStart};
    if (mayStart) {
        ++m_inFlight;
        ++customer.inFlight;
    } else {
        ++m_queued;
        customer.queues[std::size_t(request.priority)].insert({request.deadline, decision.ticket});
    }
    return decision;
}

// Returns 0 if \a request can start at once, and otherwise the estimated time until the queued
// requests that precede it have run, if each takes the mean run time.
auto Admission::expectedWait(const Customer &customer, const AdmissionRequest &request) const
    -> Utils::Milliseconds
{
    if (m_queued == 0 && m_inFlight < m_capacity && customer.inFlight < customer.slots.maximum)
        return Utils::Milliseconds(0);
    std::size_t ahead = 0;
    for (const auto &[name, other] : m_customers) {
        for (std::size_t index = 0; index <= std::size_t(request.priority); ++index) {
            const auto &queue = other.queues[index];
            if (index < std::size_t(request.priority) || queue.empty()
                || queue.rbegin()->deadline <= request.deadline) {
                ahead += queue.size();
                continue;
            }
            for (const auto &waiting : queue) {
                if (waiting.deadline > request.deadline)
                    break;
                ++ahead;
            }
        }
    }
    const auto slots = std::max(1, m_capacity);
    return Utils::Milliseconds(std::int64_t(m_meanRunMs * double(ahead + 1) / slots));
}

// Evicts the last request of the customer with the longest queue, if it would start later than
// \a request or if that customer has at least two more requests queued than \a customer.
auto Admission::makeRoom(const Customer &customer, const AdmissionRequest &request) -> bool
{
    auto longest = std::ranges::max_element(
        m_customers, {}, [](const auto &entry) { return entry.second.queued(); });
    for (auto index = priorities; index-- > 0;) {
        auto &queue = longest->second.queues[index];
        if (queue.empty())
            continue;
        const auto last = *queue.rbegin();
        const auto isFair =
            &longest->second != &customer && longest->second.queued() > customer.queued() + 1;
        const auto goesLater = std::pair(index, last.deadline)
                               > std::pair(std::size_t(request.priority), request.deadline);
        if (!isFair && !goesLater)
            return false;
        m_evicted.push_back(last.ticket);
        finish(last.ticket);
        return true;
    }
    return false;
}

auto Admission::finish(TicketId ticket) -> void
{
    const auto found = m_tickets.find(ticket);
    if (found == m_tickets.end())
        return;
    if (found->second.started) {
        --m_inFlight;
        --m_customers[found->second.customer].inFlight;
    } else {
        dequeue(found->second, ticket);
    }
    m_tickets.erase(found);
}

auto Admission::dequeue(const Ticket &ticket, TicketId id) -> void
{
    --m_queued;
    m_customers[ticket.customer].queues[std::size_t(ticket.priority)].erase({ticket.deadline, id});
}

auto Admission::observeRun(Utils::Milliseconds run) -> void
{
    const auto measured = double(run.count());
    m_meanRunMs =
        m_meanRunMs == 0 ? measured : m_meanRunMs + runTimeWeight * (measured - m_meanRunMs);
}

auto Admission::advance(Utils::Instant now) -> AdmissionChanges
{
    AdmissionChanges changes;
    changes.evicted = std::exchange(m_evicted, {});
    if (m_queued == 0)
        return changes;
    dropLate(now, changes);
    while (m_inFlight < m_capacity) {
        auto *customer = nextCustomer();
        if (!customer)
            break;
        auto queue = std::ranges::find_if(customer->queues,
                                          [](const auto &waiting) { return !waiting.empty(); });
        const auto id = queue->begin()->ticket;
        queue->erase(queue->begin());
        --m_queued;
        ++m_inFlight;
        ++customer->inFlight;
        m_tickets[id].started = true;
        changes.started.push_back(id);
    }
    return changes;
}

// Removes requests that cannot end before their deadline. Starting such a request would occupy a
// slot without any use, and the endpoint would work on it longer than the caller waits.
auto Admission::dropLate(Utils::Instant now, AdmissionChanges &changes) -> void
{
    const auto latestStart = now + Utils::Milliseconds(std::int64_t(m_meanRunMs));
    for (auto &[name, customer] : m_customers) {
        for (auto &queue : customer.queues) {
            while (!queue.empty() && queue.begin()->deadline <= latestStart) {
                const auto id = queue.begin()->ticket;
                finish(id);
                changes.expired.push_back(id);
            }
        }
    }
}

auto Admission::nextCustomer() -> Customer *
{
    Customer *best = nullptr;
    for (auto &[name, customer] : m_customers) {
        if (customer.queued() == 0 || customer.inFlight >= customer.slots.maximum)
            continue;
        if (!best || goesBefore(customer, *best))
            best = &customer;
    }
    return best;
}

auto Admission::goesBefore(const Customer &left, const Customer &right) const -> bool
{
    if (left.isGuaranteed() != right.isGuaranteed())
        return left.isGuaranteed();
    const auto firstOf = [](const Customer &customer) {
        return std::size_t(
            std::ranges::find_if(customer.queues, [](const auto &queue) { return !queue.empty(); })
            - customer.queues.begin());
    };
    const auto leftPriority = firstOf(left);
    const auto rightPriority = firstOf(right);
    if (leftPriority != rightPriority)
        return leftPriority < rightPriority;
    const auto borrowed = [](const Customer &customer) {
        return double(customer.inFlight) / (customer.slots.guaranteed + 1);
    };
    if (!left.isGuaranteed() && borrowed(left) != borrowed(right))
        return borrowed(left) < borrowed(right);
    return left.queues[leftPriority].begin()->deadline
           < right.queues[rightPriority].begin()->deadline;
}

} // namespace Routing
