#include "replica.h"

#include "wireconversion.h"

#include "utils/log.h"
#include "wire/peerclient.h"

#include <algorithm>
#include <cstdlib>
#include <stdexcept>

namespace Replication::Internal {
namespace {

constexpr int quorumAgeElectionTimeouts = 2;
// submit() fails early after this many election timeouts without a leader that has a majority.
constexpr int unreachableLeaderElectionTimeouts = 4;
// A voter whose disk is full starts no election for this many election timeouts.
constexpr int diskFullElectionTimeouts = 5;
// A leader whose write takes longer than this many election timeouts steps down.
constexpr int hangingDiskElectionTimeouts = 2;

} // namespace

Replica::Replica(ReplicaOptions options, StateMachine &machine, const Utils::Clock &clock)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_applier(machine)
    , m_forwarder(m_options, *this)
    , m_segments(*m_options.files, {m_options.dataFolder, m_options.segmentBytes})
    , m_snapshots(*m_options.files, m_options.dataFolder)
    , m_voteFile(*m_options.files, m_options.dataFolder)
    , m_voterChanges{{0, {m_options.voters}}}
    , m_random(m_options.seed)
{
    m_applier.setVoters({m_options.voters});
}

Replica::~Replica()
{
    stop();
}

auto Replica::start() -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(load());
    const StateLock lock(m_mutex);
    const auto now = m_clock.now();
    // Just before its restart, a voter may have confirmed a leader, whose lease relies on it not
    // voting for another one.
    m_leaderContact = now;
    m_startedAt = now;
    delayElection(now);
    if (voters().voters.size() == 1) {
        m_leaderContact = {};
        m_electionDue = now;
    }
    startTasks();
    m_started = true;
    return Utils::success();
}

auto Replica::load() -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(m_options.files->createFolder(m_options.dataFolder));
    BOOST_OUTCOME_TRY(Store::removeTemporaryFiles(*m_options.files, m_options.dataFolder));
    BOOST_OUTCOME_TRY(vote, m_voteFile.load());
    m_vote = vote;
    BOOST_OUTCOME_TRY(snapshot, m_snapshots.load());
    if (snapshot) {
        BOOST_OUTCOME_TRY(m_applier.restore(*snapshot));
        m_entries.reset(snapshot->revision, snapshot->term);
        m_voterChanges = {{snapshot->revision, m_applier.voters()}};
        m_snapshotRevision = snapshot->revision;
        m_snapshotBytes = snapshot->state.size();
    }
    BOOST_OUTCOME_TRY(records, m_segments.open(m_snapshotRevision));
    loadEntries(std::move(records));
    m_commitRevision = m_snapshotRevision;
    m_appliedRevision = m_snapshotRevision;
    m_syncedRevision = m_entries.lastRevision();
    return Utils::success();
}

// Throws if a peer's request must not be processed. The listener is open before the log is loaded:
// without its log and its vote, this voter could vote twice in a term or lose entries it confirmed.
auto Replica::requireServing(const std::string &groupId) const -> void
{
    requireGroup(groupId, m_options.groupId);
    if (!m_started)
        throw std::runtime_error("the log is not loaded yet");
}

auto Replica::loadEntries(std::vector<Store::LogRecord> records) -> void
{
    const auto base = m_entries.baseRevision();
    const auto atBase = std::ranges::find(records, base, &Store::LogRecord::revision);
    // The log conflicts with the snapshot if a crash interrupted the installation of the snapshot.
    if (atBase != records.end() && atBase->term != m_entries.lastTerm())
        return;
    for (auto &record : records) {
        if (record.revision <= base)
            continue;
        const auto kind = EntryKind(record.kind);
        m_bytesSinceSnapshot += record.payload.size();
        if (kind == EntryKind::Voters) {
            if (auto voters = decodeVoters(record.payload))
                m_voterChanges.push_back({record.revision, std::move(voters.value())});
        }
        m_entries.append({record.revision, record.term, std::move(record.payload), kind});
    }
}

