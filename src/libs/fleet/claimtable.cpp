#include "claimtable.h"

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

template <typename Left, typename Right>
auto isSameAttempt(const Left &left, const Right &right) -> bool
{
    return left.process == right.process && left.incarnation == right.incarnation
           && left.attempt == right.attempt;
}

auto hasNewerOwnerIncarnation(const RequestClaim &claim, const ProcessTable &processes) -> bool
{
    const auto *process = findIn(processes, claim.process);
    return process && process->incarnation > claim.incarnation;
}

} // namespace

auto ClaimTable::find(const std::string &customer, const std::string &key) const
    -> const RequestClaim *
{
    return findIn(m_claims, claimId(customer, key));
}

auto ClaimTable::stateOf(const RequestClaim &claim,
                         const ProcessTable &processes,
                         WallTimeMs nowMs) const -> ClaimState
{
    if (claim.state != ClaimState::Claimed)
        return claim.state;
    const auto ownerIsGone =
        hasNewerOwnerIncarnation(claim, processes) || claim.createdMs + maximumRunMs < nowMs;
    return ownerIsGone ? ClaimState::Unknown : ClaimState::Claimed;
}

auto ClaimTable::claim(const RequestClaim &wanted,
                       std::int64_t limit,
                       const ProcessTable &processes,
                       WallTimeMs nowMs) -> Utils::Result<void>
{
    const auto id = claimId(wanted.customer, wanted.key);
    if (isFenced(wanted))
        return failure(ErrorType::Refused, "the attempt was given up", wanted.key);
    if (auto *existing = findIn(m_claims, id))
        return checkExistingClaim(*existing, wanted, processes, nowMs);
    if (hasNewerOwnerIncarnation(wanted, processes))
        return failure(
            ErrorType::Refused, "a later incarnation of the process is registered", wanted.process);
    if (std::int64_t(m_claims.size()) >= limit)
        return failure(ErrorType::LimitReached, "the limit of claims is reached");
    auto &claim = m_claims[id] = wanted;
    claim.state = ClaimState::Claimed;
    claim.answer.reset();
    claim.createdMs = nowMs;
    return Utils::success();
}

auto ClaimTable::checkExistingClaim(RequestClaim &existing,
                                    const RequestClaim &wanted,
                                    const ProcessTable &processes,
                                    WallTimeMs nowMs) -> Utils::Result<void>
{
    if (existing.fingerprint != wanted.fingerprint)
        return failure(ErrorType::Mismatch, "the idempotency key was used for another request");
    existing.state = stateOf(existing, processes, nowMs);
    if (existing.state == ClaimState::Claimed && isSameAttempt(existing, wanted))
        return Utils::success();
    return failure(ErrorType::Conflict,
                   "the request is already claimed",
                   std::string(Utils::nameOf(existing.state)));
}

auto ClaimTable::settle(const SettleClaim &command) -> Utils::Result<void>
{
    if (command.fence)
        fence(command);
    const auto id = claimId(command.customer, command.key);
    auto *claim = findIn(m_claims, id);
    if (!claim || !isSameAttempt(*claim, command)) {
        // The claim was released before or never made, as when a release is sent again.
        if (command.outcome == ClaimOutcome::NotRun)
            return Utils::success();
        return failure(ErrorType::NotFound, "the attempt holds no claim", command.key);
    }
    const auto hasResponse =
        claim->state == ClaimState::Answered || claim->state == ClaimState::ResponseNotStored;
    if (hasResponse)
        return Utils::success();
    if (command.outcome == ClaimOutcome::NotRun)
        erase(id);
    else if (command.outcome == ClaimOutcome::Answered)
        storeResponse(*claim, command.answer);
    else
        claim->state = ClaimState::Unknown;
    return Utils::success();
}

auto ClaimTable::storeResponse(RequestClaim &claim, const std::optional<StoredResponse> &answer)
    -> void
{
    const auto size = answer ? answer->size() : 0;
    if (!answer || size > maximumResponseBytes
        || m_responseBytes + size > maximumTotalResponseBytes) {
        claim.state = ClaimState::ResponseNotStored;
        return;
    }
    claim.state = ClaimState::Answered;
    claim.answer = answer;
    m_responseBytes += size;
}

auto ClaimTable::erase(const std::string &id) -> void
{
    const auto found = m_claims.find(id);
    if (found->second.answer)
        m_responseBytes -= found->second.answer->size();
    m_claims.erase(found);
}

auto ClaimTable::expire(WallTimeMs retentionMs, const ProcessTable &processes, WallTimeMs nowMs)
    -> void
{
    auto next = m_claims.upper_bound(m_expiryCursor);
    for (auto step = 0; step < claimsPerExpiry && next != m_claims.end(); ++step) {
        const auto current = next++;
        m_expiryCursor = current->first;
        auto &claim = current->second;
        claim.state = stateOf(claim, processes, nowMs);
        if (claim.state != ClaimState::Claimed && claim.createdMs + retentionMs < nowMs)
            erase(std::string(current->first));
    }
    if (next == m_claims.end())
        m_expiryCursor.clear();
}

auto ClaimTable::fence(const SettleClaim &command) -> void
{
    auto &fenced = m_fenced[command.process];
    if (command.incarnation < fenced.incarnation)
        return;
    if (command.incarnation > fenced.incarnation)
        fenced = {command.incarnation, {}};
    auto &attempts = fenced.attempts;
    const auto position = std::ranges::lower_bound(attempts, command.attempt);
    if (position == attempts.end() || *position != command.attempt)
        attempts.insert(position, command.attempt);
    if (attempts.size() > maximumFencedAttempts)
        attempts.erase(attempts.begin());
}

auto ClaimTable::isFenced(const RequestClaim &wanted) const -> bool
{
    const auto *fenced = findIn(m_fenced, wanted.process);
    return fenced && fenced->incarnation == wanted.incarnation
           && std::ranges::binary_search(fenced->attempts, wanted.attempt);
}

auto ClaimTable::processStarted(const std::string &process, std::int64_t incarnation) -> void
{
    const auto *fenced = findIn(m_fenced, process);
    if (fenced && fenced->incarnation < incarnation)
        m_fenced.erase(process);
}

} // namespace Fleet
