#include "disruptionledger.h"

#include <algorithm>
#include <array>

namespace Fleet {

namespace {

using Utils::EnumName;

constexpr WallTimeMs millisecondsPerSecond = 1000;

constexpr std::array budgetRuleNames{
    EnumName<BudgetRule>{BudgetRule::WithinLimits, "within-limits"},
    EnumName<BudgetRule>{BudgetRule::MaxUnavailableHosts, "max-unavailable-hosts"},
    EnumName<BudgetRule>{BudgetRule::BudgetHostS, "budget-host-s"},
    EnumName<BudgetRule>{BudgetRule::OverrunningStop, "overrunning-stop"},
};

// Rounds up, so that fractions of a second never permit an additional stop.
auto wholeSeconds(WallTimeMs durationMs) -> std::int64_t
{
    return (durationMs + millisecondsPerSecond - 1) / millisecondsPerSecond;
}

auto countsAsUnavailable(const DisruptionCharge &charge, WallTimeMs nowMs) -> bool
{
    return charge.untilMs == 0 || charge.soakUntilMs > nowMs;
}

auto ruleFor(const BudgetVerdict &verdict) -> BudgetRule
{
    const auto &status = verdict.status;
    if (!status.overrunningMove.empty())
        return BudgetRule::OverrunningStop;
    if (status.unavailableHosts + 1 + verdict.reserveHosts > verdict.terms.maxUnavailableHosts)
        return BudgetRule::MaxUnavailableHosts;
    const auto hostS =
        status.spentHostS + status.escrowHostS + verdict.worstCaseHostS + verdict.reserveHostS;
    return hostS > verdict.terms.budgetHostS ? BudgetRule::BudgetHostS : BudgetRule::WithinLimits;
}

} // namespace

auto enumNames(BudgetRule) -> std::span<const EnumName<BudgetRule>>
{
    return budgetRuleNames;
}

auto rackOf(const Host &host) -> std::string
{
    return host.zone + '/' + host.rack;
}

RackIndex::RackIndex(const std::map<std::string, Host> &hosts)
{
    for (const auto &[id, host] : hosts) {
        if (host.state == HostState::Serving)
            ++m_hostsByPoolAndRack[host.pool][rackOf(host)];
    }
}

auto RackIndex::largestRack(const Contract &contract, const Host *stopping) const -> std::int64_t
{
    std::map<std::string, std::int64_t> hostsByRack;
    for (const auto &[pool, racks] : m_hostsByPoolAndRack) {
        if (!contract.usesPool(pool))
            continue;
        for (const auto &[rack, hosts] : racks)
            hostsByRack[rack] += hosts;
    }
    if (stopping && stopping->state == HostState::Serving && contract.usesPool(stopping->pool))
        --hostsByRack[rackOf(*stopping)];
    std::int64_t largest = 0;
    for (const auto &[rack, hosts] : hostsByRack)
        largest = std::max(largest, hosts);
    return largest;
}

auto BudgetVerdict::explanation() const -> std::string
{
    const auto number = [](std::int64_t value) { return std::to_string(value); };
    if (rule == BudgetRule::OverrunningStop)
        return "move " + status.overrunningMove + " has passed its worst case";
    if (rule == BudgetRule::BudgetHostS) {
        return number(status.spentHostS) + " host-seconds spent, " + number(status.escrowHostS)
               + " held back, " + number(worstCaseHostS) + " asked for and " + number(reserveHostS)
               + " reserved for the loss of a rack of " + number(rackHosts)
               + " hosts pass budget_host_s " + number(terms.budgetHostS);
    }
    std::string text = number(status.unavailableHosts) + " hosts unavailable, 1 asked for and "
                       + number(reserveHosts) + " reserved for the loss of a rack";
    text += isGranted() ? " keep within" : " pass";
    text += " max_unavailable_hosts " + number(terms.maxUnavailableHosts);
    if (reserveHosts < rackHosts) {
        text += "; the limit leaves no room for a whole rack of " + number(rackHosts)
                + " hosts beside a stop, whose loss is reserved in host-seconds";
    }
    return text;
}

auto DisruptionLedger::checkStop(const Contract &contract,
                                 std::int64_t worstCaseHostS,
                                 std::int64_t rackHosts,
                                 WallTimeMs nowMs) const -> BudgetVerdict
{
    BudgetVerdict verdict;
    verdict.customer = contract.customer;
    verdict.status = status(contract, nowMs);
    verdict.terms = contract.disruption;
    verdict.worstCaseHostS = worstCaseHostS;
    verdict.rackHosts = rackHosts;
    const auto limitBesideThisStop =
        std::max<std::int64_t>(0, contract.disruption.maxUnavailableHosts - 1);
    verdict.reserveHosts = std::min(rackHosts, limitBesideThisStop);
    verdict.reserveHostS = rackHosts * failureReserveHostS;
    verdict.rule = ruleFor(verdict);
    return verdict;
}

auto DisruptionLedger::checkGrant(const Contract &contract,
                                  const Move &move,
                                  std::int64_t rackHosts,
                                  WallTimeMs nowMs) const -> Utils::Result<void>
{
    if (!contract.usesPool(move.fromPool))
        return Utils::success();
    const auto verdict = checkStop(contract, move.worstCaseHostS, rackHosts, nowMs);
    if (verdict.isGranted())
        return Utils::success();
    return Utils::failure(Utils::ErrorType::Refused,
                          "the contract of customer " + contract.customer + " forbids the stop by "
                              + std::string(Utils::nameOf(verdict.rule)),
                          verdict.explanation());
}

auto DisruptionLedger::openGrant(const Move &move, WallTimeMs nowMs) -> void
{
    m_grants[move.id] = {move.id, move.host, move.fromPool, move.worstCaseHostS, nowMs};
}

auto DisruptionLedger::closeGrant(const Move &move, WallTimeMs nowMs) -> void
{
    const auto found = m_grants.find(move.id);
    if (found == m_grants.end())
        return;
    const auto &grant = found->second;
    // The clock of a new leader may lag behind the clock of the leader that opened the grant.
    const auto untilMs = std::max(nowMs, grant.grantedMs);
    m_charges[grant.pool].push_back({grant.host, grant.grantedMs, untilMs, 0});
    m_grants.erase(found);
}

auto DisruptionLedger::hostFailed(const Host &host, WallTimeMs sinceMs) -> void
{
    auto &charges = m_charges[host.pool];
    auto fromMs = sinceMs;
    for (const auto &charge : charges) {
        if (charge.host != host.id)
            continue;
        if (charge.untilMs == 0)
            return;
        fromMs = std::max(fromMs, charge.untilMs);
    }
    charges.push_back({host.id, fromMs, 0, 0});
}

auto DisruptionLedger::hostReturned(const Host &host, WallTimeMs nowMs) -> void
{
    for (auto &[pool, charges] : m_charges) {
        for (auto &charge : charges) {
            if (charge.host != host.id || charge.untilMs != 0)
                continue;
            charge.untilMs = std::max(nowMs, charge.fromMs);
            charge.soakUntilMs = charge.untilMs + failureSoakMs;
        }
    }
}

auto DisruptionLedger::prune(WallTimeMs oldestMs) -> void
{
    for (auto &[pool, charges] : m_charges) {
        std::erase_if(charges, [oldestMs](const DisruptionCharge &charge) {
            return charge.untilMs != 0 && charge.untilMs < oldestMs
                   && charge.soakUntilMs < oldestMs;
        });
    }
}

auto DisruptionLedger::status(const Contract &contract, WallTimeMs nowMs) const -> BudgetStatus
{
    BudgetStatus status;
    const auto windowStart = nowMs - contract.disruption.windowS * millisecondsPerSecond;
    for (const auto &[id, grant] : m_grants) {
        if (!contract.usesPool(grant.pool))
            continue;
        const auto elapsedHostS = wholeSeconds(std::max<WallTimeMs>(0, nowMs - grant.grantedMs));
        ++status.unavailableHosts;
        status.escrowHostS += std::max(grant.escrowHostS, elapsedHostS);
        if (elapsedHostS > grant.escrowHostS)
            status.overrunningMove = grant.move;
    }
    WallTimeMs spentMs = 0;
    for (const auto &[pool, charges] : m_charges) {
        if (!contract.usesPool(pool))
            continue;
        for (const auto &charge : charges) {
            status.unavailableHosts += countsAsUnavailable(charge, nowMs) ? 1 : 0;
            const auto until = charge.untilMs == 0 ? nowMs : charge.untilMs;
            const auto from = std::max(charge.fromMs, windowStart);
            spentMs += std::max<WallTimeMs>(0, until - from);
        }
    }
    status.spentHostS = wholeSeconds(spentMs);
    return status;
}

} // namespace Fleet
