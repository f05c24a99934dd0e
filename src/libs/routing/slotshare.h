#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace Routing {

/*! \brief Demand of this and the other processes for the same slots, as last reported. */
struct DemandShare
{
    double own = 0;
    double before = 0; //!< Demand of the processes with a lower id.
    double after = 0;  //!< Demand of the processes with a higher id.
    int processesBefore = 0;
    int processesAfter = 0;
};

/*! \brief A range of all slots; \a begin and \a end are fractions between 0 and 1. */
struct SlotRange
{
    double begin = 0;
    double end = 1;
    auto fraction() const -> double { return end - begin; }
};

/*!
    \brief Returns the range of \a slots that a process may use.

    The ranges of processes that know the same demand do not overlap and cover all slots. Each
    process gets slots even without demand, so that it can start requests before the other
    processes learn of its demand.
*/
auto slotRange(const DemandShare &demand, int slots) -> SlotRange;

/*!
    \brief Returns how many of each endpoint's \a slots lie in \a range.

    All processes must pass the endpoints in the same order.
*/
auto slotAllowances(const SlotRange &range, std::span<const int> slots) -> std::vector<int>;

/*! \brief Returns \a fraction of \a slots rounded up, at least one unless \a slots is 0. */
auto slotsOfFraction(double fraction, std::int64_t slots) -> int;

} // namespace Routing
