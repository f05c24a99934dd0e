#pragma once

#include "routing/request.h"

#include <chrono>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace App {

/*! \brief The demand that the load tool makes. */
struct DemandShape
{
    std::vector<std::string> services;
    double requestsPerS = 100; //!< Mean over all services.
    std::int64_t requests = 1000;
    std::chrono::milliseconds duration{10'000};
    std::chrono::milliseconds peak{0}; //!< How long each service peaks in turn; 0: even demand.
    std::uint64_t seed = 1;
};

/*! \brief One request to be sent. */
struct PlannedRequest
{
    std::chrono::milliseconds due{0}; //!< After the start.
    std::string service;
    Routing::Priority priority = Routing::Priority::Normal;
};

/*!
    \brief Gives out the requests of a demand in the order in which they are due. Thread-safe.

    With a peak, one service at a time has five times its mean and the others a twentieth.
*/
class LoadSchedule
{
public:
    explicit LoadSchedule(DemandShape shape);

    /*! \brief Returns the next request, or nothing once the count or the duration is reached. */
    auto next() -> std::optional<PlannedRequest>;

private:
    auto weights() const -> std::vector<double>;

    DemandShape m_shape;
    std::mutex m_mutex;
    std::mt19937_64 m_engine;
    std::int64_t m_given = 0;
    double m_dueMs = 0;
};

} // namespace App
