#include "slotshare.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Routing {
namespace {

// Factor of the weight that each process has regardless of its demand, relative to an equal share
// of the slots.
constexpr auto equalShareFactor = 1.0;

} // namespace

auto slotRange(const DemandShare &demand, int slots) -> SlotRange
{
    const auto processes = demand.processesBefore + 1 + demand.processesAfter;
    if (processes == 1)
        return {};
    const auto idleWeight = std::max(1.0, equalShareFactor * slots / processes);
    const auto before = demand.before + idleWeight * demand.processesBefore;
    const auto own = demand.own + idleWeight;
    const auto all = before + own + demand.after + idleWeight * demand.processesAfter;
    return {before / all, (before + own) / all};
}

auto slotAllowances(const SlotRange &range, std::span<const int> slots) -> std::vector<int>
{
    constexpr auto tolerance = 1e-9;
    const auto total = std::accumulate(slots.begin(), slots.end(), 0);
    const auto begin = int(std::floor(range.begin * total + tolerance));
    const auto end = int(std::floor(range.end * total + tolerance));
    std::vector<int> allowances(slots.size());
    auto position = 0;
    // Each round numbers one slot of each endpoint, so that a range spreads over the endpoints.
    for (auto round = 0; position < total; ++round) {
        for (std::size_t index = 0; index < slots.size(); ++index) {
            if (round >= slots[index])
                continue;
            allowances[index] += position >= begin && position < end ? 1 : 0;
            ++position;
        }
    }
    return allowances;
}

auto slotsOfFraction(double fraction, std::int64_t slots) -> int
{
    return slots == 0 ? 0 : std::max(1, int(std::ceil(fraction * double(slots))));
}

} // namespace Routing
