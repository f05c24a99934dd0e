#pragma once

#include "dispatcher.h"

#include "fleet/gateway.h"

namespace Routing {

/*! \brief This process as the owner of claims. */
struct ClaimOwner
{
    std::string process;
    std::int64_t incarnation = 0;
};

/*!
    \brief Runs requests with an idempotency key at most once.

    The claim is committed before the first byte goes to an endpoint; a resend through any
    process gets the stored answer, or unknown.
*/
class ClaimedDispatch
{
public:
    ClaimedDispatch(Dispatcher &dispatcher,
                    Fleet::Gateway &gateway,
                    const Fleet::Replica &replica,
                    ClaimOwner owner);

    auto dispatch(const Request &request) -> Reply;

private:
    auto claim(const Request &request) -> Utils::Result<Fleet::CommandResult>;
    auto settle(const Request &request, const Reply &reply) -> Utils::Result<Fleet::CommandResult>;
    auto resendReply(const Request &request, const Utils::Error &error) const -> Reply;

    Dispatcher &m_dispatcher;
    Fleet::Gateway &m_gateway;
    const Fleet::Replica &m_replica;
    ClaimOwner m_owner;
};

} // namespace Routing
