#pragma once

#include "utils/clock.h"

namespace Execution {

/*!
    \brief Spreads orders to the provider of hosts so that it refuses none of them. Pure.

    Answers bursts of demand for which hundreds of hosts have to move at once: what is over the
    provider's rate would be refused, and each refusal costs one of its calls.
*/
class OrderBudget
{
public:
    /*! \brief The provider takes at most \a perSecond orders. */
    explicit OrderBudget(double perSecond);

    /*! \brief Returns how many orders may be given at \a now. */
    auto available(Utils::Instant now) -> std::int64_t;
    /*! \brief Counts \a orders that are given now. */
    auto take(std::int64_t orders) -> void;

private:
    double m_perMs;
    double m_available = 0;
    Utils::Instant m_countedAt;
};

} // namespace Execution
