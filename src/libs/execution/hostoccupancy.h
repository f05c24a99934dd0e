#pragma once

#include "ports.h"
#include "runledger.h"

#include <set>
#include <string>

namespace Execution {

/*!
    \brief Tells which hosts run nothing, from the ledger and a list of hosts that may be older.

    An endpoint that has restarted under another id, or has just come up, is not in the list yet. As
    long as one of a pool holds tasks, it may be on any host whose listed endpoint is not known.
*/
class HostOccupancy
{
public:
    /*! \brief Keeps a reference to \a ledger only. */
    HostOccupancy(const RunLedger &ledger, const HostList &hosts);

    /*! \brief Returns true if no task runs on \a host, nor may from an earlier leader's time. */
    auto isEmpty(const HostInfo &host) const -> bool;

private:
    const RunLedger &m_ledger;
    std::set<std::string> m_unlistedPools; //!< With tasks on endpoints that no listed host runs.
};

} // namespace Execution
