#pragma once

#include "utils/clock.h"

#include <atomic>
#include <functional>

namespace Entry {

/*! \brief What a process must know before it serves callers. */
struct StartConditions
{
    std::function<bool()> isCaughtUp;     //!< The state here is one that is in force.
    std::function<bool()> knowsEndpoints; //!< At least one endpoint was announced or learned.
    Utils::Milliseconds endpointGrace{0}; //!< How long a process without endpoints waits for them.
};

/*!
    \brief Keeps a starting process from answering callers out of an old or empty state.

    Once open it stays open: a process that loses its peers later serves what it can. Thread-safe.
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
