#pragma once

#include "contracttypes.h"

/*! Registration of the system's own processes in the replicated state. */
namespace Fleet {

/*! \brief A registered process; a restart of the process has a higher incarnation. */
struct ProcessRecord
{
    std::string id;
    std::string zone;
    std::int64_t incarnation = 0;
    std::int64_t routingLeaseMs = 0; //!< Time for which the process may route on stale information.
    WallTimeMs registeredMs = 0;
    Revision revision = 0;
};

using ProcessTable = std::map<std::string, ProcessRecord>;

template <typename Archive>
auto describe(Archive &archive, ProcessRecord &process) -> void
{
    archive.required("id", process.id);
    archive.required("zone", process.zone);
    archive.required("incarnation", process.incarnation);
    archive.optional("routing_lease_ms", process.routingLeaseMs);
    archive.optional("registered_ms", process.registeredMs);
    archive.optional("revision", process.revision);
}

} // namespace Fleet
