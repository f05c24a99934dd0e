#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace Routing {

/*! \brief Demand for the same slots, as processes last reported it. */
struct DemandShare
{
    double own = 0;
    double before = 0; //!< Of the processes with a lower id.
    double after = 0;  //!< Of the processes with a higher id.
    int processesBefore = 0;
    int processesAfter = 0;
};

/*! \brief A part of all slots, from \a begin to \a end, both between 0 and 1. */
struct SlotRange
{
    double begin = 0;
    double end = 1;
    auto part() const -> double { return end - begin; }
};

/*!
    \brief Returns the part of \a slots that a process may use.

    Ranges of processes that know the same demand do not overlap and cover all slots. Each
    process has some slots without demand, so that it may start before others learn of it.
*/
auto slotRange(const DemandShare &demand, int slots) -> SlotRange;

/*!
    \brief Returns how many of each endpoint's \a slots lie in \a range.

    All processes must name the endpoints in the same order.
*/
auto slotAllowances(const SlotRange &range, std::span<const int> slots) -> std::vector<int>;

/*! \brief Returns \a part of \a slots, at least one if there are any. */
auto slotsOfPart(double part, std::int64_t slots) -> int;

} // namespace Routing
