#include "removedendpoints.h"

#include <string_view>
#include <utility>

namespace Control {
namespace {

// Jobs of callers have no such ids.
constexpr std::string_view endsName = "removed ends";
constexpr std::string_view drainingName = "removed draining";

} // namespace

// Older builds have to take the number in, too, so it is recorded as that of the end of no task.
auto commandsToAdd(const State &state, EndpointRecord record) -> std::vector<Command>
{
    std::vector<Command> commands(1);
    const auto incarnation = record.incarnation;
    const auto removed = state.removedEndpoints.find(incarnation.id);
    const auto returns = removed != state.removedEndpoints.end()
                         && removed->second.bornMs == incarnation.bornMs
                         && findEndpoint(state, incarnation) == nullptr;
    record.draining = record.draining || (returns && removed->second.draining);
    commands.front().addEndpoint = std::move(record);
    if (!returns || removed->second.recordedEnds == 0)
        return commands;
    auto &ends = commands.emplace_back().recordEnds.emplace();
    ends.incarnation = incarnation;
    ends.ends.push_back({removed->second.recordedEnds, {}, Jobs::TaskOutcome::Done});
    return commands;
}

namespace Internal {

// Two tasks, since a record of one could be taken for that of a lease.
auto saveRemoved(const State &state, std::vector<RecordStarts> &saved) -> void
{
    for (const auto &[id, removed] : state.removedEndpoints) {
        RecordStarts starts;
        starts.incarnation = {id, removed.bornMs};
        starts.tasks.push_back({std::string(endsName), removed.recordedEnds, 0, 0});
        starts.tasks.push_back({std::string(drainingName), removed.draining ? 1 : 0, 0, 0});
        saved.push_back(std::move(starts));
    }
}

auto restoreRemoved(State &state, const RecordStarts &saved) -> bool
{
    const auto isRemoved = saved.tasks.size() == 2 && saved.tasks.front().job == endsName
                           && saved.tasks.back().job == drainingName;
    if (!isRemoved)
        return false;
    // The time of the removal is not known; this one is later.
    auto &removed = state.removedEndpoints[saved.incarnation.id];
    removed.removedAt = state.appliedAt.value_or(Utils::Instant());
    removed.bornMs = saved.incarnation.bornMs;
    removed.recordedEnds = saved.tasks.front().occurrence;
    removed.draining = saved.tasks.back().occurrence != 0;
    return true;
}

} // namespace Internal
} // namespace Control
