#pragma once

#include "admission.h"
#include "slotshare.h"

#include "membership/demandtable.h"
#include "utils/ids.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace Routing {

/*! \brief The capacity of a service that this process may use now. */
struct ServiceShare
{
    int slots = 0;   //!< Slots of this process in its own zone and, by spilling, in other zones.
    SlotRange range; //!< This process's range of the slots in its own zone.
    int endpoints = 0;
    int racks = 0;
    CustomerSlots customer;
};

/*! \brief Blocks each request until it may start or is refused. Thread-safe. */
class AdmissionGate
{
public:
    /*! \brief Returns the current share; called for each request and regularly while it waits. */
    using ShareSource =
        std::function<ServiceShare(const std::string &service, const std::string &customer)>;

    AdmissionGate(const Utils::Clock &clock, std::size_t queueLimit, ShareSource share);
    ~AdmissionGate();

    /*! \brief Waits for a slot; fails with the reason if the request is refused. */
    auto acquire(const Request &request) -> Utils::Result<TicketId>;
    auto release(const Request &request, TicketId ticket) -> void;
    auto observeRun(const std::string &service, Utils::Milliseconds run) -> void;
    /*! \brief Returns how long a refused request should wait before it is sent again. */
    auto retryAfter(const std::string &service) -> Utils::Milliseconds;
    auto meanRun(const std::string &service) -> Utils::Milliseconds;
    auto demand() -> std::vector<Membership::Demand>;

    /*! \brief Demand as last returned by demand(), which is the value that peers know. */
    struct ReportedDemand
    {
        int service = 0;
        int customer = 0;
    };
    auto reportedDemand(const std::string &service, const std::string &customer) -> ReportedDemand;

private:
    struct Waiter;
    struct Service;

    auto serviceOf(const std::string &name) -> Service &;
    /*! \brief Updates the capacity and the customer's slots to \a share. */
    auto applyShare(Service &service, const Request &request, const ServiceShare &share) -> void;
    auto advance(Service &service) -> void;
    auto wait(Service &service,
              const Request &request,
              TicketId ticket,
              std::unique_lock<std::mutex> &lock) -> Utils::Result<TicketId>;

    const Utils::Clock &m_clock;
    std::size_t m_queueLimit;
    ShareSource m_shareSource;
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Service>> m_services;
    std::mutex m_reportedMutex;
    std::vector<Membership::Demand> m_reported;
};

} // namespace Routing
