#include "state.h"

#include "statelookup.h"

#include <algorithm>

namespace Fleet {

using Utils::ErrorType;
using Utils::failure;
using namespace Internal;

namespace {

auto claimId(const std::string &customer, const std::string &key) -> std::string
{
    return customer + '\n' + key;
}

} // namespace

auto State::findClaim(const std::string &customer, const std::string &key) const
    -> const RequestClaim *
{
    return findIn(m_claims, claimId(customer, key));
}

auto State::run(const ClaimRequest &body, const Context &context) -> Utils::Result<Change>
{
    const auto id = claimId(body.claim.customer, body.claim.key);
    if (const auto *present = findIn(m_claims, id)) {
        if (present->fingerprint != body.claim.fingerprint)
            return failure(ErrorType::Mismatch, "the idempotency key was used for another request");
        return failure(ErrorType::Conflict,
                       "the request is already claimed",
                       std::string(Utils::nameOf(present->state)));
    }
    auto &claim = m_claims[id] = body.claim;
    claim.state = ClaimState::Claimed;
    claim.createdMs = context.command.timeMs;
    return Change{body.claim.key, body.claim.customer, {}, {}, {}, true};
}

auto State::run(const SettleClaim &body, const Context &) -> Utils::Result<Change>
{
    const auto id = claimId(body.customer, body.key);
    auto *claim = findIn(m_claims, id);
    if (!claim || claim->state != ClaimState::Claimed)
        return failure(ErrorType::NotFound, "no such open claim", body.key);
    if (claim->process != body.process || claim->attempt != body.attempt)
        return failure(ErrorType::Conflict, "another process holds the claim", claim->process);
    if (body.notRun) {
        m_claims.erase(id);
    } else if (body.answer) {
        claim->state = ClaimState::Answered;
        claim->answer = body.answer;
    } else {
        claim->state = ClaimState::Unknown;
    }
    return Change{body.key, body.customer, {}, {}, {}, true};
}

} // namespace Fleet
