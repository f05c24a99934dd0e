#include "controlcommands.h"

#include <utility>

namespace Control {

// Older builds skip entries with keys that they do not know. A record of starts without tasks, or of a
// task without a job, changes nothing there.
auto encodeLeases(Command &command) -> void
{
    if (const auto lease = std::exchange(command.recordLease, std::nullopt)) {
        auto &starts = command.recordStarts.emplace();
        starts.incarnation = lease->incarnation;
        if (lease->leftMs)
            starts.tasks.push_back({{}, *lease->leftMs, 0, 0});
    }
    if (std::exchange(command.beginTerm, std::nullopt))
        command.recordStarts.emplace();
}

auto decodeLeases(Command &command) -> void
{
    if (!command.recordStarts)
        return;
    const auto &starts = *command.recordStarts;
    const auto leaseLeft = starts.tasks.size() == 1 && starts.tasks.front().job.empty();
    if (!starts.tasks.empty() && !leaseLeft)
        return;
    if (starts.incarnation.id.empty()) {
        command.beginTerm.emplace();
    } else {
        auto &lease = command.recordLease.emplace();
        lease.incarnation = starts.incarnation;
        if (leaseLeft)
            lease.leftMs = starts.tasks.front().occurrence;
    }
    command.recordStarts.reset();
}

} // namespace Control
