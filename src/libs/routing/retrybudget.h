#pragma once

#include "request.h"

#include <mutex>

namespace Routing {

/*! \brief Keeps retries below a tenth of requests. Thread-safe. */
class RetryBudget
{
public:
    /*! \brief Counts a first attempt. */
    auto addRequest() -> void;
    /*!
        \brief Takes a retry out of the budget; returns false if none is left.

        Only urgent requests may use the last retries.
    */
    auto takeRetry(Priority priority) -> bool;

private:
    std::mutex m_mutex;
    int m_tenths = 80; //!< Tenths of a retry; what a process starts with is small.
};

} // namespace Routing
