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

/*! \brief Times of the replication protocol; the same in all processes of a group. */
struct ReplicationTiming
{
    Utils::Milliseconds electionTimeout{600};
    Utils::Milliseconds heartbeat{100};
    Utils::Milliseconds commitNotice{20}; //!< Followers hear of a commit within this time.
    Utils::Milliseconds callTimeout{500}; //!< Of one call to a peer.
};

/*! \brief Another process that may serve committed entries. */
struct ZonePeer
{
    std::string id;
    std::string address;
};

/*! \brief What a process needs to take part in a replication group. */
struct ReplicaOptions
{
    std::string groupId = "control";
    std::string processId;
    std::string zone;
    std::string dataFolder;          //!< Voters only.
    std::vector<Voter> voters;       //!< In force until the log names others.
    std::vector<ZonePeer> zonePeers; //!< Observers only: other observers of the zone.
    ReplicationTiming timing;
    std::uint64_t snapshotEntries = 256; //!< Entries between two snapshots at least.
    std::uint64_t keptEntries = 1024;    //!< Kept in memory for processes behind.
    std::uint64_t segmentBytes = 8 * 1024 * 1024;
    std::uint64_t seed = 0; //!< Of the election's random delays.
    Store::FileSystem *files = &Store::posixFileSystem();
    Wire::SocketFactory *sockets = &Wire::tcpSocketFactory();
    /*! \brief Called when the log cannot be written; by default ends the process. */
    std::function<void(const Utils::Error &)> onStorageFailure;
};

/*! \brief The name of the replication service on the peers' listener. */
inline constexpr auto serviceName = "replication";

} // namespace Replication
