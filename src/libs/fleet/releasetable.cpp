#include "releasetable.h"

#include <algorithm>

namespace Fleet {
namespace {

auto longestRoutingLease(const ProcessTable &processes) -> WallTimeMs
{
    WallTimeMs longest = 0;
    for (const auto &[id, process] : processes)
        longest = std::max(longest, process.routingLeaseMs);
    return longest;
}

auto joined(std::span<const std::string> names) -> std::string
{
    std::string text;
    for (const auto &name : names)
        text += (text.empty() ? "" : ", ") + name;
    return text;
}

} // namespace

auto ReleaseTable::checkReleased(const Move &move,
                                 const Host &host,
                                 const ProcessTable &processes,
                                 WallTimeMs nowMs) const -> Utils::Result<void>
{
    const auto remainingMs = move.changedMs + longestRoutingLease(processes) - nowMs;
    if (remainingMs > 0) {
        return Utils::failure(Utils::ErrorType::Refused,
                              "the drain has not lasted the routing lease",
                              std::to_string(remainingMs) + " ms remain");
    }
    const auto found = m_releases.find(move.id);
    if (found != m_releases.end() && !found->second.overriddenBy.empty())
        return Utils::success();
    const auto missing = missingProcesses(move, host, processes);
    if (missing.empty())
        return Utils::success();
    return Utils::failure(
        Utils::ErrorType::Refused, "processes have not released the host", joined(missing));
}

auto ReleaseTable::missingProcesses(const Move &move,
                                    const Host &host,
                                    const ProcessTable &processes) const -> std::vector<std::string>
{
    std::vector<std::string> missing;
    for (const auto &[id, process] : processes) {
        if (process.zone == host.zone && !isReleasedBy(move.id, process))
            missing.push_back(id);
    }
    return missing;
}

auto ReleaseTable::isReleasedBy(const std::string &move, const ProcessRecord &process) const -> bool
{
    const auto found = m_releases.find(move);
    if (found == m_releases.end())
        return false;
    const auto released = found->second.incarnations.find(process.id);
    return released != found->second.incarnations.end() && released->second == process.incarnation;
}

auto ReleaseTable::release(const std::string &move,
                           const std::string &process,
                           std::int64_t incarnation) -> void
{
    m_releases[move].incarnations[process] = incarnation;
}

auto ReleaseTable::overrideRelease(const std::string &move, const std::string &actor) -> void
{
    m_releases[move].overriddenBy = actor;
}

} // namespace Fleet
