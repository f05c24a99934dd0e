#pragma once

#include "voterset.h"

#include "store/filesystem.h"
#include "utils/clock.h"
#include "wire/socketfactory.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Replication {

/*! \brief Times of the replication protocol, which must be the same in all processes of a group. */
struct ReplicationTiming
{
    Utils::Milliseconds electionTimeout{600};
    Utils::Milliseconds heartbeat{100};
    Utils::Milliseconds commitNotice{20}; //!< Delay until a commit is reported without new entries.
    Utils::Milliseconds callTimeout{500}; //!< Time-out of one call to a peer.
};

/*! \brief Another observer of the zone, from which committed entries can be read. */
struct ZonePeer
{
    std::string id;
    std::string address;
};

/*! \brief Options of a process in a replication group. */
struct ReplicaOptions
{
    std::string groupId = "control";
    std::string processId;
    std::string zone;
    std::string dataFolder; //!< Folder of the log, the snapshots and the vote; only used by voters.
    std::vector<Voter> voters; //!< Initial voters, until a snapshot or log entry replaces them.
    std::vector<ZonePeer> zonePeers; //!< Other observers of the zone; only used by observers.
    ReplicationTiming timing;
    //! Terms that this process begins are multiples of this number, which leaves room between two terms.
    std::uint64_t termStep = 1;
    std::uint64_t snapshotEntries = 256; //!< Minimum number of entries between two snapshots.
    std::uint64_t keptEntries = 1024;    //!< Entries kept in memory for lagging processes.
    std::uint64_t segmentBytes = 8 * 1024 * 1024;
    std::uint64_t seed = 0; //!< Seed of the random election delays.
    /*!
        \brief Forwards what is submitted here to the leader, and accepts what others forward.

        Without it, only the leader commits, and in the term alone in which it was submitted.
    */
    bool forwards = true;
    Store::FileSystem *files = &Store::posixFileSystem();
    Wire::SocketFactory *sockets = &Wire::tcpSocketFactory();
    /*! \brief Called after a write that may be incomplete; the process aborts if this is empty. */
    std::function<void(const Utils::Error &)> onStorageFailure;
};

/*! \brief Name of the replication service on the peers' listener. */
inline constexpr auto serviceName = "replication";

} // namespace Replication
