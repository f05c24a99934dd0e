#include "placement.h"

#include <algorithm>
#include <tuple>

namespace Scheduling {
namespace {

// Returns true if an endpoint with this room can run the task.
auto canRun(const EndpointView &endpoint,
            const Jobs::Resources &room,
            const PlacementRequest &request,
            std::int64_t tasksOfStep) -> bool
{
    const auto &step = *request.step;
    const auto open = endpoint.open || (request.hasNoOtherPlace && endpoint.lastResort);
    if (!open || (endpoint.onlyLongRunning && !step.longRunning)
        || !occupiedBy(step).fitsInto(room))
        return false;
    if (step.maximumPerHost > 0 && tasksOfStep >= step.maximumPerHost)
        return false;
    return step.requiredLabel.empty()
           || std::ranges::find(endpoint.labels, step.requiredLabel) != endpoint.labels.end();
}

// Returns a tuple by which endpoints are compared; the endpoint with the smallest one is chosen.
auto costOf(const EndpointView &endpoint, const Jobs::StepSpec &step, std::int64_t tasksOfStep)
{
    const auto far = !step.dataRack.empty() && step.dataRack != endpoint.rack;
    const auto disturbs = step.fills && endpoint.servesUsers;
    const auto free = endpoint.free.cpuMillicores;
    return std::tuple(far,
                      disturbs,
                      endpoint.recentFailures > 0,
                      step.longRunning ? tasksOfStep : 0,
                      !endpoint.holdsLongRunning,
                      step.longRunning ? -free : free);
}

// Returns the missing part of the required amount, at least 0.
auto missingShare(std::int64_t required, std::int64_t free) -> double
{
    return required > 0 && required > free ? double(required - free) / double(required) : 0;
}

auto missingShare(const Jobs::Resources &required, const Jobs::Resources &free) -> double
{
    return std::max({missingShare(required.cpuMillicores, free.cpuMillicores),
                     missingShare(required.memoryMb, free.memoryMb),
                     missingShare(required.gpus, free.gpus)});
}

} // namespace

auto occupiedBy(const Jobs::StepSpec &step) -> Jobs::Resources
{
    auto demand = step.demand;
    if (step.fills)
        demand.cpuMillicores = 0;
    return demand;
}

auto chooseEndpoint(std::span<const EndpointView> endpoints, const PlacementRequest &request)
    -> std::optional<std::size_t>
{
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        const auto tasksOfStep = request.tasksOfStep.empty() ? 0 : request.tasksOfStep[index];
        if (!canRun(endpoints[index], endpoints[index].free, request, tasksOfStep))
            continue;
        if (!best
            || costOf(endpoints[index], *request.step, tasksOfStep)
                   < costOf(endpoints[*best],
                            *request.step,
                            request.tasksOfStep.empty() ? 0 : request.tasksOfStep[*best]))
            best = index;
    }
    return best;
}

auto chooseEndpointToKeepFree(std::span<const EndpointView> endpoints,
                              const PlacementRequest &request) -> std::optional<std::size_t>
{
    const auto demand = occupiedBy(*request.step);
    std::optional<std::size_t> best;
    double leastMissing = 0;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        const auto &endpoint = endpoints[index];
        const auto tasksOfStep = request.tasksOfStep.empty() ? 0 : request.tasksOfStep[index];
        if (!canRun(endpoint, endpoint.freeOnceShortTasksEnd, request, tasksOfStep))
            continue;
        const auto missing = missingShare(demand, endpoint.free);
        if (best && missing >= leastMissing)
            continue;
        best = index;
        leastMissing = missing;
    }
    return best;
}

auto countPlaces(std::span<const EndpointView> endpoints, const PlacementRequest &request)
    -> std::int64_t
{
    std::int64_t places = 0;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        const auto &endpoint = endpoints[index];
        const auto tasksOfStep = request.tasksOfStep.empty() ? 0 : request.tasksOfStep[index];
        places += canRun(endpoint, endpoint.freeOnceShortTasksEnd, request, tasksOfStep);
    }
    return places;
}

auto tasksPerHost(const Jobs::StepSpec &step, const Jobs::Resources &capacity) -> std::int64_t
{
    const auto demand = occupiedBy(step);
    auto tasks = step.maximumPerHost > 0 ? step.maximumPerHost : step.count;
    if (demand.cpuMillicores > 0)
        tasks = std::min(tasks, capacity.cpuMillicores / demand.cpuMillicores);
    if (demand.memoryMb > 0)
        tasks = std::min(tasks, capacity.memoryMb / demand.memoryMb);
    if (demand.gpus > 0)
        tasks = std::min(tasks, capacity.gpus / demand.gpus);
    return tasks;
}

auto hasRoom(std::span<const EndpointView> endpoints, const Jobs::Resources &demand) -> bool
{
    return std::ranges::any_of(endpoints, [&demand](const EndpointView &endpoint) {
        return endpoint.open && demand.fitsInto(endpoint.free);
    });
}

} // namespace Scheduling
