#include "claimeddispatch.h"

#include <algorithm>

namespace Routing {
namespace {

using Utils::ErrorType;

constexpr Utils::Milliseconds retryInterval{50};
constexpr Utils::Milliseconds maximumClaimTimeout{5000};

auto fingerprintOf(const Request &request) -> std::string
{
    return Utils::sha256Hex(request.method + '\n' + request.service + '\n' + request.path + '\n'
                            + request.body);
}

auto toStoredResponse(const Reply &reply) -> std::optional<Fleet::StoredResponse>
{
    Fleet::StoredResponse answer;
    answer.status = reply.status;
    answer.contentType = reply.contentType;
    for (const auto &header : reply.headers)
        answer.headers.push_back({header.name, header.value});
    answer.body.data = reply.body;
    if (answer.size() > Fleet::ClaimTable::maximumResponseBytes)
        return std::nullopt;
    return answer;
}

auto toReply(const Fleet::StoredResponse &answer) -> Reply
{
    Reply reply;
    reply.outcome = Outcome::Ran;
    reply.status = int(answer.status);
    reply.contentType = answer.contentType;
    for (const auto &header : answer.headers)
        reply.headers.push_back({header.name, header.value});
    reply.body = answer.body.data;
    return reply;
}

auto claimOutcomeOf(Outcome outcome) -> Fleet::ClaimOutcome
{
    if (outcome == Outcome::Ran)
        return Fleet::ClaimOutcome::Answered;
    return outcome == Outcome::NotRun ? Fleet::ClaimOutcome::NotRun : Fleet::ClaimOutcome::Unknown;
}

auto settleCommand(const Fleet::RequestClaim &claim, Outcome outcome, bool uncertain)
    -> Fleet::SettleClaim
{
    Fleet::SettleClaim command;
    command.customer = claim.customer;
    command.key = claim.key;
    command.process = claim.process;
    command.incarnation = claim.incarnation;
    command.attempt = claim.attempt;
    command.outcome = claimOutcomeOf(outcome);
    command.fence = uncertain && outcome == Outcome::NotRun;
    return command;
}

} // namespace

ClaimedDispatch::ClaimedDispatch(const Utils::Clock &clock,
                                 Dispatcher &dispatcher,
                                 Fleet::Gateway &gateway,
                                 const Fleet::Replica &replica,
                                 ClaimSettler &settler,
                                 ClaimOwner owner)
    : m_clock(clock)
    , m_dispatcher(dispatcher)
    , m_gateway(gateway)
    , m_replica(replica)
    , m_settler(settler)
    , m_owner(std::move(owner))
{}

auto ClaimedDispatch::dispatch(const Request &request) -> Reply
{
    while (remaining(request) > Utils::Milliseconds(0)) {
        if (!m_settler.hasRoom())
            return Reply::notRun(ErrorType::Unavailable,
                                 "too many claims are waiting to be settled");
        ClaimAttempt claimAttempt{newClaim(request), false};
        const auto claimed = submitClaim(request, claimAttempt);
        if (claimed)
            return run(request, claimAttempt);
        if (claimAttempt.uncertain)
            abandonClaim(claimAttempt);
        if (claimed.error().type != ErrorType::Conflict)
            return refusedReply(request, claimAttempt, claimed.error());
        if (auto reply = waitForEarlierSend(request))
            return *reply;
    }
    return Reply::notRun(ErrorType::Timeout, "the deadline passed before the request was claimed");
}

auto ClaimedDispatch::newClaim(const Request &request) -> Fleet::RequestClaim
{
    Fleet::RequestClaim claim;
    claim.customer = request.customer;
    claim.key = request.idempotencyKey;
    claim.fingerprint = fingerprintOf(request);
    claim.process = m_owner.process;
    claim.incarnation = m_owner.incarnation;
    claim.attempt = ++m_lastAttempt;
    return claim;
}

auto ClaimedDispatch::submitClaim(const Request &request, ClaimAttempt &claimAttempt)
    -> Utils::Result<void>
{
    for (;;) {
        const auto timeout = std::min(maximumClaimTimeout, remaining(request));
        const auto result =
            m_gateway.execute(Fleet::ClaimRequest{claimAttempt.claim, m_owner.claimLimit},
                              {m_owner.process, "request " + request.id, {}, {}, timeout});
        if (result)
            return Utils::success();
        if (result.error().type != ErrorType::OutcomeUnknown)
            return result.error();
        claimAttempt.uncertain = true;
        if (remaining(request) <= retryInterval)
            return result.error();
        // The replicated state accepts the same attempt repeatedly, so resubmitting is safe.
        m_replica.waitForChange(m_replica.revision(), retryInterval);
    }
}

auto ClaimedDispatch::run(const Request &request, const ClaimAttempt &claimAttempt) -> Reply
{
    auto reply = m_dispatcher.dispatch(request);
    auto command = settleCommand(claimAttempt.claim, reply.outcome, claimAttempt.uncertain);
    if (reply.outcome == Outcome::Ran)
        command.answer = toStoredResponse(reply);
    m_settler.settle(std::move(command));
    return reply;
}

auto ClaimedDispatch::abandonClaim(const ClaimAttempt &claimAttempt) -> void
{
    m_settler.settleLater(settleCommand(claimAttempt.claim, Outcome::NotRun, true));
}

// Returns the reply to a request whose claim failed, which proves that this send did not run. An
// earlier send with the same idempotency key may have run.
auto ClaimedDispatch::refusedReply(const Request &request,
                                   const ClaimAttempt &claimAttempt,
                                   const Utils::Error &error) const -> Reply
{
    const auto ownClaim = m_replica.read([&](const Fleet::State &state) {
        const auto *claim = state.findClaim(request.customer, request.idempotencyKey);
        return claim && claim->process == m_owner.process
               && claim->incarnation == m_owner.incarnation
               && claim->attempt == claimAttempt.claim.attempt;
    });
    if (error.type != ErrorType::Mismatch && !ownClaim) {
        if (auto reply = earlierReply(request))
            return *reply;
    }
    if (error.type == ErrorType::OutcomeUnknown)
        return Reply::notRun(ErrorType::Timeout, "the request could not be claimed in time");
    return Reply::notRun(error.type, error.message, error.details);
}

auto ClaimedDispatch::waitForEarlierSend(const Request &request) const -> std::optional<Reply>
{
    for (;;) {
        const auto revision = m_replica.revision();
        const auto state = m_replica.read([&](const Fleet::State &fleet) {
            const auto *claim = fleet.findClaim(request.customer, request.idempotencyKey);
            return claim ? std::optional(fleet.stateOf(*claim)) : std::nullopt;
        });
        if (!state)
            return std::nullopt;
        const auto left = remaining(request);
        if (*state != Fleet::ClaimState::Claimed || left <= Utils::Milliseconds(0))
            return earlierReply(request);
        m_replica.waitForChange(revision, left);
    }
}

auto ClaimedDispatch::earlierReply(const Request &request) const -> std::optional<Reply>
{
    return m_replica.read([&](const Fleet::State &state) -> std::optional<Reply> {
        const auto *claim = state.findClaim(request.customer, request.idempotencyKey);
        if (!claim)
            return std::nullopt;
        if (claim->fingerprint != fingerprintOf(request))
            return Reply::notRun(ErrorType::Mismatch,
                                 "the idempotency key was used for another request");
        if (claim->answer)
            return toReply(*claim->answer);
        if (state.stateOf(*claim) == Fleet::ClaimState::ResponseNotStored)
            return Reply::unknown(
                "an earlier send of this request ran, but its response was too large to store");
        return Reply::unknown("an earlier send of this request may have run");
    });
}

auto ClaimedDispatch::remaining(const Request &request) const -> Utils::Milliseconds
{
    return request.deadline - m_clock.now();
}

} // namespace Routing
