#pragma once

#include "replication/voterset.h"
#include "utils/error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace App {

/*! \brief Identity of a control process in the replication group, stored on its disk. */
struct ControlIdentityRecord
{
    std::string processId;
    std::vector<Replication::Voter> firstVoters; //!< Voters used until the log names others.
};

/*! \brief Parameters for the start of a control process. */
struct ControlStart
{
    std::string dataFolder;
    bool firstStart = false; //!< Whether the whole system starts for the first time.
    Replication::Voter self; //!< This process, with the id that it has at a first start.
    std::vector<Replication::Voter> seeds;
    std::uint64_t nonce = 0; //!< Distinguishes a new id from earlier ones.
};

/*!
    \brief Returns the identity stored on the disk, or creates and stores a new one.

    At the first start of the whole system, the seeds are the voters. If a process finds its disk
    empty at a later start, its votes and log entries are lost. It then takes a new id, so that it
    cannot contradict its lost votes, and waits to be added as a voter.
*/
auto loadOrCreateIdentity(const ControlStart &start) -> Utils::Result<ControlIdentityRecord>;

} // namespace App
