#include "state.h"

namespace Fleet {

auto State::findClaim(const std::string &customer, const std::string &key) const
    -> const RequestClaim *
{
    return m_claims.find(customer, key);
}

auto State::stateOf(const RequestClaim &claim) const -> ClaimState
{
    return m_claims.stateOf(claim, m_processes, m_timeMs);
}

auto State::run(const ClaimRequest &body, const Context &) -> Utils::Result<Change>
{
    BOOST_OUTCOME_TRY(m_claims.claim(body.claim, body.limit, m_processes, m_timeMs));
    return Change{body.claim.key, {}, {}, {}, {}, false};
}

auto State::run(const SettleClaim &body, const Context &) -> Utils::Result<Change>
{
    BOOST_OUTCOME_TRY(m_claims.settle(body));
    return Change{body.key, {}, {}, {}, {}, false};
}

auto State::run(const ExpireClaims &body, const Context &) -> Utils::Result<Change>
{
    m_claims.expire(body.retentionMs, m_processes, m_timeMs);
    return Change{{}, {}, {}, {}, {}, false};
}

} // namespace Fleet
