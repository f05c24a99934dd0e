#pragma once

#include "ports.h"
#include "runledger.h"

#include <set>
#include <string>

namespace Execution {

/*!
    \brief Determines which hosts run no tasks, from the ledger and a possibly older list of hosts.

    An endpoint that has just started, or has restarted under another id, is not in the list yet.
    While such an endpoint of a pool holds tasks, it may be on any host of the pool whose listed
    endpoint is unknown or does not reply to polls.
*/
class HostOccupancy
{
public:
    /*! \brief Creates the object, which keeps a reference to \a ledger but none to \a hosts. */
    HostOccupancy(const RunLedger &ledger, const HostList &hosts);

    /*! \brief Returns true if no task runs on \a host, including tasks of an earlier leader. */
    auto isEmpty(const HostInfo &host) const -> bool;

private:
    const RunLedger &m_ledger;
    //! Pools that have tasks on endpoints missing from the list.
    std::set<std::string> m_unlistedPools;
};

} // namespace Execution