auto Replica::startTasks() -> void
{
    updatePeers();
    m_forwarder.start();
    m_tasks.emplace_back([this] { runWriter(); });
    m_tasks.emplace_back([this] { runApplier(); });
    m_tasks.emplace_back([this] { runElections(); });
}

auto Replica::stop() -> void
{
    std::vector<PeerPointer> peers;
    {
        StateLock lock(m_mutex);
        if (m_stopping)
            return;
        transferLeadership(lock);
        m_stopping = true;
        m_workChanged.notify_all();
        m_peersConfirmed.notify_all();
        m_queueChanged.notify_all();
        m_commitChanged.notify_all();
        m_appliedChanged.notify_all();
        peers = m_removedPeers;
        for (const auto &[id, peer] : m_peers)
            peers.push_back(peer);
    }
    m_forwarder.stop();
    m_tasks.clear();
    for (const auto &peer : peers) {
        if (peer->task.joinable())
            peer->task.join();
    }
}

// Requests the most up-to-date voter to start an election at once, and waits until another one
// leads.
auto Replica::transferLeadership(StateLock &lock) -> void
{
    if (m_role != Role::Leader || m_peers.empty() || m_failed)
        return;
    m_transferring = true;
    const auto deadline = std::chrono::steady_clock::now() + m_options.timing.electionTimeout * 2;
    const auto proposalsFinished = [this] { return m_proposals.empty() && m_queue.empty(); };
    m_appliedChanged.wait_until(
        lock, deadline, [&] { return proposalsFinished() || m_role != Role::Leader; });
    const auto best = std::ranges::max_element(m_peers, {}, [](const auto &item) {
        return std::pair(item.second->matchRevision, item.second->confirmedAt);
    });
    Wire::TransferRequest request;
    request.groupId = m_options.groupId;
    request.targetId = best->second->voter.id;
    request.leaderId = m_options.processId;
    request.term = std::int64_t(m_vote.term);
    Connection connection(
        *m_options.sockets, {best->second->voter.id, best->second->voter.address}, serviceName);
    lock.unlock();
    const auto reply = connection.call<Wire::TransferReply>(
        m_options.timing.callTimeout,
        [&](auto &client, auto &response) { client.takeLeadership(response, request); });
    lock.lock();
    if (!reply || !reply.value().accepted)
        return;
    m_workChanged.wait_until(
        lock, deadline, [this] { return m_role != Role::Leader && !m_leaderId.empty(); });
}

auto Replica::setVoters(Revision revision, VoterSet voters) -> void
{
    m_voterChanges.push_back({revision, std::move(voters)});
    m_votersChangedAt = m_clock.now();
    updatePeers();
}

auto Replica::isRemoved(const ReplicaPeer &peer) const -> bool
{
    const auto *voter = voters().find(peer.voter.id);
    return voter == nullptr || *voter != peer.voter;
}

// Starts a task for each new voter and makes those of removed voters end.
auto Replica::updatePeers() -> void
{
    for (auto peer = m_peers.begin(); peer != m_peers.end();) {
        if (!isRemoved(*peer->second)) {
            ++peer;
            continue;
        }
        peer->second->removed = true;
        m_removedPeers.push_back(peer->second);
        peer = m_peers.erase(peer);
    }
    for (const auto &voter : voters().voters) {
        if (voter.id == m_options.processId || m_peers.contains(voter.id))
            continue;
        auto peer = std::make_shared<ReplicaPeer>();
        peer->voter = voter;
        peer->nextRevision = m_entries.lastRevision() + 1;
        peer->confirmedAt = m_clock.now() - m_options.timing.electionTimeout;
        m_peers[voter.id] = peer;
        // The task may hold a reference, since it ends before its peer is destroyed.
        peer->task = std::jthread([this, &peer = *peer] { runPeer(peer); });
    }
    m_workChanged.notify_all();
}

