#include "wireconversion.h"

namespace Replication::Internal {

auto toWire(const std::vector<Entry> &entries) -> std::vector<Wire::ReplicaEntry>
{
    std::vector<Wire::ReplicaEntry> result(entries.size());
    for (std::size_t index = 0; index < entries.size(); ++index) {
        result[index].revision = std::int64_t(entries[index].revision);
        result[index].term = std::int64_t(entries[index].term);
        result[index].payload = entries[index].payload;
        result[index].kind = std::int32_t(entries[index].kind);
    }
    return result;
}

auto fromWire(const Wire::ReplicaEntry &entry) -> Entry
{
    return {
        Revision(entry.revision), std::uint64_t(entry.term), entry.payload, EntryKind(entry.kind)};
}

auto toWire(const std::map<std::string, ProcessProgress> &progress)
    -> std::vector<Wire::ProcessApplied>
{
    std::vector<Wire::ProcessApplied> result;
    for (const auto &[id, process] : progress) {
        auto &applied = result.emplace_back();
        applied.processId = id;
        applied.appliedRevision = std::int64_t(process.appliedRevision);
        applied.ageMs = process.age.count();
    }
    return result;
}

auto toWire(const LogStatus &status) -> Wire::StatusReply
{
    Wire::StatusReply reply;
    reply.leads = status.role == Role::Leader;
    reply.leaderId = status.leaderId;
    reply.term = std::int64_t(status.term);
    reply.commitRevision = std::int64_t(status.commitRevision);
    reply.appliedRevision = std::int64_t(status.appliedRevision);
    reply.hasQuorum = status.hasQuorum;
    reply.progress = toWire(status.progress);
    return reply;
}

auto fromWire(const Wire::StatusReply &reply) -> LogStatus
{
    LogStatus status;
    status.role = reply.leads ? Role::Leader : Role::Follower;
    status.leaderId = reply.leaderId;
    status.term = std::uint64_t(reply.term);
    status.commitRevision = Revision(reply.commitRevision);
    status.appliedRevision = Revision(reply.appliedRevision);
    status.hasQuorum = reply.hasQuorum;
    status.ready = true;
    for (const auto &process : reply.progress) {
        status.progress[process.processId] = {Revision(process.appliedRevision),
                                              Utils::Milliseconds(process.ageMs)};
    }
    return status;
}

auto fillSnapshotChunk(Wire::SnapshotChunk &reply, const SnapshotPart &part) -> void
{
    reply.revision = 0;
    if (!part.snapshot)
        return;
    reply.revision = std::int64_t(part.snapshot->revision);
    reply.term = std::int64_t(part.snapshot->term);
    reply.voters = part.snapshot->voters;
    reply.data = std::string(part.data);
    reply.last = part.last;
}

auto requireGroup(const std::string &groupId, const std::string &expected) -> void
{
    if (groupId == expected)
        return;
    Wire::WrongGroup wrongGroup;
    wrongGroup.groupId = expected;
    throw wrongGroup;
}

auto requireTarget(const std::string &targetId, const std::string &expected) -> void
{
    if (!targetId.empty())
        requireGroup(targetId, expected);
}

} // namespace Replication::Internal
