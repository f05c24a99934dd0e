#include "disruptionledger.h"

#include <algorithm>

namespace Fleet {

namespace {
constexpr WallTimeMs millisecondsPerSecond = 1000;
}

auto DisruptionLedger::grant(const Contract &contract, const Move &move, WallTimeMs nowMs) const
    -> Utils::Result<void>
{
    if (!contract.usesPool(move.fromPool))
        return Utils::success();
    const auto current = status(contract, nowMs);
    const auto &terms = contract.disruption;
    if (current.unavailableHosts + 1 > terms.maxUnavailableHosts) {
        return Utils::failure(Utils::ErrorType::Refused,
                              "max_unavailable_hosts of customer " + contract.customer
                                  + " would be passed",
                              std::to_string(current.unavailableHosts) + " unavailable of "
                                  + std::to_string(terms.maxUnavailableHosts));
    }
    const auto spent = current.spentHostS + current.escrowHostS;
    if (spent + move.worstCaseHostS > terms.budgetHostS) {
        return Utils::failure(Utils::ErrorType::Refused,
                              "budget_host_s of customer " + contract.customer + " would be passed",
                              std::to_string(spent) + " spent or held back, "
                                  + std::to_string(move.worstCaseHostS) + " asked for, of "
                                  + std::to_string(terms.budgetHostS));
    }
    return Utils::success();
}

auto DisruptionLedger::open(const Move &move, WallTimeMs nowMs) -> void
{
    m_grants[move.id] = {move.id, move.host, move.fromPool, move.worstCaseHostS, nowMs};
}

auto DisruptionLedger::close(const Move &move, WallTimeMs nowMs) -> void
{
    const auto found = m_grants.find(move.id);
    if (found == m_grants.end())
        return;
    m_charges.push_back({found->second.host, found->second.pool, found->second.grantedMs, nowMs});
    m_grants.erase(found);
}

auto DisruptionLedger::hostFailed(const Host &host, WallTimeMs nowMs) -> void
{
    m_charges.push_back({host.id, host.pool, nowMs, 0});
}

auto DisruptionLedger::hostReturned(const Host &host, WallTimeMs nowMs) -> void
{
    for (auto &charge : m_charges) {
        if (charge.host == host.id && charge.untilMs == 0)
            charge.untilMs = nowMs;
    }
}

auto DisruptionLedger::status(const Contract &contract, WallTimeMs nowMs) const -> BudgetStatus
{
    BudgetStatus status;
    const auto windowStart = nowMs - contract.disruption.windowS * millisecondsPerSecond;
    for (const auto &[id, grant] : m_grants) {
        if (!contract.usesPool(grant.pool))
            continue;
        ++status.unavailableHosts;
        status.escrowHostS += grant.escrowHostS;
    }
    for (const auto &charge : m_charges) {
        if (!contract.usesPool(charge.pool))
            continue;
        status.unavailableHosts += charge.untilMs == 0 ? 1 : 0;
        const auto until = charge.untilMs == 0 ? nowMs : charge.untilMs;
        const auto from = std::max(charge.fromMs, windowStart);
        status.spentHostS += std::max<WallTimeMs>(0, until - from) / millisecondsPerSecond;
    }
    return status;
}

} // namespace Fleet