// Commits the payload in the term in which this process leads now, or not at all.
auto Replica::commitHere(std::string payload,
                         Utils::Instant deadline,
                         std::optional<std::uint64_t> term) -> Utils::Result<SubmitReply>
{
    BOOST_OUTCOME_TRY(reply, submitLocally(std::move(payload), deadline, term));
    StateLock lock(m_mutex);
    if (waitApplied(lock, reply.revision, deadline))
        return reply;
    return Utils::failure(Utils::ErrorType::OutcomeUnknown, "the commit took too long");
}

auto Replica::submitInTerm(std::uint64_t term, std::string payload, Utils::Milliseconds timeout)
    -> Utils::Result<SubmitReply>
{
    return commitHere(std::move(payload), m_clock.now() + timeout, term);
}

auto Replica::submit(std::string payload, Utils::Milliseconds timeout) -> Utils::Result<SubmitReply>
{
    const auto deadline = m_clock.now() + timeout;
    if (!m_options.forwards)
        return commitHere(std::move(payload), deadline, std::nullopt);
    auto uncertain = false;
    for (;;) {
        auto result = submitLocally(payload, deadline);
        if (!result && result.error().type == Utils::ErrorType::NotLeader)
            result = m_forwarder.submit(payload, deadline - m_clock.now());
        StateLock lock(m_mutex);
        if (result && waitApplied(lock, result.value().revision, deadline))
            return result;
        uncertain = uncertain || result || result.error().type == Utils::ErrorType::OutcomeUnknown;
        const auto now = m_clock.now();
        const auto leaderUnreachable =
            now - m_quorumSeen
                > m_options.timing.electionTimeout * unreachableLeaderElectionTimeouts
            && now - m_startedAt
                   > m_options.timing.electionTimeout * unreachableLeaderElectionTimeouts;
        if (m_stopping || now >= deadline || (leaderUnreachable && !uncertain))
            break;
        m_workChanged.wait_for(lock, m_options.timing.heartbeat / 4);
    }
    if (uncertain)
        return Utils::failure(Utils::ErrorType::OutcomeUnknown, "the commit took too long");
    return Utils::failure(Utils::ErrorType::NoQuorum, "no leader with a majority is reachable");
}

auto Replica::confirm(Utils::Milliseconds timeout) -> Utils::Result<Revision>
{
    const auto deadline = m_clock.now() + timeout;
    StateLock lock(m_mutex);
    while (!m_stopping && m_clock.now() <= deadline) {
        auto revision = confirmLocally(lock, deadline);
        if (!revision) {
            lock.unlock();
            const auto wait = std::min(m_options.timing.callTimeout,
                                       Utils::Milliseconds(deadline - m_clock.now()));
            const auto confirmed = m_forwarder.confirm(std::max(wait, Utils::Milliseconds(1)));
            lock.lock();
            if (confirmed)
                revision = confirmed.value();
        }
        if (revision && waitApplied(lock, *revision, deadline))
            return *revision;
        m_workChanged.wait_for(lock, m_options.timing.heartbeat / 4);
    }
    return Utils::failure(Utils::ErrorType::NoQuorum, "no leader with a majority is reachable");
}

auto Replica::waitApplied(StateLock &lock, Revision revision, Utils::Instant deadline) -> bool
{
    return m_appliedChanged.wait_until(lock, deadline, [&] {
        return m_stopping || m_appliedRevision >= revision;
    }) && m_appliedRevision >= revision;
}

auto Replica::forwardingTarget() -> std::optional<Voter>
{
    const StateLock lock(m_mutex);
    const auto *leader = voters().find(m_leaderId);
    if (leader == nullptr || m_leaderId == m_options.processId)
        return std::nullopt;
    return *leader;
}

auto Replica::reportNotLeader(const std::string &, const std::string &) -> void
{
    // A voter learns of the leader from the leader's own messages.
}

