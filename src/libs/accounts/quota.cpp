#include "quota.h"

#include <algorithm>
#include <array>

namespace Accounts {
namespace {

using Amount = std::int64_t Jobs::Resources::*;

constexpr std::array<Amount, 3> amounts{
    &Jobs::Resources::cpuMillicores, &Jobs::Resources::memoryMb, &Jobs::Resources::gpus};

} // namespace

auto tasksAllowed(const Jobs::Resources &quota,
                  const Jobs::Resources &use,
                  const Jobs::Resources &demand) -> std::int64_t
{
    auto allowed = unlimitedTasks;
    for (const auto amount : amounts) {
        if (quota.*amount <= 0 || demand.*amount <= 0)
            continue;
        const auto left = std::max<std::int64_t>(0, quota.*amount - use.*amount);
        const auto fitting = left / (demand.*amount);
        const auto begun = left % (demand.*amount) > 0 ? 1 : 0;
        allowed = std::min(allowed, fitting + begun);
    }
    return allowed;
}

auto gangAllowed(const Jobs::Resources &quota,
                 const Jobs::Resources &use,
                 const Jobs::Resources &demand,
                 std::int64_t count) -> bool
{
    if (tasksAllowed(quota, use, demand) == 0)
        return false;
    return std::ranges::none_of(amounts, [&](Amount amount) {
        const auto othersNeed = demand.*amount * (count - 1);
        return quota.*amount > 0 && demand.*amount > 0 && use.*amount + othersNeed > quota.*amount;
    });
}

} // namespace Accounts
