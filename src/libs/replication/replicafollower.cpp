#include "replica.h"

#include "wireconversion.h"

#include "utils/log.h"

#include <algorithm>
#include <stdexcept>

namespace Replication::Internal {
namespace {

constexpr std::uint64_t observeBytes = 1024 * 1024;

} // namespace

// Called with m_diskMutex locked. Returns false if \a term is outdated, or if this process is
// stopping or cannot save the term.
auto Replica::acceptLeader(const std::string &leaderId, std::uint64_t term) -> bool
{
    StateLock lock(m_mutex);
    if (m_stopping || m_failed || term < m_vote.term)
        return false;
    if (term > m_vote.term) {
        lock.unlock();
        if (!saveVote({term, {}}))
            return false;
        lock.lock();
        stepDown("another voter leads in a higher term");
    } else if (m_role != Role::Follower) {
        stepDown("another voter leads");
    }
    const auto now = m_clock.now();
    m_leaderContact = now;
    delayElection(now);
    if (m_leaderId != leaderId) {
        m_leaderId = leaderId;
        m_workChanged.notify_all();
    }
    return true;
}

// Returns the revision after which the leader has to continue if the log does not contain the entry
// that precedes those of the request, otherwise std::nullopt.
auto Replica::mismatchRevision(const Wire::AppendRequest &request) const -> std::optional<Revision>
{
    const auto previous = Revision(request.previousRevision);
    if (previous > m_entries.lastRevision())
        return m_entries.lastRevision();
    if (previous < m_entries.baseRevision())
        return std::nullopt; // Entries before the base are committed.
    const auto term = m_entries.termAt(previous);
    if (term == std::uint64_t(request.previousTerm))
        return std::nullopt;
    auto revision = previous;
    while (revision > std::max(m_entries.baseRevision(), m_commitRevision)
           && m_entries.termAt(revision) == term)
        --revision;
    return revision;
}

auto Replica::newEntries(const Wire::AppendRequest &request) const -> std::vector<Entry>
{
    std::vector<Entry> entries;
    for (const auto &wireEntry : request.entries) {
        const auto revision = Revision(wireEntry.revision);
        if (entries.empty() && revision <= m_entries.baseRevision())
            continue;
        if (entries.empty() && m_entries.termAt(revision) == std::uint64_t(wireEntry.term))
            continue;
        entries.push_back(fromWire(wireEntry));
    }
    return entries;
}

// Called with m_mutex locked. Returns the entries up to \a through that are only in memory, since
// an earlier write by this process as the leader failed.
auto Replica::unsyncedRecords(Revision through) const -> std::vector<Store::LogRecord>
{
    std::vector<Store::LogRecord> records;
    const auto synced = std::max(m_syncedRevision, m_entries.baseRevision());
    if (synced >= through)
        return records;
    for (auto &entry : m_entries.slice(synced, through, UINT64_MAX))
        records.push_back(
            {entry.revision, entry.term, std::uint32_t(entry.kind), std::move(entry.payload)});
    return records;
}

// Called with m_diskMutex locked. Writes unsynced entries up to \a matched and the new \a entries,
// which replace all entries from the revision of the first new one on.
auto Replica::appendToLog(Revision matched, std::vector<Entry> entries) -> bool
{
    std::vector<Store::LogRecord> records;
    {
        const StateLock lock(m_mutex);
        records = unsyncedRecords(entries.empty() ? matched : entries.front().revision - 1);
    }
    for (const auto &entry : entries)
        records.push_back({entry.revision, entry.term, std::uint32_t(entry.kind), entry.payload});
    if (records.empty())
        return true;
    if (const auto written = m_segments.append(records); !written) {
        handleStorageFailure(written.error());
        return false;
    }
    const StateLock lock(m_mutex);
    handleDiskWritten();
    m_syncedRevision = records.back().revision;
    if (entries.empty())
        return true;
    const auto first = entries.front().revision;
    m_entries.truncateFrom(first);
    while (m_voterChanges.size() > 1 && m_voterChanges.back().revision >= first)
        m_voterChanges.pop_back();
    for (auto &entry : entries) {
        m_bytesSinceSnapshot += entry.payload.size();
        if (entry.kind == EntryKind::Voters)
            setVoters(entry.revision, decodeVoters(entry.payload).value());
        m_entries.append(std::move(entry));
    }
    updatePeers();
    return true;
}

auto Replica::appendEntries(Wire::AppendReply &reply, const Wire::AppendRequest &request) -> void
{
    requireServing(request.groupId);
    requireTarget(request.targetId, m_options.processId);
    const std::scoped_lock disk(m_diskMutex);
    const auto accepted = acceptLeader(request.leaderId, std::uint64_t(request.term));
    StateLock lock(m_mutex);
    reply.term = std::int64_t(m_vote.term);
    reply.accepted = false;
    reply.lastRevision = std::int64_t(m_entries.lastRevision());
    reply.appliedRevision = std::int64_t(m_appliedRevision);
    if (!accepted) {
        if (std::uint64_t(request.term) > m_vote.term)
            throwIfDiskFull();
        return;
    }
    m_quorumSeen = std::max(m_quorumSeen, m_clock.now() - Utils::Milliseconds(request.quorumAgeMs));
    if (const auto continueAfter = mismatchRevision(request)) {
        reply.lastRevision = std::int64_t(*continueAfter);
        return;
    }
    auto entries = newEntries(request);
    if (!entries.empty() && entries.front().revision <= m_commitRevision) {
        Utils::Log::error("replication",
                          "refused to replace a committed entry",
                          {{"revision", entries.front().revision}, {"leader", request.leaderId}});
        return;
    }
    const auto matched = Revision(request.previousRevision) + request.entries.size();
    lock.unlock();
    const auto appended = appendToLog(matched, std::move(entries));
    lock.lock();
    if (!appended) {
        throwIfDiskFull();
        return;
    }
    const auto commit = std::min(Revision(request.commitRevision), matched);
    if (commit > m_commitRevision) {
        m_commitRevision = commit;
        m_commitChanged.notify_all();
    }
    if (m_appliedRevision >= Revision(request.commitRevision))
        m_ready = true;
    reply.accepted = true;
    reply.lastRevision = std::int64_t(matched);
    reply.observers = takeObserverReports();
}

// Called with m_mutex locked. Throws, so that the leader retries after a heartbeat as if the
// message was lost. A reply that is not accepted would mean to the leader that the logs differ.
auto Replica::throwIfDiskFull() const -> void
{
    if (m_diskFull)
        throw std::runtime_error("cannot write to the disk");
}

auto Replica::takeObserverReports() -> std::vector<Wire::ProcessApplied>
{
    const auto now = m_clock.now();
    std::vector<Wire::ProcessApplied> reports;
    for (auto &[id, observer] : m_observers) {
        if (std::exchange(observer.reported, true))
            continue;
        auto &report = reports.emplace_back();
        report.processId = id;
        report.appliedRevision = std::int64_t(observer.appliedRevision);
        report.ageMs = (now - observer.lastReportAt).count();
    }
    return reports;
}

auto Replica::installSnapshot(Wire::SnapshotReply &reply, const Wire::SnapshotRequest &request)
    -> void
{
    requireServing(request.groupId);
    requireTarget(request.targetId, m_options.processId);
    const std::scoped_lock applying(m_applier.mutex());
    const std::scoped_lock disk(m_diskMutex);
    const auto accepted = acceptLeader(request.leaderId, std::uint64_t(request.term));
    StateLock lock(m_mutex);
    reply.term = std::int64_t(m_vote.term);
    reply.accepted = false;
    if (!accepted)
        return;
    const auto revision = Revision(request.revision);
    if (request.offset == 0)
        m_incomingSnapshot =
            Store::Snapshot{revision, std::uint64_t(request.revisionTerm), request.voters, {}};
    if (!m_incomingSnapshot || m_incomingSnapshot->revision != revision
        || m_incomingSnapshot->state.size() != std::size_t(request.offset))
        return;
    m_incomingSnapshot->state += request.data;
    if (!request.last) {
        reply.accepted = true;
        return;
    }
    const auto snapshot = std::move(*m_incomingSnapshot);
    m_incomingSnapshot.reset();
    const auto covered = snapshot.revision <= m_appliedRevision;
    lock.unlock();
    reply.accepted = covered || restoreSnapshot(snapshot);
}

// Called with the applier's mutex and m_diskMutex locked.
auto Replica::restoreSnapshot(const Store::Snapshot &snapshot) -> bool
{
    // The snapshot is saved first: without it, the log would have a gap before later entries at the
    // next start.
    if (const auto saved = m_snapshots.save(snapshot); !saved) {
        handleStorageFailure(saved.error());
        return false;
    }
    auto restored = m_segments.reset();
    if (restored)
        restored = m_applier.restore(snapshot);
    if (!restored) {
        // The disk is ahead of the state in memory, so that the process has to restart.
        handleStorageFailure(
            {Utils::ErrorType::IoFailure, restored.error().message, restored.error().details});
        return false;
    }
    const StateLock lock(m_mutex);
    m_entries.reset(snapshot.revision, snapshot.term);
    m_syncedRevision = snapshot.revision;
    m_commitRevision = std::max(m_commitRevision, snapshot.revision);
    m_appliedRevision = snapshot.revision;
    m_snapshotRevision = snapshot.revision;
    m_snapshotBytes = snapshot.state.size();
    m_bytesSinceSnapshot = 0;
    m_voterChanges = {{snapshot.revision, m_applier.voters()}};
    updatePeers();
    for (auto &[revision, proposal] : m_proposals)
        proposal->state = ProposalState::Unknown;
    m_proposals.clear();
    m_appliedChanged.notify_all();
    m_commitChanged.notify_all();
    return true;
}

auto Replica::observe(Wire::ObserveReply &reply, const Wire::ObserveRequest &request) -> void
{
    requireServing(request.groupId);
    const auto applied = Revision(request.appliedRevision);
    const auto wait =
        std::min(Utils::Milliseconds(request.waitMs), m_options.timing.electionTimeout);
    StateLock lock(m_mutex);
    m_observers[request.observerId] = {applied, m_clock.now(), false};
    m_commitChanged.wait_for(lock, wait, [&] { return m_stopping || m_commitRevision > applied; });
    reply.commitRevision = std::int64_t(m_commitRevision);
    reply.term = std::int64_t(m_vote.term);
    reply.leaderId = m_leaderId;
    const auto now = m_clock.now();
    reply.quorumAgeMs =
        (now - (m_role == Role::Leader ? majorityConfirmedAt() : m_quorumSeen)).count();
    reply.snapshotNeeded = applied < m_entries.baseRevision();
    if (!reply.snapshotNeeded)
        reply.entries = toWire(m_entries.slice(applied, m_commitRevision, observeBytes));
}

auto Replica::readSnapshot(Wire::SnapshotChunk &reply, const Wire::SnapshotChunkRequest &request)
    -> void
{
    requireServing(request.groupId);
    const auto part =
        m_applier.snapshotPart(Revision(request.revision), std::uint64_t(request.offset));
    fillSnapshotChunk(reply, part);
}

} // namespace Replication::Internal
