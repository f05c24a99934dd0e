#pragma once

#include "utils/clock.h"

#include <cstdint>

namespace Execution {

/*!
    \brief Returns how many of \a available orders may maintain hosts, beside moves that wait.

    Callers wait for moves in a burst of demand, and a wave has time until its end. So moves get most
    of the orders, and the rest keeps them from holding up a wave.
*/
auto maintenanceShare(std::int64_t available) -> std::int64_t;

/*!
    \brief Limits the rate of orders, so that the provider of hosts does not refuse any of them.

    In a burst of demand, hundreds of hosts have to move at once. Orders above the provider's rate
    would be refused, and each refused order counts against the rate. The class reads no clock.
*/
class OrderBudget
{
public:
    /*! \brief Creates a budget for a provider that accepts at most \a perSecond orders. */
    explicit OrderBudget(double perSecond);

    /*! \brief Returns the number of orders that may be sent at \a now. */
    auto available(Utils::Instant now) -> std::int64_t;
    /*! \brief Deducts \a orders from the budget. */
    auto take(std::int64_t orders) -> void;

private:
    double m_perMs;
    double m_available = 0;
    Utils::Instant m_countedAt;
};

} // namespace Execution
