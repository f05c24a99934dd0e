#pragma once

#include <mutex>

namespace Routing {

/*! \brief Keeps retries below a tenth of requests. Thread-safe. */
class RetryBudget
{
public:
    /*! \brief Counts a first attempt. */
    auto addRequest() -> void;
    /*! \brief Takes a retry out of the budget; returns false if none is left. */
    auto takeRetry() -> bool;

private:
    std::mutex m_mutex;
    int m_tenths = 20; //!< Tenths of a retry; what a process starts with is small.
};

} // namespace Routing
