#pragma once

#include "request.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace Routing {

using TicketId = std::uint64_t;

/*! \brief The properties that order a request among the others of its service. */
struct AdmissionRequest
{
    std::string customer;
    Priority priority = Priority::Normal;
    Utils::Instant deadline;
};

/*! \brief This process's share of the slots that a customer's contract grants for the service. */
struct CustomerSlots
{
    int guaranteed = 0;
    int maximum = 0;
};

enum class AdmissionState { Started, Queued, Refused };

enum class RefusalReason { None, QueueFull, TooLate, Evicted };

auto enumNames(RefusalReason) -> std::span<const Utils::EnumName<RefusalReason>>;

struct AdmissionDecision
{
    AdmissionState state = AdmissionState::Refused;
    TicketId ticket = 0;
    RefusalReason reason = RefusalReason::None;
    Utils::Milliseconds expectedWait{0};
};

/*! \brief Queued requests that were started or removed from the queue. */
struct AdmissionChanges
{
    std::vector<TicketId> started;
    std::vector<TicketId> expired; //!< Requests that could no longer end before their deadline.
    std::vector<TicketId> evicted; //!< Requests that were displaced from the full queue.
};

/*!
    \brief Decides which requests of one service may start, wait or are refused.

    Customers that use fewer slots than they are guaranteed are served first. Unused guaranteed
    slots are lent to other customers and become available again when the borrowing requests
    finish. Requests are then ordered by priority (urgent, normal, deferrable) and by deadline,
    earliest first. Not thread-safe.
*/
class Admission
{
public:
    explicit Admission(std::size_t queueLimit);

    auto setCapacity(int slots) -> void { m_capacity = slots; }
    auto setCustomer(const std::string &customer, CustomerSlots slots) -> void;
    auto offer(const AdmissionRequest &request, Utils::Instant now) -> AdmissionDecision;
    /*! \brief Ends a started request, or removes a queued one from the queue. */
    auto finish(TicketId ticket) -> void;
    /*! \brief Adds a measured run time to the moving average of run times. */
    auto observeRun(Utils::Milliseconds run) -> void;
    /*! \brief Starts queued requests while slots are free and removes those that are too late. */
    auto advance(Utils::Instant now) -> AdmissionChanges;

    auto inFlight() const -> int { return m_inFlight; }
    auto queued() const -> std::size_t { return m_queued; }
    auto demandOf(const std::string &customer) const -> int;
    auto meanRun() const -> Utils::Milliseconds { return Utils::Milliseconds(int(m_meanRunMs)); }

private:
    static constexpr std::size_t priorities = 3;
    struct Waiting
    {
        Utils::Instant deadline;
        TicketId ticket = 0;
        auto operator<(const Waiting &other) const -> bool
        {
            return std::tie(deadline, ticket) < std::tie(other.deadline, other.ticket);
        }
    };
    struct Customer
    {
        CustomerSlots slots;
        int inFlight = 0;
        std::array<std::set<Waiting>, priorities> queues;
        auto queued() const -> std::size_t;
        auto isGuaranteed() const -> bool { return inFlight < slots.guaranteed; }
    };
    struct Ticket
    {
        std::string customer;
        Priority priority = Priority::Normal;
        Utils::Instant deadline;
        bool started = false;
    };

    auto nextCustomer() -> Customer *;
    auto goesBefore(const Customer &left, const Customer &right) const -> bool;
    auto expectedWait(const Customer &customer, const AdmissionRequest &request) const
        -> Utils::Milliseconds;
    auto makeRoom(const Customer &customer, const AdmissionRequest &request) -> bool;
    auto dequeue(const Ticket &ticket, TicketId id) -> void;
    auto dropLate(Utils::Instant now, AdmissionChanges &changes) -> void;

    std::size_t m_queueLimit;
    int m_capacity = 0;
    int m_inFlight = 0;
    std::size_t m_queued = 0;
    double m_meanRunMs = 0;
    TicketId m_nextTicket = 1;
    std::map<std::string, Customer> m_customers;
    std::map<TicketId, Ticket> m_tickets;
    std::vector<TicketId> m_evicted;
};

} // namespace Routing
