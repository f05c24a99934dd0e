#include "replica.h"

#include "wireconversion.h"

#include "wire/peerclient.h"

#include <algorithm>

namespace Replication::Internal {
namespace {

constexpr std::uint64_t appendBytes = 1024 * 1024;

} // namespace

auto Replica::runPeer(ReplicaPeer &peer) -> void
{
    Connection connection(*m_options.sockets, {peer.voter.id, peer.voter.address}, serviceName);
    StateLock lock(m_mutex);
    while (!m_stopping && !peer.removed) {
        const auto now = m_clock.now();
        const auto wake = wakeTime(peer, now);
        if (hasBallotFor(peer))
            sendVoteRequest(lock, peer, connection);
        else if (wake <= now && m_entries.baseRevision() >= peer.nextRevision)
            sendSnapshot(lock, peer, connection);
        else if (wake <= now)
            replicate(lock, peer, connection);
        else
            m_workChanged.wait_for(lock, wake - now);
    }
}

auto Replica::hasBallotFor(const ReplicaPeer &peer) const -> bool
{
    return m_ballot.open && peer.ballot != m_ballot.number;
}

auto Replica::wakeTime(const ReplicaPeer &peer, Utils::Instant now) const -> Utils::Instant
{
    if (m_role != Role::Leader)
        return now + m_options.timing.electionTimeout;
    if (peer.retryAt > now)
        return peer.retryAt;
    if (peer.nextRevision <= m_entries.lastRevision())
        return now;
    // Messages with new entries also report the commit revision. A separate message reports it only
    // if no entries follow within commitNotice.
    if (peer.acknowledgedCommit < m_entries.lastRevision()) {
        const auto notice = peer.sentAt + m_options.timing.commitNotice;
        if (notice > now)
            return std::min(notice, peer.nextSend);
        if (peer.acknowledgedCommit < m_commitRevision)
            return now;
    }
    return peer.nextSend;
}

auto Replica::replicate(StateLock &lock, ReplicaPeer &peer, Connection &connection) -> void
{
    const auto sentAt = m_clock.now();
    const auto sentSinceBoot = m_clock.sinceBoot();
    const auto request = appendRequestFor(peer, sentAt);
    peer.sentAt = sentAt;
    lock.unlock();
    const auto reply = connection.call<Wire::AppendReply>(
        m_options.timing.callTimeout,
        [&](auto &client, auto &response) { client.appendEntries(response, request); });
    if (reply && reply.value().term > request.term)
        adoptTerm(std::uint64_t(reply.value().term));
    lock.lock();
    const auto now = m_clock.now();
    if (!reply) {
        peer.retryAt = now + m_options.timing.heartbeat;
        return;
    }
    peer.lastReportAt = now;
    if (!stillLeads(std::uint64_t(request.term)) || reply.value().term != request.term)
        return;
    peer.nextSend = sentAt + m_options.timing.heartbeat;
    peer.confirmedAt = sentAt;
    peer.confirmedSinceBoot = sentSinceBoot;
    if (reply.value().accepted)
        peer.acknowledgedCommit = Revision(request.commitRevision);
    handleAppendReply(peer, reply.value());
}

auto Replica::appendRequestFor(const ReplicaPeer &peer, Utils::Instant now) const
    -> Wire::AppendRequest
{
    const auto previous = peer.nextRevision - 1;
    Wire::AppendRequest request;
    request.groupId = m_options.groupId;
    request.leaderId = m_options.processId;
    request.targetId = peer.voter.id;
    request.term = std::int64_t(m_vote.term);
    request.previousRevision = std::int64_t(previous);
    request.previousTerm = std::int64_t(m_entries.termAt(previous).value_or(0));
    request.commitRevision = std::int64_t(m_commitRevision);
    request.entries = toWire(m_entries.slice(previous, m_entries.lastRevision(), appendBytes));
    request.quorumAgeMs = (now - majorityConfirmedAt()).count();
    return request;
}

auto Replica::handleAppendReply(ReplicaPeer &peer, const Wire::AppendReply &reply) -> void
{
    const auto now = m_clock.now();
    peer.appliedRevision = Revision(reply.appliedRevision);
    for (const auto &observer : reply.observers) {
        auto &known = m_observers[observer.processId];
        known.appliedRevision = std::max(known.appliedRevision, Revision(observer.appliedRevision));
        known.lastReportAt =
            std::max(known.lastReportAt, now - Utils::Milliseconds(observer.ageMs));
    }
    const auto last = Revision(reply.lastRevision);
    if (reply.accepted) {
        peer.matchRevision = std::max(peer.matchRevision, last);
        peer.nextRevision = peer.matchRevision + 1;
        advanceCommit();
    } else {
        peer.nextRevision = std::max<Revision>(1, std::min(peer.nextRevision - 1, last + 1));
        peer.nextSend = {};
    }
    m_peersConfirmed.notify_all();
}

auto Replica::sendSnapshot(StateLock &lock, ReplicaPeer &peer, Connection &connection) -> void
{
    const auto term = m_vote.term;
    std::uint64_t offset = 0;
    Revision revision = 0;
    while (!m_stopping && stillLeads(term)) {
        const auto sentAt = m_clock.now();
        const auto sentSinceBoot = m_clock.sinceBoot();
        lock.unlock();
        const auto part = m_applier.snapshotPart(revision, offset);
        Wire::SnapshotRequest request;
        if (part.snapshot) {
            request.groupId = m_options.groupId;
            request.leaderId = m_options.processId;
            request.targetId = peer.voter.id;
            request.term = std::int64_t(term);
            request.revision = std::int64_t(part.snapshot->revision);
            request.revisionTerm = std::int64_t(part.snapshot->term);
            request.offset = std::int64_t(offset);
            request.data = std::string(part.data);
            request.last = part.last;
            request.voters = part.snapshot->voters;
        }
        const auto reply = connection.call<Wire::SnapshotReply>(
            m_options.timing.callTimeout,
            [&](auto &client, auto &response) { client.installSnapshot(response, request); });
        lock.lock();
        if (!part.snapshot || !reply || !reply.value().accepted) {
            peer.retryAt = m_clock.now() + m_options.timing.heartbeat;
            return;
        }
        peer.confirmedAt = sentAt;
        peer.confirmedSinceBoot = sentSinceBoot;
        revision = part.snapshot->revision;
        offset += part.data.size();
        if (!part.last)
            continue;
        peer.matchRevision = std::max(peer.matchRevision, revision);
        peer.nextRevision = revision + 1;
        return;
    }
}

auto Replica::stillLeads(std::uint64_t term) const -> bool
{
    return m_role == Role::Leader && m_vote.term == term;
}

auto Replica::propose(std::string payload, EntryKind kind) -> std::shared_ptr<Proposal>
{
    if (m_role != Role::Leader || m_transferring || m_stopping || m_failed)
        return nullptr;
    auto proposal = std::make_shared<Proposal>();
    proposal->entry.payload = std::move(payload);
    proposal->entry.kind = kind;
    m_queue.push_back(proposal);
    m_queueChanged.notify_one();
    return proposal;
}

auto Replica::runWriter() -> void
{
    for (;;) {
        {
            StateLock lock(m_mutex);
            m_queueChanged.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
            if (m_stopping)
                return;
        }
        const std::scoped_lock disk(m_diskMutex);
        std::deque<std::shared_ptr<Proposal>> batch;
        {
            const StateLock lock(m_mutex);
            batch.swap(m_queue);
        }
        writeProposals(std::move(batch));
    }
}

// Called with m_diskMutex locked. The entries are sent to followers while they are synced here.
auto Replica::writeProposals(std::deque<std::shared_ptr<Proposal>> batch) -> void
{
    std::vector<Store::LogRecord> records;
    {
        const StateLock lock(m_mutex);
        m_writingSince = m_clock.now();
        records = unsyncedRecords(m_entries.lastRevision());
        if (m_role != Role::Leader) {
            for (const auto &proposal : batch)
                proposal->state = ProposalState::NotCommitted;
            m_writingSince = {};
            m_appliedChanged.notify_all();
            return;
        }
        for (const auto &proposal : batch) {
            auto &entry = proposal->entry;
            entry.revision = m_entries.lastRevision() + 1;
            entry.term = m_vote.term;
            m_entries.append(entry);
            m_proposals[entry.revision] = proposal;
            if (entry.kind == EntryKind::Voters)
                setVoters(entry.revision, decodeVoters(entry.payload).value());
            records.push_back(
                {entry.revision, entry.term, std::uint32_t(entry.kind), entry.payload});
            m_bytesSinceSnapshot += entry.payload.size();
        }
        m_workChanged.notify_all();
    }
    const auto written = m_segments.append(records);
    if (!written)
        handleStorageFailure(written.error());
    const StateLock lock(m_mutex);
    m_writingSince = {};
    if (!written)
        return;
    handleDiskWritten();
    if (!records.empty())
        m_syncedRevision = records.back().revision;
    if (m_role == Role::Leader)
        advanceCommit();
}

auto Replica::advanceCommit() -> void
{
    std::vector<Revision> synced;
    for (const auto &voter : voters().voters) {
        const auto peer = m_peers.find(voter.id);
        if (peer != m_peers.end())
            synced.push_back(peer->second->matchRevision);
        else if (voter.id == m_options.processId)
            synced.push_back(m_syncedRevision);
    }
    if (synced.size() < voters().majority())
        return;
    std::ranges::sort(synced, std::greater<>());
    const auto revision = synced[voters().majority() - 1];
    if (revision <= m_commitRevision || m_entries.termAt(revision) != m_vote.term)
        return;
    m_commitRevision = revision;
    m_commitChanged.notify_all();
    m_peersConfirmed.notify_all();
}

auto Replica::majorityConfirmedAt() const -> Utils::Instant
{
    std::vector<Utils::Instant> confirmed;
    for (const auto &voter : voters().voters) {
        const auto peer = m_peers.find(voter.id);
        if (peer != m_peers.end())
            confirmed.push_back(peer->second->confirmedAt);
        else if (voter.id == m_options.processId)
            confirmed.push_back(m_clock.now());
    }
    if (confirmed.size() < voters().majority())
        return {};
    std::ranges::sort(confirmed, std::greater<>());
    return confirmed[voters().majority() - 1];
}

auto Replica::leadershipProof() const -> std::optional<LeadershipProof>
{
    const StateLock lock(m_mutex);
    if (m_role != Role::Leader || m_failed || m_stopping)
        return std::nullopt;
    const auto age = proofAge();
    if (!age)
        return std::nullopt;
    return LeadershipProof{m_vote.term, *age};
}

// Returns the time since the sending of the messages that a majority has answered, which includes times for
// which the host was suspended, or std::nullopt if no majority has answered.
auto Replica::proofAge() const -> std::optional<Utils::Milliseconds>
{
    const auto now = m_clock.sinceBoot();
    std::vector<Utils::Milliseconds> ages;
    for (const auto &voter : voters().voters) {
        const auto peer = m_peers.find(voter.id);
        if (voter.id == m_options.processId)
            ages.emplace_back(0);
        else if (peer != m_peers.end() && peer->second->confirmedSinceBoot)
            ages.push_back(now - *peer->second->confirmedSinceBoot);
    }
    if (ages.size() < voters().majority())
        return std::nullopt;
    std::ranges::sort(ages);
    return ages[voters().majority() - 1];
}

// After its election and after a change of voters, a leader has one election timeout to reach a
// majority. This time decides on stepping down and on the quorum in the status; the lease relies on
// proofAge() alone.
auto Replica::majorityContactAt() const -> Utils::Instant
{
    return std::max({majorityConfirmedAt(), m_leaderSince, m_votersChangedAt});
}

auto Replica::hasLease() const -> bool
{
    // The lease is shorter than the time for which voters refuse to elect another leader.
    const auto lease = m_options.timing.electionTimeout * 3 / 4;
    const auto age = proofAge();
    return m_role == Role::Leader && !m_transferring && !m_failed && age && *age < lease;
}

auto Replica::confirmLocally(StateLock &lock, Utils::Instant deadline) -> std::optional<Revision>
{
    const auto term = m_vote.term;
    const auto startedAt = m_clock.now();
    for (auto &[id, peer] : m_peers)
        peer->nextSend = {};
    m_workChanged.notify_all();
    while (stillLeads(term) && !m_stopping && m_clock.now() <= deadline) {
        const auto confirmed = hasLease() || majorityConfirmedAt() > startedAt;
        if (m_commitRevision >= m_termStart && confirmed)
            return m_commitRevision;
        m_peersConfirmed.wait_for(lock, m_options.timing.heartbeat);
    }
    return std::nullopt;
}

auto Replica::waitForProposal(StateLock &lock, const Proposal &proposal, Utils::Instant deadline)
    -> void
{
    m_appliedChanged.wait_until(
        lock, deadline, [&] { return m_stopping || proposal.state != ProposalState::Waiting; });
}

auto Replica::submitLocally(std::string payload,
                            Utils::Instant deadline,
                            std::optional<std::uint64_t> term) -> Utils::Result<SubmitReply>
{
    StateLock lock(m_mutex);
    // A proposal is committed in the term in which it is made, or not at all.
    if (term && *term != m_vote.term)
        return Utils::failure(Utils::ErrorType::NotLeader, "this process does not lead the term");
    const auto proposal = propose(std::move(payload));
    if (!proposal)
        return Utils::failure(Utils::ErrorType::NotLeader, "this process is not the leader");
    waitForProposal(lock, *proposal, deadline);
    if (proposal->state == ProposalState::Committed)
        return SubmitReply{proposal->entry.revision, proposal->reply};
    if (proposal->state == ProposalState::NotCommitted)
        return Utils::failure(Utils::ErrorType::NotLeader,
                              "this process lost leadership before the commit");
    return Utils::failure(Utils::ErrorType::OutcomeUnknown, "the commit was not confirmed in time");
}

auto Replica::submit(Wire::SubmitReply &reply, const Wire::SubmitRequest &request) -> void
{
    requireServing(request.groupId);
    const auto deadline = m_clock.now() + Utils::Milliseconds(request.timeoutMs);
    StateLock lock(m_mutex);
    std::vector<std::shared_ptr<Proposal>> proposals;
    for (const auto &payload : request.payloads)
        proposals.push_back(m_options.forwards ? propose(payload) : nullptr);
    for (const auto &proposal : proposals) {
        auto &result = reply.results.emplace_back();
        result.status = Wire::SubmitStatus::NOT_LEADER;
        if (!proposal)
            continue;
        waitForProposal(lock, *proposal, deadline);
        if (proposal->state == ProposalState::NotCommitted)
            continue;
        result.status = proposal->state == ProposalState::Committed
                            ? Wire::SubmitStatus::COMMITTED
                            : Wire::SubmitStatus::OUTCOME_UNKNOWN;
        result.revision = std::int64_t(proposal->entry.revision);
        result.reply = proposal->reply;
    }
    reply.leaderId = m_leaderId;
}

auto Replica::confirmRevision(Wire::ConfirmReply &reply, const Wire::ConfirmRequest &request)
    -> void
{
    requireServing(request.groupId);
    const auto wait =
        std::min(Utils::Milliseconds(request.timeoutMs), m_options.timing.callTimeout);
    StateLock lock(m_mutex);
    const auto revision = confirmLocally(lock, m_clock.now() + wait);
    reply.confirmed = revision.has_value();
    reply.revision = std::int64_t(revision.value_or(0));
    reply.leaderId = m_leaderId;
}

} // namespace Replication::Internal
