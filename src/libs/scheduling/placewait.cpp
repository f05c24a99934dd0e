#include "placewait.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Scheduling {
namespace {

// A step that waits in vain loses at most this share of what it could have gained.
constexpr double waitedShareOfGain = 0.5;
// The age of a task tells little of its rest: durations differ from what is expected by a factor of two
// and more. These are the mean rest of a task that has run for some time, as a share of the
// expected duration, and that of one that has run for several times that, as a share of its age.
constexpr double restOfExpected = 0.75;
constexpr double restOfAge = 1.0 / 3;

// Returns the time for which a wait keeps the job within its objective.
auto timeUntilLate(const PlaceQuestion &question, std::int64_t farMs) -> std::int64_t
{
    const auto slackFarMs = question.slackMs - (farMs - question.workMs);
    if (slackFarMs >= 0)
        return slackFarMs;
    // Only places near can keep the objective, or nothing does.
    return question.slackMs >= 0 ? question.slackMs : longestPlaceWaitMs;
}

struct Need
{
    std::int64_t demand = 0;
    std::int64_t waiting = 0;
    std::int64_t mostFree = 0;
    double rate = 0;

    auto isScarce() const -> bool { return demand > mostFree; }
};

auto waitFor(const Need &need, std::int64_t tasks) -> double
{
    if (need.demand <= 0)
        return 0;
    const auto amount = double(need.waiting) + double(need.demand) * double(tasks);
    return need.rate > 0 ? amount / need.rate : double(neverMs);
}

} // namespace

auto placeWaitMs(const PlaceQuestion &question) -> std::int64_t
{
    if (question.farFactor <= 1 || question.workMs <= 0 || question.nearInMs == neverMs)
        return 0;
    const auto farMs = std::int64_t(question.farFactor * double(question.workMs));
    const auto endFarMs = std::max(farMs, question.othersEndInMs);
    const auto gainMs = endFarMs - std::max(question.workMs, question.othersEndInMs);
    const auto inTotalMs =
        std::min(std::int64_t(double(gainMs) * waitedShareOfGain), longestPlaceWaitMs);
    const auto leftMs = std::min(inTotalMs - question.waitedMs, timeUntilLate(question, farMs));
    return leftMs > 0 && question.nearInMs <= leftMs ? leftMs : 0;
}

auto RackOutlook::addEndpoint(const Jobs::Resources &free) -> void
{
    m_hasEndpoint = true;
    m_mostFree = mostOf(m_mostFree, free);
}

auto RackOutlook::addRun(const Jobs::Resources &occupies,
                         std::int64_t expectedMs,
                         std::int64_t elapsedMs) -> void
{
    if (expectedMs <= 0)
        return;
    const auto restMs =
        std::max(double(expectedMs) * restOfExpected, double(elapsedMs) * restOfAge);
    m_rates.cpuMillicores += double(occupies.cpuMillicores) / restMs;
    m_rates.memoryMb += double(occupies.memoryMb) / restMs;
    m_rates.gpus += double(occupies.gpus) / restMs;
}

auto RackOutlook::addWaiting(const Jobs::Resources &demand, std::int64_t tasks) -> void
{
    m_waiting.cpuMillicores += demand.cpuMillicores * tasks;
    m_waiting.memoryMb += demand.memoryMb * tasks;
    m_waiting.gpus += demand.gpus * tasks;
}

auto RackOutlook::expectedWaitMs(const Jobs::Resources &demand, std::int64_t tasks) const
    -> std::int64_t
{
    if (!m_hasEndpoint)
        return neverMs;
    const std::array<Need, 3> needs{{
        {demand.cpuMillicores,
         m_waiting.cpuMillicores,
         m_mostFree.cpuMillicores,
         m_rates.cpuMillicores},
        {demand.memoryMb, m_waiting.memoryMb, m_mostFree.memoryMb, m_rates.memoryMb},
        {demand.gpus, m_waiting.gpus, m_mostFree.gpus, m_rates.gpus},
    }};
    // Where some resources are scarce, the tasks don't wait for the others.
    const auto anyScarce = std::ranges::any_of(needs, &Need::isScarce);
    double longest = 0;
    for (const auto &need : needs) {
        if (!anyScarce || need.isScarce())
            longest = std::max(longest, waitFor(need, tasks));
    }
    return longest < double(neverMs) ? std::int64_t(std::ceil(longest)) : neverMs;
}

} // namespace Scheduling
