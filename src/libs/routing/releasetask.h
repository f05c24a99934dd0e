#pragma once

#include "dispatcher.h"

#include "fleet/gateway.h"

namespace Routing {

/*! \brief This process as the replicated state knows it. */
struct ProcessIdentity
{
    std::string id;
    std::string zone;
    std::int64_t incarnation = 0;
    Utils::Milliseconds routingLease{0};
};

/*!
    \brief Registers this process and releases draining hosts of its zone.

    A host is released once this process has applied the draining revision and has no
    request in flight there; the dispatcher sends nothing to a draining host.
*/
class ReleaseTask
{
public:
    ReleaseTask(Dispatcher &dispatcher,
                Fleet::Gateway &gateway,
                const Fleet::Replica &replica,
                ProcessIdentity identity);

    /*! \brief Registers the process if needed, then releases what it can. */
    auto runOnce() -> void;

private:
    auto registerProcess() -> bool;
    auto unreleasedHosts() const -> std::vector<Fleet::ReleaseHost>;
    auto release(Fleet::ReleaseHost command) -> void;

    Dispatcher &m_dispatcher;
    Fleet::Gateway &m_gateway;
    const Fleet::Replica &m_replica;
    ProcessIdentity m_identity;
};

} // namespace Routing
