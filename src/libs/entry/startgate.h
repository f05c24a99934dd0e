#pragma once

#include "utils/clock.h"

#include <atomic>
#include <functional>

namespace Entry {

/*! \brief Conditions that must hold before a process serves callers. */
struct StartConditions
{
    std::function<bool()> isCaughtUp;     //!< Returns whether the local state is up to date.
    std::function<bool()> knowsEndpoints; //!< Returns whether any endpoint is known.
    Utils::Milliseconds endpointGrace{0}; //!< Time to wait for the first endpoint.
};

/*!
    \brief Prevents a starting process from serving callers with an outdated or empty state.

    The gate stays open once it has opened, so that a process that loses its peers later still
    serves the requests that it can. Thread-safe.
*/
class StartGate
{
public:
    StartGate(const Utils::Clock &clock, StartConditions conditions);

    auto isOpen() -> bool;

private:
    const Utils::Clock &m_clock;
    StartConditions m_conditions;
    Utils::Instant m_started;
    std::atomic<bool> m_open = false;
};

} // namespace Entry
