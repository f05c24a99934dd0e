#pragma once

#include "utils/clock.h"

#include <map>
#include <string>

namespace Routing {

enum class EjectionState { Healthy, Ejected, Probing };

/*!
    \brief Ejects endpoints that fail consecutive requests. Not thread-safe.

    At most a third of the endpoints of a pool are ejected at a time. When its ejection time has
    passed, an endpoint gets one probe request at a time and returns when one succeeds.
*/
class EjectionTable
{
public:
    /*! \brief Counts a failure; returns true if \a endpoint is ejected, or ejected again. */
    auto addFailure(const std::string &endpoint, int poolSize, Utils::Instant now) -> bool;
    /*! \brief Resets the failures of \a endpoint; returns true if this ends an ejection. */
    auto addSuccess(const std::string &endpoint) -> bool;
    /*! \brief Returns whether \a endpoint gets requests; in state Probing one at a time. */
    auto state(const std::string &endpoint, Utils::Instant now) const -> EjectionState;
    /*! \brief Returns the load to add, so that an endpoint that fails fast is not preferred. */
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
