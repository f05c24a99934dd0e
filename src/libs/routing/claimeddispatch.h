#pragma once

#include "claimsettler.h"
#include "dispatcher.h"

#include "fleet/gateway.h"

#include <atomic>

namespace Routing {

/*! \brief Identifies this process as the owner of claims and limits their number. */
struct ClaimOwner
{
    std::string process;
    std::int64_t incarnation = 0;
    std::int64_t claimLimit = 1'000'000;
};

/*!
    \brief Runs requests with an idempotency key at most once. Thread-safe.

    The claim of an idempotency key is committed to the replicated log before the first byte is
    sent to an endpoint. A resend through any process waits while the claimed request runs and
    gets the stored response, or the outcome unknown. The outcome not-run is returned only for a
    claim that this process owns and will not run; no other process can run it.
*/
class ClaimedDispatch
{
public:
    ClaimedDispatch(const Utils::Clock &clock,
                    Dispatcher &dispatcher,
                    Fleet::Gateway &gateway,
                    const Fleet::Replica &replica,
                    ClaimSettler &settler,
                    ClaimOwner owner);

    auto dispatch(const Request &request) -> Reply;

private:
    // A claim that is being submitted. It is uncertain if the outcome of a submission is unknown,
    // so that the claim may still be committed later.
    struct ClaimAttempt
    {
        Fleet::RequestClaim claim;
        bool uncertain = false;
    };

    auto newClaim(const Request &request) -> Fleet::RequestClaim;
    auto submitClaim(const Request &request, ClaimAttempt &claimAttempt) -> Utils::Result<void>;
    auto run(const Request &request, const ClaimAttempt &claimAttempt) -> Reply;
    auto abandonClaim(const ClaimAttempt &claimAttempt) -> void;
    auto refusedReply(const Request &request,
                      const ClaimAttempt &claimAttempt,
                      const Utils::Error &error) const -> Reply;
    auto waitForEarlierSend(const Request &request) const -> std::optional<Reply>;
    auto earlierReply(const Request &request) const -> std::optional<Reply>;
    auto remaining(const Request &request) const -> Utils::Milliseconds;

    const Utils::Clock &m_clock;
    Dispatcher &m_dispatcher;
    Fleet::Gateway &m_gateway;
    const Fleet::Replica &m_replica;
    ClaimSettler &m_settler;
    ClaimOwner m_owner;
    std::atomic<std::int64_t> m_lastAttempt = 0;
};

} // namespace Routing
