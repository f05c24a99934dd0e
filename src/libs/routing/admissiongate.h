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

/*! \brief What this process may use of a service now. */
struct ServiceShare
{
    int slots = 0;   //!< In the own zone and spilled.
    SlotRange range; //!< Of the own zone's slots.
    int endpoints = 0;
    int racks = 0;
    CustomerSlots customer;
};

/*! \brief Blocks each request until it may start or is refused. Thread-safe. */
class AdmissionGate
{
public:
    /*! \brief Asks for the present share; called often. */
    using ShareSource =
        std::function<ServiceShare(const std::string &service, const std::string &customer)>;

    AdmissionGate(const Utils::Clock &clock, std::size_t queueLimit, ShareSource share);
    ~AdmissionGate();

    /*! \brief Waits for a slot; fails with why the request was refused. */
    auto acquire(const Request &request) -> Utils::Result<TicketId>;
    auto release(const Request &request, TicketId ticket) -> void;
    auto observeRun(const std::string &service, Utils::Milliseconds run) -> void;
    /*! \brief Returns how long a refused request should wait before it is sent again. */
    auto retryAfter(const std::string &service) -> Utils::Milliseconds;
    auto meanRun(const std::string &service) -> Utils::Milliseconds;
    auto demand() -> std::vector<Membership::Demand>;

    /*! \brief Demand as demand() last returned it, which is what peers know. */
    struct Reported
    {
        int service = 0;
        int customer = 0;
    };
    auto reportedDemand(const std::string &service, const std::string &customer) -> Reported;

private:
    struct Waiter;
    struct Service;

    auto serviceOf(const std::string &name) -> Service &;
    /*! \brief Takes in the present share and returns its slots. */
    auto apply(Service &service, const Request &request, const ServiceShare &share) -> void;
    auto advance(Service &service) -> void;
    auto wait(Service &service,
              const Request &request,
              TicketId ticket,
              std::unique_lock<std::mutex> &lock) -> Utils::Result<TicketId>;

    const Utils::Clock &m_clock;
    std::size_t m_queueLimit;
    ShareSource m_share;
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Service>> m_services;
    std::mutex m_reportedMutex;
    std::vector<Membership::Demand> m_reported;
};

} // namespace Routing
