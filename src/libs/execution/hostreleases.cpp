// Implements the part of HostMovePlan that closes endpoints, so that their hosts can move.
#include "hostmoveplan.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Execution {

auto closeAndOpen(const HostMoves &moves, RunLedger &ledger) -> void
{
    for (const auto &endpoint : moves.close)
        ledger.setClosed(endpoint, true);
    for (const auto &endpoint : moves.evacuate)
        ledger.evacuate(endpoint);
    for (const auto &endpoint : moves.open)
        ledger.setClosed(endpoint, false);
}

// Closes as many endpoints as each pool is to release, and reopens closed endpoints that the pool
// may keep.
auto HostMovePlan::releaseHosts(std::span<const Scheduling::Release> releases,
                                const Control::Configuration &configuration,
                                RunLedger &ledger,
                                Utils::Instant now,
                                HostMoves &moves) -> void
{
    std::erase_if(m_releasing, [&](const auto &id) { return !ledger.endpoints().contains(id); });
    for (const auto &pool : configuration.pools) {
        Scheduling::Release wanted{pool.name};
        for (const auto &release : releases) {
            wanted.count += release.pool == pool.name ? release.count : 0;
            wanted.evacuated += release.pool == pool.name ? release.evacuated : 0;
        }
        releaseHostsOf(wanted, ledger, now, moves);
    }
}

// Chooses among endpoints without long-running tasks, and among those whose tasks have places elsewhere.
auto HostMovePlan::releaseHostsOf(Scheduling::Release wanted,
                                  RunLedger &ledger,
                                  Utils::Instant now,
                                  HostMoves &moves) -> void
{
    std::vector<const EndpointEntry *> evacuating;
    std::vector<const EndpointEntry *> open;
    // One at a time: the next pass tells whether more are needed.
    auto mayOpenForTask = true;
    for (const auto &[id, endpoint] : ledger.endpoints()) {
        // A host that has crashed is not there to move.
        if (endpoint.record.pool != wanted.pool || !endpoint.answers)
            continue;
        if (!m_releasing.contains(id)) {
            if (!endpoint.isClosed() && !endpoint.draining && !ledger.isKeptFree(id)
                && !ledger.isToBeOpened(id))
                open.push_back(&endpoint);
            continue;
        }
        if (mayOpenForTask && ledger.isToBeOpened(id)) {
            mayOpenForTask = false;
            reopen(id, moves);
            continue;
        }
        if (endpoint.holdsLongRunning()) {
            evacuating.push_back(&endpoint);
            continue;
        }
        auto &left = wanted.count > 0 ? wanted.count : wanted.evacuated;
        if (left-- <= 0)
            reopen(id, moves);
    }
    std::ranges::stable_sort(open, {}, [](const auto *endpoint) {
        return std::pair(endpoint->runs.longRunning(), endpoint->runs.size());
    });
    wanted.count -= evacuate(wanted, evacuating, open, ledger, now, moves);
    for (const auto *endpoint : open) {
        if (endpoint->holdsLongRunning() || wanted.count-- <= 0)
            break;
        m_releasing.insert(endpoint->record.incarnation.id);
        moves.close.push_back(endpoint->record.incarnation.id);
    }
}

// Goes on with the endpoints that are being evacuated, and begins with others. Returns how many of them count for
// the hosts without long-running tasks: closing an endpoint may change of which kind the pool is to release.
auto HostMovePlan::evacuate(const Scheduling::Release &wanted,
                            std::span<const EndpointEntry *const> evacuating,
                            std::span<const EndpointEntry *const> open,
                            RunLedger &ledger,
                            Utils::Instant now,
                            HostMoves &moves) -> std::int64_t
{
    const auto evacuated = std::max<std::int64_t>(0, wanted.evacuated);
    const auto asOthers =
        std::min(std::max<std::int64_t>(0, wanted.count), std::int64_t(evacuating.size()));
    std::vector<std::string> chosen;
    if (evacuated + asOthers > 0) {
        std::vector<const EndpointEntry *> candidates(evacuating.begin(), evacuating.end());
        const auto largest = largestCapacity(ledger.endpoints());
        // A smaller host may not be able to run what waits.
        std::ranges::copy_if(open, std::back_inserter(candidates), [&](const auto *endpoint) {
            return endpoint->holdsLongRunning() && largest.fitsInto(endpoint->record.capacity);
        });
        chosen = ledger.evacuable(wanted.pool, candidates, evacuated + asOthers, now);
    }
    for (const auto *endpoint : evacuating) {
        const auto &id = endpoint->record.incarnation.id;
        if (std::ranges::find(chosen, id) == chosen.end())
            reopen(id, moves);
    }
    for (const auto &id : chosen) {
        if (m_releasing.insert(id).second)
            moves.close.push_back(id);
        moves.evacuate.push_back(id);
    }
    return std::max<std::int64_t>(0, std::int64_t(chosen.size()) - evacuated);
}

auto HostMovePlan::reopen(const std::string &endpoint, HostMoves &moves) -> void
{
    m_releasing.erase(endpoint);
    moves.open.push_back(endpoint);
}

} // namespace Execution
