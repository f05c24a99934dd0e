// Implements the part of Observer that answers other processes.
#include "observer.h"

#include "wireconversion.h"

#include <algorithm>

namespace Replication::Internal {
namespace {

constexpr std::uint64_t observeBytes = 1024 * 1024;

} // namespace

auto Observer::requestVote(Wire::VoteReply &reply, const Wire::VoteRequest &request) -> void
{
    requireGroup(request.groupId, m_options.groupId);
    reply.granted = false;
}

auto Observer::appendEntries(Wire::AppendReply &reply, const Wire::AppendRequest &request) -> void
{
    requireGroup(request.groupId, m_options.groupId);
    reply.accepted = false;
}

auto Observer::installSnapshot(Wire::SnapshotReply &reply, const Wire::SnapshotRequest &request)
    -> void
{
    requireGroup(request.groupId, m_options.groupId);
    reply.accepted = false;
}

auto Observer::takeLeadership(Wire::TransferReply &reply, const Wire::TransferRequest &request)
    -> void
{
    requireGroup(request.groupId, m_options.groupId);
    reply.accepted = false;
}

auto Observer::observe(Wire::ObserveReply &reply, const Wire::ObserveRequest &request) -> void
{
    requireGroup(request.groupId, m_options.groupId);
    const auto applied = Revision(request.appliedRevision);
    const auto wait =
        std::min(Utils::Milliseconds(request.waitMs), m_options.timing.electionTimeout);
    StateLock lock(m_mutex);
    m_changed.wait_for(
        lock, wait, [&] { return m_stopping || m_entries.lastRevision() > applied; });
    reply.commitRevision = std::int64_t(m_entries.lastRevision());
    reply.term = std::int64_t(m_term);
    reply.leaderId = m_leaderId;
    reply.quorumAgeMs = (m_clock.now() - m_quorumSeen).count();
    reply.snapshotNeeded = applied < m_entries.baseRevision();
    if (!reply.snapshotNeeded)
        reply.entries = toWire(m_entries.slice(applied, m_entries.lastRevision(), observeBytes));
}

auto Observer::readSnapshot(Wire::SnapshotChunk &reply, const Wire::SnapshotChunkRequest &request)
    -> void
{
    requireGroup(request.groupId, m_options.groupId);
    fillSnapshotChunk(
        reply, m_applier.snapshotPart(Revision(request.revision), std::uint64_t(request.offset)));
}

auto Observer::submit(Wire::SubmitReply &reply, const Wire::SubmitRequest &request) -> void
{
    requireGroup(request.groupId, m_options.groupId);
    Wire::SubmitResult refused;
    refused.status = Wire::SubmitStatus::NOT_LEADER;
    reply.results.assign(request.payloads.size(), refused);
    const StateLock lock(m_mutex);
    reply.leaderId = m_leaderId;
}

auto Observer::confirmRevision(Wire::ConfirmReply &reply, const Wire::ConfirmRequest &request)
    -> void
{
    requireGroup(request.groupId, m_options.groupId);
    reply.confirmed = false;
    const StateLock lock(m_mutex);
    reply.leaderId = m_leaderId;
}

auto Observer::status(Wire::StatusReply &reply, const Wire::StatusRequest &request) -> void
{
    requireGroup(request.groupId, m_options.groupId);
    reply = toWire(currentStatus());
}

auto Observer::replaceVoter(Wire::ReplaceVoterReply &reply,
                            const Wire::ReplaceVoterRequest &request) -> void
{
    requireGroup(request.groupId, m_options.groupId);
    reply.status = Wire::SubmitStatus::NOT_LEADER;
    const StateLock lock(m_mutex);
    reply.leaderId = m_leaderId;
}

} // namespace Replication::Internal
