#pragma once

#include "request.h"

#include <mutex>

namespace Routing {

/*! \brief Limits retries to a tenth of the requests. Thread-safe. */
class RetryBudget
{
public:
    /*! \brief Counts a first attempt. */
    auto addRequest() -> void;
    /*!
        \brief Takes a retry out of the budget; returns false if none is left.

        The last six retries are reserved for urgent requests.
    */
    auto takeRetry(Priority priority) -> bool;

private:
    std::mutex m_mutex;
    int m_tenths = 80; //!< Budget in tenths of a retry; a process starts with eight retries.
};

} // namespace Routing
