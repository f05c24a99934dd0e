#include "controlcommands.h"

#include <string_view>
#include <utility>

namespace Control {
namespace {

// Jobs of callers have no such ids.
constexpr std::string_view hostPrefix = "host ";
constexpr std::string_view poolPrefix = "pool ";

auto withoutPrefix(const std::string &text, std::string_view prefix) -> std::optional<std::string>
{
    if (!text.starts_with(prefix))
        return std::nullopt;
    return text.substr(prefix.size());
}

} // namespace

// Older builds ignore starts of jobs that they do not know. A record of one task could be taken for that of
// a lease.
auto encodeHostOrder(const RecordHostOrder &order) -> RecordStarts
{
    RecordStarts starts;
    starts.incarnation = order.incarnation;
    starts.tasks.push_back({std::string(hostPrefix) + order.host, order.wave, 0, 0});
    starts.tasks.push_back({std::string(poolPrefix) + order.pool, 0, 0, 0});
    return starts;
}

auto decodeHostOrder(const RecordStarts &starts) -> std::optional<RecordHostOrder>
{
    if (starts.tasks.size() != 2)
        return std::nullopt;
    const auto host = withoutPrefix(starts.tasks.front().job, hostPrefix);
    const auto pool = withoutPrefix(starts.tasks.back().job, poolPrefix);
    if (!host || !pool)
        return std::nullopt;
    return RecordHostOrder{*host, starts.incarnation, starts.tasks.front().occurrence, *pool};
}

// Older builds skip entries with keys that they do not know. A record of starts without tasks, or of a
// task without a job, changes nothing there.
auto encodeUnderStarts(Command &command) -> void
{
    if (const auto order = std::exchange(command.recordHostOrder, std::nullopt))
        command.recordStarts = encodeHostOrder(*order);
    if (const auto lease = std::exchange(command.recordLease, std::nullopt)) {
        auto &starts = command.recordStarts.emplace();
        starts.incarnation = lease->incarnation;
        if (lease->leftMs)
            starts.tasks.push_back({{}, *lease->leftMs, 0, 0});
    }
    if (std::exchange(command.beginTerm, std::nullopt))
        command.recordStarts.emplace();
}

auto decodeUnderStarts(Command &command) -> void
{
    if (!command.recordStarts)
        return;
    const auto &starts = *command.recordStarts;
    if (auto order = decodeHostOrder(starts)) {
        command.recordHostOrder = std::move(order);
        command.recordStarts.reset();
        return;
    }
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
