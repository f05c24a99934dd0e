#pragma once

#include "fleet/gateway.h"
#include "fleet/replica.h"
#include "membership/endpointdirectory.h"

namespace Planning {

/*!
    \brief Reports hosts as failed or returned, according to the leases of their endpoints.

    Runs on the leader.
*/
class FailureWatch
{
public:
    FailureWatch(Fleet::Gateway &gateway,
                 const Fleet::Replica &replica,
                 const Membership::EndpointDirectory &directory,
                 const Utils::Clock &clock);

    auto runOnce() -> void;

private:
    struct HostReport
    {
        std::string host;
        bool failed = false;
        Utils::Milliseconds sinceLeaseEnd{0}; //!< Time since the last lease ended.
    };

    auto evaluateHost(const Fleet::Host &host, const Membership::Endpoint &last) const
        -> std::optional<HostReport>;

    Fleet::Gateway &m_gateway;
    const Fleet::Replica &m_replica;
    const Membership::EndpointDirectory &m_directory;
    const Utils::Clock &m_clock;
};

} // namespace Planning
