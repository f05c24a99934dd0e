#pragma once

#include "routing/request.h"

#include <chrono>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace App {

/*! \brief Demand that the load tool generates. */
struct DemandShape
{
    std::vector<std::string> services;
    double requestsPerS = 100; //!< Total rate of all services without peaks.
    std::int64_t requests = 1000;
    std::chrono::milliseconds duration{10'000};
    std::chrono::milliseconds peak{0}; //!< Length of each service's peak; 0 for even demand.
    std::uint64_t seed = 1;
};

/*! \brief Request to be sent by the load tool. */
struct PlannedRequest
{
    std::chrono::milliseconds due{0}; //!< Time of sending after the start.
    std::string service;
    Routing::Priority priority = Routing::Priority::Normal;
};

/*!
    \brief Returns the requests of a demand in the order in which they are due. Thread-safe.

    With peaks, the services peak in turn: the rate of one service is five times its rate without
    peaks, and the rate of each other service is a twentieth of it.
*/
class LoadSchedule
{
public:
    explicit LoadSchedule(DemandShape shape);

    /*! \brief Returns the next request; std::nullopt once the count or the duration is reached. */
    auto next() -> std::optional<PlannedRequest>;

private:
    auto weights() const -> std::vector<double>;

    DemandShape m_shape;
    std::mutex m_mutex;
    std::mt19937_64 m_engine;
    std::int64_t m_issued = 0;
    double m_dueMs = 0;
};

} // namespace App
