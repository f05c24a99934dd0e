#pragma once

#include "applier.h"
#include "replicatedlog.h"

#include "ReplicationService.h"

#include <vector>

/*! Conversions between the log's types and their messages. */
namespace Replication::Internal {

auto toWire(const std::vector<Entry> &entries) -> std::vector<Wire::ReplicaEntry>;
auto fromWire(const Wire::ReplicaEntry &entry) -> Entry;
auto toWire(const std::map<std::string, ProcessProgress> &progress)
    -> std::vector<Wire::ProcessApplied>;
auto toWire(const LogStatus &status) -> Wire::StatusReply;
auto fromWire(const Wire::StatusReply &reply) -> LogStatus;
/*! \brief Fills \a reply from \a part; revision 0 means that the snapshot is not kept. */
auto fillChunk(Wire::SnapshotChunk &reply, const SnapshotPart &part) -> void;
/*! \brief Throws Wire::WrongGroup if \a groupId is not \a expected. */
auto requireGroup(const std::string &groupId, const std::string &expected) -> void;
/*!
    \brief Throws Wire::WrongGroup if a message for \a targetId reached \a expected.

    A voter that lost its disk returns under another id at the same address; it must not answer for
    its former self. Messages without a target are for whoever receives them.
*/
auto requireTarget(const std::string &targetId, const std::string &expected) -> void;

} // namespace Replication::Internal
