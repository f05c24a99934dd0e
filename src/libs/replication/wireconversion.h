#pragma once

#include "applier.h"
#include "replicatedlog.h"

#include "ReplicationService.h"

#include <vector>

/*! Conversions between the types of the log and those of its wire messages. */
namespace Replication::Internal {

auto toWire(const std::vector<Entry> &entries) -> std::vector<Wire::ReplicaEntry>;
auto fromWire(const Wire::ReplicaEntry &entry) -> Entry;
auto toWire(const std::map<std::string, ProcessProgress> &progress)
    -> std::vector<Wire::ProcessApplied>;
auto toWire(const LogStatus &status) -> Wire::StatusReply;
auto fromWire(const Wire::StatusReply &reply) -> LogStatus;
/*! \brief Fills \a reply from \a part, with revision 0 if the snapshot is not available. */
auto fillSnapshotChunk(Wire::SnapshotChunk &reply, const SnapshotPart &part) -> void;
/*! \brief Throws Wire::WrongGroup if \a groupId is not \a expected. */
auto requireGroup(const std::string &groupId, const std::string &expected) -> void;
/*!
    \brief Throws Wire::WrongGroup if \a targetId is set and not \a expected, the id of this
    process.

    A voter that lost its disk returns under another id at the same address. It must not reply to
    messages for its former id, whose votes and entries it no longer has.
*/
auto requireTarget(const std::string &targetId, const std::string &expected) -> void;

} // namespace Replication::Internal
