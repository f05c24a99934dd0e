#include "startgate.h"

namespace Entry {

StartGate::StartGate(const Utils::Clock &clock, StartConditions conditions)
    : m_clock(clock)
    , m_conditions(std::move(conditions))
    , m_started(clock.now())
{}

auto StartGate::isOpen() -> bool
{
    if (m_open)
        return true;
    if (!m_conditions.isCaughtUp())
        return false;
    const auto graceExpired = m_clock.now() - m_started >= m_conditions.endpointGrace;
    m_open = graceExpired || m_conditions.knowsEndpoints();
    return m_open;
}

} // namespace Entry