// Ends the process only if data may have been written in part or may not be durable.
auto Replica::handleStorageFailure(const Utils::Error &error) -> void
{
    if (Store::isNothingWritten(error))
        return handleDiskFull(error);
    Utils::Log::error("replication",
                      "cannot write the log, so this process stops",
                      {{"reason", error.message}, {"details", error.details}});
    {
        const StateLock lock(m_mutex);
        m_failed = true;
        if (m_role != Role::Follower)
            stepDown("the log cannot be written");
    }
    // The content of the file after a failed sync is unknown, so that the write is not retried.
    if (!m_options.onStorageFailure)
        std::abort();
    m_options.onStorageFailure(error);
}

auto Replica::handleDiskFull(const Utils::Error &error) -> void
{
    const StateLock lock(m_mutex);
    m_diskFullAt = m_clock.now();
    if (!std::exchange(m_diskFull, true))
        Utils::Log::error(
            "replication",
            "cannot write to the disk; takes no part in votes and commits until it can",
            {{"reason", error.message}, {"details", error.details}});
    if (m_role != Role::Follower)
        stepDown("the disk cannot be written");
}

// Called with m_mutex locked.
auto Replica::handleDiskWritten() -> void
{
    if (std::exchange(m_diskFull, false))
        Utils::Log::info("replication", "can write to the disk again");
}

auto Replica::mayStartElection(Utils::Instant now) const -> bool
{
    const auto waits = m_options.timing.electionTimeout * diskFullElectionTimeouts;
    return voters().contains(m_options.processId) && !(m_diskFull && now - m_diskFullAt < waits);
}

auto Replica::diskHangs(Utils::Instant now) const -> bool
{
    return m_writingSince != Utils::Instant()
           && now - m_writingSince > m_options.timing.electionTimeout * hangingDiskElectionTimeouts;
}

auto Replica::hasQuorum(Utils::Instant now) const -> bool
{
    if (m_failed || m_stopping)
        return false;
    if (m_role == Role::Leader)
        return now - majorityContactAt() <= m_options.timing.electionTimeout;
    return now - m_quorumSeen <= m_options.timing.electionTimeout * quorumAgeElectionTimeouts;
}

auto Replica::progress(Utils::Instant now) const -> std::map<std::string, ProcessProgress>
{
    std::map<std::string, ProcessProgress> progress;
    for (const auto &[id, observer] : m_observers)
        progress[id] = {observer.appliedRevision, now - observer.lastReportAt};
    for (const auto &[id, peer] : m_peers) {
        if (m_role == Role::Leader && peer->lastReportAt != Utils::Instant())
            progress[id] = {peer->appliedRevision, now - peer->lastReportAt};
    }
    progress[m_options.processId] = {m_appliedRevision, Utils::Milliseconds(0)};
    return progress;
}

auto Replica::currentStatus() const -> LogStatus
{
    const StateLock lock(m_mutex);
    const auto now = m_clock.now();
    LogStatus status;
    status.role = m_role;
    status.term = m_vote.term;
    status.leaderId = m_leaderId;
    status.commitRevision = m_commitRevision;
    status.appliedRevision = m_appliedRevision;
    status.hasQuorum = hasQuorum(now);
    status.ready = m_ready;
    status.progress = progress(now);
    status.voters = voters().voters;
    if (m_role == Role::Leader)
        status.leadingFor = now - m_leaderSince;
    return status;
}

auto Replica::leaderStatus(Utils::Milliseconds timeout) -> Utils::Result<LogStatus>
{
    auto status = currentStatus();
    if (status.role == Role::Leader)
        return status;
    return m_forwarder.status(timeout);
}

auto Replica::status(Wire::StatusReply &reply, const Wire::StatusRequest &request) -> void
{
    requireServing(request.groupId);
    reply = toWire(currentStatus());
}

} // namespace Replication::Internal
