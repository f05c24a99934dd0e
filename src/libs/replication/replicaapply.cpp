#include "replica.h"

#include "utils/log.h"

#include "utils/log.h"

#include <algorithm>

namespace Replication::Internal {
namespace {

constexpr std::uint64_t applyBytes = 1024 * 1024;
// Delay until the next attempt after a snapshot could not be written.
constexpr Utils::Milliseconds snapshotRetry{5000};

auto logSnapshotFailure(const Store::Snapshot &snapshot, const Utils::Error &error) -> void
{
    Utils::Log::warning(
        "replication",
        "could not store a snapshot, and will try again",
        {{"revision", snapshot.revision}, {"reason", error.message}, {"details", error.details}});
}

} // namespace

auto Replica::runApplier() -> void
{
    for (;;) {
        {
            StateLock lock(m_mutex);
            m_commitChanged.wait(
                lock, [this] { return m_stopping || m_commitRevision > m_appliedRevision; });
            if (m_stopping)
                return;
        }
        applyNext();
        saveSnapshotIfDue();
    }
}

auto Replica::applyNext() -> void
{
    const std::scoped_lock applying(m_applier.mutex());
    std::vector<Entry> entries;
    {
        const StateLock lock(m_mutex);
        entries = m_entries.slice(m_appliedRevision, m_commitRevision, applyBytes);
    }
    std::vector<std::string> replies;
    replies.reserve(entries.size());
    for (const auto &entry : entries)
        replies.push_back(m_applier.apply(entry));
    finishProposals(entries, std::move(replies));
}

auto Replica::finishProposals(const std::vector<Entry> &entries, std::vector<std::string> replies)
    -> void
{
    const StateLock lock(m_mutex);
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const auto found = m_proposals.find(entries[index].revision);
        if (found == m_proposals.end())
            continue;
        auto &proposal = *found->second;
        proposal.reply = std::move(replies[index]);
        proposal.state = proposal.entry.term == entries[index].term ? ProposalState::Committed
                                                                    : ProposalState::NotCommitted;
        m_proposals.erase(found);
    }
    if (!entries.empty())
        m_appliedRevision = entries.back().revision;
    if (m_role == Role::Leader && m_appliedRevision >= m_termStart)
        m_ready = true;
    m_appliedChanged.notify_all();
}

auto Replica::saveSnapshotIfDue() -> void
{
    {
        const StateLock lock(m_mutex);
        const auto due = m_appliedRevision - m_snapshotRevision >= m_options.snapshotEntries
                         && m_bytesSinceSnapshot >= m_snapshotBytes;
        if (!due || m_failed || m_clock.now() < m_snapshotRetryAt)
            return;
        m_snapshotRetryAt = m_clock.now() + snapshotRetry;
    }
    const auto snapshot = m_applier.takeSnapshot();
    {
        // Snapshots received from the leader are saved under the same mutex.
        const std::scoped_lock applying(m_applier.mutex());
        // On failure nothing is lost: the log still holds all entries of the snapshot.
        if (const auto saved = m_snapshots.save(*snapshot); !saved)
            return logSnapshotFailure(*snapshot, saved.error());
    }
    const std::scoped_lock disk(m_diskMutex);
    // Segments that could not be removed are removed after the next snapshot.
    if (const auto removed = m_segments.removeThrough(snapshot->revision); !removed)
        logSnapshotFailure(*snapshot, removed.error());
    const StateLock lock(m_mutex);
    m_snapshotRetryAt = {};
    m_snapshotRevision = snapshot->revision;
    m_snapshotBytes = snapshot->state.size();
    m_bytesSinceSnapshot = 0;
    if (snapshot->revision > m_options.keptEntries)
        m_entries.dropThrough(snapshot->revision - m_options.keptEntries);
    while (m_voterChanges.size() > 1 && m_voterChanges[1].revision <= snapshot->revision)
        m_voterChanges.erase(m_voterChanges.begin());
}

} // namespace Replication::Internal
