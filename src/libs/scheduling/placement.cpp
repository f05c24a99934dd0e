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
    return hasLabel(endpoint, step.requiredLabel);
}

auto isFar(const EndpointView &endpoint, const PlacementRequest &request) -> bool
{
    const auto near =
        request.nearRack.empty() ? std::string_view(request.step->dataRack) : request.nearRack;
    return !near.empty() && near != endpoint.rack;
}

// Returns a tuple by which endpoints are compared; the endpoint with the smallest one is chosen.
auto costOf(const EndpointView &endpoint, const PlacementRequest &request, std::int64_t tasksOfStep)
{
    const auto &step = *request.step;
    const auto disturbs = step.fills && endpoint.servesUsers;
    const auto free = endpoint.free.cpuMillicores;
    return std::tuple(isFar(endpoint, request),
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
        if (!canRun(endpoints[index], endpoints[index].free, request, tasksOfStep)
            || (request.onlyNear && isFar(endpoints[index], request)))
            continue;
        if (!best
            || costOf(endpoints[index], request, tasksOfStep)
                   < costOf(endpoints[*best],
                            request,
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

auto tasksWithRoom(const EndpointView &endpoint,
                   const Jobs::Resources &room,
                   const PlacementRequest &request,
                   std::size_t index) -> std::int64_t
{
    const auto tasksOfStep = request.tasksOfStep.empty() ? 0 : request.tasksOfStep[index];
    if (!canRun(endpoint, room, request, tasksOfStep))
        return 0;
    const auto tasks = tasksPerHost(*request.step, room);
    const auto allowed = request.step->maximumPerHost - tasksOfStep;
    return request.step->maximumPerHost > 0 ? std::min(tasks, allowed) : tasks;
}

auto hasLabel(const EndpointView &endpoint, std::string_view label) -> bool
{
    return label.empty() || std::ranges::find(endpoint.labels, label) != endpoint.labels.end();
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
