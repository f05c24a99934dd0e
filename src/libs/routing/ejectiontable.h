#pragma once

#include "utils/clock.h"

#include <map>
#include <string>

namespace Routing {

enum class EjectionState { Healthy, Ejected, Probing };

/*!
    \brief Which endpoints fail what they start. Not thread-safe.

    An endpoint is ejected after consecutive failures, at most a third of a pool at a time,
    and comes back by one probe request.
*/
class EjectionTable
{
public:
    /*! \brief Counts a failure; returns true if it ejects \a endpoint. */
    auto addFailure(const std::string &endpoint, int poolSize, Utils::Instant now) -> bool;
    /*! \brief Ends the failures in a row; returns true if \a endpoint comes back by it. */
    auto addSuccess(const std::string &endpoint) -> bool;
    /*! \brief Returns whether \a endpoint gets requests; Probing means one at a time. */
    auto state(const std::string &endpoint, Utils::Instant now) const -> EjectionState;
    /*! \brief Returns the load to add, so that fast failures do not attract requests. */
    auto penalty(const std::string &endpoint) const -> int;
    auto isEmpty() const -> bool { return m_entries.empty(); }

private:
    struct Entry
    {
        int consecutiveFailures = 0;
        int ejections = 0;
        bool ejected = false;
        Utils::Instant until;
    };

    auto ejectedCount() const -> int;

    std::map<std::string, Entry, std::less<>> m_entries;
};

} // namespace Routing
