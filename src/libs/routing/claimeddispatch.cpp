#include "claimeddispatch.h"

#include "utils/log.h"

namespace Routing {
namespace {

constexpr std::int64_t firstAttempt = 1;

auto fingerprintOf(const Request &request) -> std::string
{
    return Utils::sha256Hex(request.method + '\n' + request.service + '\n' + request.path + '\n'
                            + request.body);
}

auto toReply(const Fleet::StoredAnswer &answer) -> Reply
{
    Reply reply;
    reply.outcome = Outcome::Ran;
    reply.status = int(answer.status);
    reply.contentType = answer.contentType;
    reply.body = answer.body.data;
    return reply;
}

} // namespace

ClaimedDispatch::ClaimedDispatch(Dispatcher &dispatcher,
                                 Fleet::Gateway &gateway,
                                 const Fleet::Replica &replica,
                                 ClaimOwner owner)
    : m_dispatcher(dispatcher)
    , m_gateway(gateway)
    , m_replica(replica)
    , m_owner(std::move(owner))
{}

auto ClaimedDispatch::dispatch(const Request &request) -> Reply
{
    const auto claimed = claim(request);
    if (!claimed)
        return resendReply(request, claimed.error());
    auto reply = m_dispatcher.dispatch(request);
    if (const auto settled = settle(request, reply); !settled) {
        Utils::Log::warning("routing",
                            "the answer of a claimed request could not be stored",
                            {{"request", request.id}, {"reason", settled.error().message}});
    }
    return reply;
}

auto ClaimedDispatch::claim(const Request &request) -> Utils::Result<Fleet::CommandResult>
{
    Fleet::ClaimRequest command;
    command.claim.customer = request.customer;
    command.claim.key = request.idempotencyKey;
    command.claim.fingerprint = fingerprintOf(request);
    command.claim.process = m_owner.process;
    command.claim.incarnation = m_owner.incarnation;
    command.claim.attempt = firstAttempt;
    return m_gateway.execute(std::move(command),
                             {m_owner.process, "request " + request.id, {}, {}});
}

auto ClaimedDispatch::settle(const Request &request, const Reply &reply)
    -> Utils::Result<Fleet::CommandResult>
{
    Fleet::SettleClaim command;
    command.customer = request.customer;
    command.key = request.idempotencyKey;
    command.process = m_owner.process;
    command.attempt = firstAttempt;
    command.notRun = reply.outcome == Outcome::NotRun;
    if (reply.outcome == Outcome::Ran)
        command.answer = Fleet::StoredAnswer{reply.status, reply.contentType, {reply.body}};
    return m_gateway.execute(std::move(command),
                             {m_owner.process, "request " + request.id, {}, {}});
}

auto ClaimedDispatch::resendReply(const Request &request, const Utils::Error &error) const -> Reply
{
    if (error.type != Utils::ErrorType::Conflict)
        return Reply::notRun(error.type, error.message, error.details);
    return m_replica.read([&](const Fleet::State &state) {
        const auto *claim = state.findClaim(request.customer, request.idempotencyKey);
        if (claim && claim->state == Fleet::ClaimState::Answered && claim->answer)
            return toReply(*claim->answer);
        return Reply::unknown("an earlier send of this request may have run");
    });
}

} // namespace Routing
