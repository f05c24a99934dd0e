#include "modelpoolneeds.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace ExecutionTest {
namespace {

constexpr std::int64_t leastHosts = 2;
// Four fifths of a host count as usable.
constexpr std::int64_t usableParts = 4;
constexpr std::int64_t allParts = 5;

auto hostsFor(std::int64_t amount, std::int64_t capacity) -> std::int64_t
{
    const auto usable = capacity * usableParts;
    return (amount * allParts + usable - 1) / usable;
}

/*! \brief A host on which tasks are placed by size. */
struct Place
{
    Jobs::Resources free = ModelPoolHosts::capacity;
    std::int64_t ofStep = 0; //!< Tasks of the step that is being placed.
};

auto placeOneTask(const Jobs::StepSpec &step, std::vector<Place> &places) -> void
{
    for (auto &place : places) {
        if (!step.demand.fitsInto(place.free)
            || (step.maximumPerHost > 0 && place.ofStep >= step.maximumPerHost))
            continue;
        place.free -= step.demand;
        ++place.ofStep;
        return;
    }
    places.emplace_back();
    places.back().free -= step.demand;
    places.back().ofStep = 1;
}

// Returns how many hosts the steps fill if their tasks are placed one by one, the largest first.
auto hostsFilled(std::vector<Jobs::StepSpec> steps) -> std::int64_t
{
    std::ranges::sort(steps, std::greater<>(), [](const auto &step) {
        return std::max(step.demand.cpuMillicores * 2, step.demand.memoryMb);
    });
    std::vector<Place> places;
    for (const auto &step : steps) {
        for (auto &place : places)
            place.ofStep = 0;
        for (auto task = step.count; task > 0; --task)
            placeOneTask(step, places);
    }
    return std::int64_t(places.size());
}

} // namespace

auto hostsNeeded(std::span<const Jobs::JobSpec> longRunning, const std::string &pool)
    -> std::int64_t
{
    Jobs::Resources sum;
    auto needed = leastHosts;
    std::vector<Jobs::StepSpec> steps;
    for (const auto &job : longRunning) {
        if (job.pool != pool)
            continue;
        const auto &step = steps.emplace_back(job.steps.front());
        sum.cpuMillicores += step.demand.cpuMillicores * step.count;
        sum.memoryMb += step.demand.memoryMb * step.count;
        if (step.maximumPerHost > 0)
            needed = std::max(needed, (step.count + step.maximumPerHost - 1) / step.maximumPerHost);
    }
    return std::max({needed,
                     hostsFor(sum.cpuMillicores, ModelPoolHosts::capacity.cpuMillicores),
                     hostsFor(sum.memoryMb, ModelPoolHosts::capacity.memoryMb),
                     hostsFilled(std::move(steps))});
}

auto fleetCouldRun(const Jobs::JobSpec &job,
                   const Jobs::TaskId &task,
                   std::span<const Jobs::JobSpec> longRunning,
                   std::span<const ModelPoolHosts::Host> hosts) -> bool
{
    const auto &step = job.steps.front();
    std::int64_t available = 0;
    std::int64_t inPool = 0;
    std::set<std::string> pools{job.pool};
    for (const auto &other : longRunning)
        pools.insert(other.pool);
    for (const auto &host : hosts) {
        const auto usable =
            host.state == Execution::HostState::Up || host.state == Execution::HostState::Moving;
        available += usable ? 1 : 0;
        if (host.pool != job.pool || !host.serves())
            continue;
        ++inPool;
        if (step.demand.fitsInto(host.freeOfShortTasks())
            && (step.maximumPerHost == 0 || host.countOfStep(task) < step.maximumPerHost))
            return true;
    }
    for (const auto &pool : pools) {
        const auto needed = hostsNeeded(longRunning, pool);
        available -= pool == job.pool ? std::max(needed, inPool + 1) : needed;
    }
    return available >= 0;
}

} // namespace ExecutionTest
