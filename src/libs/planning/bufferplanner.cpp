#include "bufferplanner.h"

#include <oneapi/tbb/parallel_for.h>

#include <algorithm>

namespace Planning {
namespace {

using Fleet::Host;
using Fleet::HostState;
using Fleet::WallTimeMs;

constexpr WallTimeMs millisecondsPerSecond = 1000;

// Hosts of one zone, collected in a single pass over the state.
struct ZoneHosts
{
    std::map<std::string, std::vector<const Host *>> byPool;
    bool hasOpenReassignment = false;
};

struct ZoneResult
{
    ZoneBuffer buffer;
    std::optional<Fleet::Move> move;
};

struct PlanningInput
{
    const Fleet::State &state;
    const DemandSource &demand;
    const BufferPolicy &policy;
    WallTimeMs nowMs = 0;
    std::map<std::string, std::int64_t> guaranteedByPool;
    std::map<std::string, std::int64_t> slotsByPool;
    std::int64_t paidSpareHosts = 0;
    std::int64_t spareHosts = 0;
};

auto isSpare(const PlanningInput &planning, const std::string &pool) -> bool
{
    const auto found = planning.state.pools().find(pool);
    return found != planning.state.pools().end() && found->second.spare;
}

auto groupByZone(PlanningInput &planning) -> std::map<std::string, ZoneHosts>
{
    std::map<std::string, ZoneHosts> zones;
    for (const auto &[id, host] : planning.state.hosts()) {
        auto &zone = zones[host.zone];
        zone.byPool[host.pool].push_back(&host);
        planning.slotsByPool[host.pool] += host.slots;
        const auto *move = host.move.empty() ? nullptr : planning.state.findMove(host.move);
        zone.hasOpenReassignment |= move && move->kind == Fleet::MoveKind::Reassign;
    }
    for (const auto &[zone, hosts] : zones) {
        for (const auto &[pool, members] : hosts.byPool)
            planning.spareHosts += isSpare(planning, pool) ? std::int64_t(members.size()) : 0;
    }
    for (const auto &[customer, contract] : planning.state.contracts()) {
        planning.paidSpareHosts += contract.spareHosts;
        for (const auto &terms : contract.services)
            planning.guaranteedByPool[terms.pool] += terms.guaranteedSlots;
    }
    return zones;
}

// Lowest and highest demand of a period; coversAll is set if the samples reach back to its start.
struct DemandRange
{
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
    bool coversAll = false;
};

auto rangeOf(const std::vector<DemandSample> &samples, WallTimeMs nowMs, std::int64_t seconds)
    -> DemandRange
{
    const auto startMs = nowMs - seconds * millisecondsPerSecond;
    DemandRange range;
    auto isFirst = true;
    for (const auto &sample : samples) {
        if (sample.atMs <= startMs) {
            range.coversAll = true;
            continue;
        }
        range.lowest = isFirst ? sample.slots : std::min(range.lowest, sample.slots);
        range.highest = std::max(range.highest, sample.slots);
        isFirst = false;
    }
    return range;
}

auto servingSlots(const std::vector<const Host *> &hosts) -> std::int64_t
{
    std::int64_t slots = 0;
    for (const auto *host : hosts)
        slots += host->state == HostState::Serving ? host->slots : 0;
    return slots;
}

auto bufferOf(const PlanningInput &planning,
              const PoolZone &poolZone,
              const std::vector<const Host *> &hosts) -> PoolBuffer
{
    PoolBuffer buffer;
    buffer.pool = poolZone.pool;
    buffer.spare = isSpare(planning, poolZone.pool);
    buffer.hosts = std::int64_t(hosts.size());
    buffer.servingSlots = servingSlots(hosts);
    std::int64_t zoneSlots = 0;
    for (const auto *host : hosts)
        zoneSlots += host->slots;
    const auto guaranteed = planning.guaranteedByPool.find(poolZone.pool);
    const auto poolSlots = planning.slotsByPool.at(poolZone.pool);
    if (guaranteed != planning.guaranteedByPool.end() && poolSlots > 0)
        buffer.guaranteedSlots = (guaranteed->second * zoneSlots + poolSlots - 1) / poolSlots;
    buffer.demandSlots =
        rangeOf(planning.demand.series(poolZone), planning.nowMs, planning.policy.smoothingS)
            .highest;
    buffer.requiredSlots = std::max(buffer.guaranteedSlots, buffer.demandSlots);
    return buffer;
}

// Sets the reserve to the most required slots that the loss of any one rack would take. Lost slots
// count only as far as the other racks of the pool cannot cover the slots that it requires.
auto setReserve(ZoneBuffer &zone, const ZoneHosts &hosts) -> void
{
    std::map<std::string, std::map<std::string, std::int64_t>> slotsByRackAndPool;
    for (const auto &[pool, members] : hosts.byPool) {
        for (const auto *host : members) {
            if (host->state == HostState::Serving)
                slotsByRackAndPool[host->rack][pool] += host->slots;
        }
    }
    for (const auto &[rack, slotsByPool] : slotsByRackAndPool) {
        std::int64_t lost = 0;
        for (const auto &buffer : zone.pools) {
            const auto inRack = slotsByPool.find(buffer.pool);
            if (inRack == slotsByPool.end())
                continue;
            const auto covered = std::min(buffer.requiredSlots, buffer.servingSlots);
            lost += std::max<std::int64_t>(0, covered - (buffer.servingSlots - inRack->second));
        }
        if (lost > zone.reserveSlots) {
            zone.reserveSlots = lost;
            zone.reserveRack = rack;
        }
    }
}

auto borrow(ZoneBuffer &zone) -> void
{
    for (auto &borrower : zone.pools) {
        if (borrower.spare)
            continue;
        auto missing = borrower.requiredSlots - borrower.servingSlots;
        for (auto &lender : zone.pools) {
            if (!lender.spare || missing <= 0)
                continue;
            const auto idle = lender.servingSlots - lender.requiredSlots + lender.borrowedSlots;
            const auto lent = std::clamp<std::int64_t>(missing, 0, std::max<std::int64_t>(0, idle));
            borrower.borrowedSlots += lent;
            lender.borrowedSlots -= lent;
            missing -= lent;
        }
    }
}

auto movableHost(const std::vector<const Host *> &hosts) -> const Host *
{
    const auto found = std::ranges::find_if(hosts, [](const Host *host) {
        return host->state == HostState::Serving && host->move.empty();
    });
    return found == hosts.end() ? nullptr : *found;
}

auto reassignment(const Host &host, const std::string &toPool) -> Fleet::Move
{
    Fleet::Move move;
    move.kind = Fleet::MoveKind::Reassign;
    move.host = host.id;
    move.toPool = toPool;
    move.worstCaseHostS = Fleet::plannedStopWorstCaseHostS;
    return move;
}

auto text(std::int64_t value) -> std::string
{
    return std::to_string(value);
}

// Returns a move of a spare host to a pool whose demand stayed above its serving slots for at least
// the time that a move takes, or std::nullopt.
auto moveForPeak(const PlanningInput &planning, const ZoneBuffer &zone, const ZoneHosts &hosts)
    -> std::optional<Fleet::Move>
{
    const auto &policy = planning.policy;
    for (const auto &buffer : zone.pools) {
        const auto range = rangeOf(
            planning.demand.series({zone.zone, buffer.pool}), planning.nowMs, policy.moveCostS);
        if (buffer.spare || !range.coversAll || range.lowest <= buffer.servingSlots)
            continue;
        for (const auto &donor : zone.pools) {
            const auto *host = donor.spare ? movableHost(hosts.byPool.at(donor.pool)) : nullptr;
            if (!host || donor.servingSlots - host->slots < donor.guaranteedSlots)
                continue;
            auto move = reassignment(*host, buffer.pool);
            move.reason = "demand of pool " + buffer.pool + " in zone " + zone.zone
                          + " was at least " + text(range.lowest) + " slots for "
                          + text(policy.moveCostS) + " s, above its " + text(buffer.servingSlots);
            move.cost = "one drain, and " + text(host->slots) + " slots of pool " + donor.pool;
            move.rule = "the peak outlasts the " + text(policy.moveCostS) + " s of a move";
            move.alternative = "borrowing " + text(buffer.borrowedSlots)
                               + " slots: rejected, since the peak lasts";
            return move;
        }
    }
    return std::nullopt;
}

auto moveToSparePool(const PlanningInput &planning, const ZoneBuffer &zone, const ZoneHosts &hosts)
    -> std::optional<Fleet::Move>
{
    if (planning.spareHosts >= planning.paidSpareHosts)
        return std::nullopt;
    const auto spare = std::ranges::find_if(planning.state.pools(),
                                            [](const auto &item) { return item.second.spare; });
    if (spare == planning.state.pools().end())
        return std::nullopt;
    const auto lowS = planning.policy.moveCostS * planning.policy.returnFactor;
    for (const auto &buffer : zone.pools) {
        const auto range =
            rangeOf(planning.demand.series({zone.zone, buffer.pool}), planning.nowMs, lowS);
        const auto *host = buffer.spare ? nullptr : movableHost(hosts.byPool.at(buffer.pool));
        // The pool must have twice the host's slots free, so that it does not need the host back at
        // once.
        if (!host || !range.coversAll
            || buffer.servingSlots - 2 * host->slots
                   < std::max(range.highest, buffer.guaranteedSlots))
            continue;
        auto move = reassignment(*host, spare->first);
        move.reason = "demand of pool " + buffer.pool + " in zone " + zone.zone + " was at most "
                      + text(range.highest) + " slots for " + text(lowS) + " s";
        move.cost = "one drain";
        move.rule = "spare pools have " + text(planning.spareHosts) + " of "
                    + text(planning.paidSpareHosts) + " hosts that contracts pay for";
        move.alternative = "leaving the host: rejected, since other pools then have less to borrow";
        return move;
    }
    return std::nullopt;
}

auto planZone(const PlanningInput &planning, const std::string &name, const ZoneHosts &hosts)
    -> ZoneResult
{
    ZoneResult result;
    result.buffer.zone = name;
    for (const auto &[pool, members] : hosts.byPool)
        result.buffer.pools.push_back(bufferOf(planning, {name, pool}, members));
    setReserve(result.buffer, hosts);
    borrow(result.buffer);
    if (hosts.hasOpenReassignment)
        return result;
    result.move = moveForPeak(planning, result.buffer, hosts);
    if (!result.move)
        result.move = moveToSparePool(planning, result.buffer, hosts);
    return result;
}

} // namespace

auto BufferPlan::requiredSlots() const -> std::map<std::string, std::int64_t>
{
    std::map<std::string, std::int64_t> required;
    for (const auto &zone : zones) {
        for (const auto &buffer : zone.pools)
            required[buffer.pool] += buffer.requiredSlots;
    }
    return required;
}

auto planBuffers(const Fleet::State &state,
                 const DemandSource &demand,
                 const BufferPolicy &policy,
                 WallTimeMs nowMs) -> BufferPlan
{
    PlanningInput planning{state, demand, policy, nowMs, {}, {}, 0, 0};
    const auto zones = groupByZone(planning);
    std::vector<const std::pair<const std::string, ZoneHosts> *> order;
    for (const auto &zone : zones)
        order.push_back(&zone);
    std::vector<ZoneResult> results(order.size());
    tbb::parallel_for(std::size_t(0), order.size(), [&](std::size_t index) {
        results[index] = planZone(planning, order[index]->first, order[index]->second);
    });
    BufferPlan plan;
    for (auto &result : results) {
        plan.zones.push_back(std::move(result.buffer));
        if (result.move)
            plan.moves.push_back(std::move(*result.move));
    }
    return plan;
}

} // namespace Planning
