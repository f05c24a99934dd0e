#pragma once

#include "dispatcher.h"

#include "fleet/gateway.h"

namespace Routing {

/*! \brief Identity under which this process is registered in the replicated state. */
struct ProcessIdentity
{
    std::string id;
    std::string zone;
    std::int64_t incarnation = 0;
    Utils::Milliseconds routingLease{0};
};

/*!
    \brief Registers this process and releases draining hosts of its zone.

    A host is released once this process has applied the log entry that started the drain and has
    no request in flight on the host; the dispatcher sends no requests to a draining host.
*/
class ReleaseTask
{
public:
    ReleaseTask(Dispatcher &dispatcher,
                Fleet::Gateway &gateway,
                const Fleet::Replica &replica,
                ProcessIdentity identity);

    /*! \brief Registers the process if needed, then releases hosts without requests in flight. */
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
