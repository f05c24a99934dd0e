#pragma once

#include "utils/clock.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace Routing {

/*!
    \brief Requests that fail wherever they run. Thread-safe.

    A request that failed on three healthy endpoints of several racks is itself at fault:
    it is refused for a while, and its failures blame no endpoint.
*/
class FailedRequests
{
public:
    /*! \brief Adds a failure of \a fingerprint; returns true if the request is at fault. */
    auto addFailure(std::size_t fingerprint,
                    const std::string &endpoint,
                    const std::string &rack,
                    int racksInPool,
                    Utils::Instant now) -> bool;
    auto addSuccess(std::size_t fingerprint) -> void;
    /*! \brief Returns true while no request failed lately. */
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

    std::atomic<bool> m_isEmpty = true; //!< Spares the lock while nothing fails.
    std::mutex m_mutex;
    std::map<std::size_t, Entry> m_entries;
};

} // namespace Routing
