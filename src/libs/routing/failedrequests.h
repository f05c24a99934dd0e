#pragma once

#include "utils/clock.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace Routing {

/*!
    \brief Detects requests that fail on every endpoint. Thread-safe.

    A request that failed on three healthy endpoints in at least two racks (one if the pool has
    only one) is considered faulty itself: it is refused for a while, and the failures of this
    send are not counted against the endpoints.
*/
class FailedRequests
{
public:
    /*! \brief Adds a failure of the request with \a fingerprint; returns true if it is faulty. */
    auto addFailure(std::size_t fingerprint,
                    const std::string &endpoint,
                    const std::string &rack,
                    int racksInPool,
                    Utils::Instant now) -> bool;
    auto addSuccess(std::size_t fingerprint) -> void;
    /*! \brief Returns true if no failed request is stored; does not lock. */
    auto isEmpty() const -> bool { return m_isEmpty; }
    auto isRejected(std::size_t fingerprint, Utils::Instant now) -> bool;

private:
    struct Entry
    {
        std::set<std::string> endpoints;
        std::set<std::string> racks;
        bool rejected = false;
        Utils::Instant until;
    };

    std::atomic<bool> m_isEmpty = true; //!< Avoids taking the lock while no requests fail.
    std::mutex m_mutex;
    std::map<std::size_t, Entry> m_entries;
};

} // namespace Routing
