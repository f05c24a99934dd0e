#pragma once

#include "fleet/gateway.h"
#include "fleet/replica.h"
#include "membership/endpointdirectory.h"

namespace Planning {

/*! \brief Reports hosts as failed or returned from the leases of their endpoints; runs at the leader. */
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
        Utils::Milliseconds silence{0}; //!< Since the last lease ended.
    };

    auto judge(const Fleet::Host &host, const Membership::Endpoint &last) const
        -> std::optional<HostReport>;

    Fleet::Gateway &m_gateway;
    const Fleet::Replica &m_replica;
    const Membership::EndpointDirectory &m_directory;
    const Utils::Clock &m_clock;
};

} // namespace Planning
