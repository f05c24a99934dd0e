#include "jobplacement.h"

#include <algorithm>

namespace Planning {
namespace {

auto bestFit(std::vector<PlacementTarget> &targets, std::int64_t slots) -> PlacementTarget *
{
    PlacementTarget *best = nullptr;
    for (auto &target : targets) {
        if (target.freeSlots >= slots && (!best || target.freeSlots < best->freeSlots))
            best = &target;
    }
    return best;
}

} // namespace

auto slotsOf(const Task &job) -> std::int64_t
{
    return job.measuredSlots > 0 ? job.measuredSlots : job.declaredSlots;
}

auto placeJobs(std::span<const Task> jobs,
               std::vector<PlacementTarget> targets,
               std::int64_t drainDeadlineS) -> JobPlan
{
    JobPlan plan;
    std::vector<Task> largestFirst(jobs.begin(), jobs.end());
    std::ranges::stable_sort(largestFirst, std::ranges::greater(), slotsOf);
    for (const auto &job : largestFirst) {
        if (job.remainingS > 0 && job.remainingS <= drainDeadlineS) {
            plan.finishing.push_back(job.id);
            continue;
        }
        auto *target = job.canCheckpoint ? bestFit(targets, slotsOf(job)) : nullptr;
        if (!target) {
            plan.unplaced.push_back(job.id);
            continue;
        }
        target->freeSlots -= slotsOf(job);
        plan.moves.push_back({job.id, target->host});
    }
    return plan;
}

} // namespace Planning
