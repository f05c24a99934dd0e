#pragma once

#include "replication/voterset.h"
#include "utils/error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace App {

/*! \brief Who a control process is in the replication group, kept on its disk. */
struct ControlIdentityRecord
{
    std::string processId;
    std::vector<Replication::Voter> firstVoters; //!< In force until the log names others.
};

/*! \brief What a control process starts from. */
struct ControlStart
{
    std::string dataFolder;
    bool firstStart = false; //!< The whole system starts for the first time.
    Replication::Voter self; //!< With the plain id of this address.
    std::vector<Replication::Voter> seeds;
    std::uint64_t nonce = 0; //!< Makes a new identity differ from former ones.
};

/*!
    \brief Returns the identity on the disk, or makes a new one durable.

    On the first start of the whole system the seeds are the voters. A process that finds its disk
    empty later has forgotten its promises: it takes a new id and waits to be added.
*/
auto loadOrCreateIdentity(const ControlStart &start) -> Utils::Result<ControlIdentityRecord>;

} // namespace App
