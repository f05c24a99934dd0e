#pragma once

#include "claimsettler.h"
#include "dispatcher.h"

#include "fleet/gateway.h"

#include <atomic>

namespace Routing {

/*! \brief This process as the owner of claims. */
struct ClaimOwner
{
    std::string process;
    std::int64_t incarnation = 0;
    std::int64_t claimLimit = 1'000'000;
};

/*!
    \brief Runs requests with an idempotency key at most once. Thread-safe.

    The claim is committed before the first byte goes to an endpoint. A resend through any
    process waits for a running claim and gets the stored answer, or unknown. Not-run is
    answered only for a claim that this process, its only owner, will not run.
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
    // The attempt's claim; uncertain once a submission of it may be committed later.
    struct Attempted
    {
        Fleet::RequestClaim claim;
        bool uncertain = false;
    };

    auto newClaim(const Request &request) -> Fleet::RequestClaim;
    auto submitClaim(const Request &request, Attempted &attempted) -> Utils::Result<void>;
    auto run(const Request &request, const Attempted &attempted) -> Reply;
    auto giveUp(const Attempted &attempted) -> void;
    auto refusedReply(const Request &request,
                      const Attempted &attempted,
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
