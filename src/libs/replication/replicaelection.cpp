#include "replica.h"

#include "wireconversion.h"

#include "utils/log.h"
#include "wire/peerclient.h"

#include <algorithm>

namespace Replication::Internal {

auto Replica::runElections() -> void
{
    StateLock lock(m_mutex);
    while (!m_stopping) {
        const auto now = m_clock.now();
        if (m_role == Role::Leader) {
            if (now - majorityContactAt() > m_options.timing.electionTimeout)
                stepDown("no contact with a majority");
            else if (diskHangs(now))
                stepDown("the disk does not answer");
            m_workChanged.wait_for(lock, m_options.timing.heartbeat);
            continue;
        }
        if (m_takeLeadership || (now >= m_electionDue && mayStartElection(now)))
            campaign(lock);
        else
            m_workChanged.wait_for(lock, std::max(m_electionDue - now, m_options.timing.heartbeat));
    }
}

auto Replica::campaign(StateLock &lock) -> void
{
    const auto transfer = std::exchange(m_takeLeadership, false);
    delayElection(m_clock.now());
    m_leaderId.clear();
    Ballot ballot;
    ballot.term = nextTerm();
    ballot.preVote = true;
    if (!transfer && !runBallot(lock, ballot))
        return;
    if (!startTerm(lock))
        return;
    ballot.term = m_vote.term;
    ballot.preVote = false;
    ballot.leadershipTransfer = transfer;
    if (runBallot(lock, ballot) && m_vote.term == ballot.term && m_role == Role::Candidate)
        becomeLeader();
}

auto Replica::nextTerm() const -> std::uint64_t
{
    return (m_vote.term / m_options.termStep + 1) * m_options.termStep;
}

auto Replica::startTerm(StateLock &lock) -> bool
{
    const auto term = m_vote.term;
    const auto next = nextTerm();
    lock.unlock();
    const std::scoped_lock disk(m_diskMutex);
    lock.lock();
    if (m_stopping || m_vote.term != term || m_role == Role::Leader || !m_leaderId.empty())
        return false;
    lock.unlock();
    const auto saved = saveVote({next, m_options.processId});
    lock.lock();
    if (saved)
        m_role = Role::Candidate;
    return saved;
}

auto Replica::runBallot(StateLock &lock, Ballot ballot) -> bool
{
    ballot.number = ++m_ballots;
    ballot.open = true;
    ballot.granted.insert(m_options.processId);
    m_ballot = ballot;
    m_workChanged.notify_all();
    const auto deadline = std::chrono::steady_clock::now() + m_options.timing.electionTimeout;
    const auto decided = [this] { return m_ballot.granted.size() >= voters().majority(); };
    m_workChanged.wait_until(lock, deadline, [&] {
        return decided() || m_stopping || !m_ballot.open || !m_leaderId.empty();
    });
    const auto won = decided() && m_ballot.open && !m_stopping && m_leaderId.empty();
    m_ballot.open = false;
    return won;
}

auto Replica::becomeLeader() -> void
{
    m_role = Role::Leader;
    m_leaderId = m_options.processId;
    m_leaderSince = m_clock.now();
    m_transferring = false;
    m_termStart = m_entries.lastRevision() + 1;
    for (auto &[id, peer] : m_peers) {
        peer->nextRevision = m_termStart;
        peer->matchRevision = 0;
        peer->acknowledgedCommit = 0;
        peer->confirmedAt = {};
        peer->confirmedSinceBoot.reset();
        peer->nextSend = {};
        peer->retryAt = {};
    }
    Utils::Log::info(
        "replication", "leads", {{"term", m_vote.term}, {"revision", m_entries.lastRevision()}});
    // Entries of earlier terms are committed only together with an entry of the leader's own term.
    propose({});
    m_workChanged.notify_all();
}

auto Replica::stepDown(std::string_view reason) -> void
{
    if (m_role == Role::Leader)
        Utils::Log::warning(
            "replication", "no longer leads", {{"term", m_vote.term}, {"reason", reason}});
    m_role = Role::Follower;
    m_leaderId.clear();
    m_transferring = false;
    m_ballot.open = false;
    for (const auto &proposal : m_queue)
        proposal->state = ProposalState::NotCommitted;
    m_queue.clear();
    delayElection(m_clock.now());
    m_workChanged.notify_all();
    m_peersConfirmed.notify_all();
    m_appliedChanged.notify_all();
}

auto Replica::resign(std::uint64_t term) -> void
{
    const StateLock lock(m_mutex);
    if (m_role == Role::Leader && m_vote.term == term)
        stepDown("it has given up its term");
}

auto Replica::adoptTerm(std::uint64_t term) -> void
{
    const std::scoped_lock disk(m_diskMutex);
    {
        const StateLock lock(m_mutex);
        if (term <= m_vote.term)
            return;
    }
    if (!saveVote({term, {}}))
        return;
    const StateLock lock(m_mutex);
    stepDown("another voter is in a higher term");
}

// Called with m_diskMutex locked and m_mutex unlocked.
auto Replica::saveVote(const Store::Vote &vote) -> bool
{
    if (const auto saved = m_voteFile.save(vote); !saved) {
        handleStorageFailure(saved.error());
        return false;
    }
    const StateLock lock(m_mutex);
    m_vote = vote;
    return !m_failed;
}

auto Replica::isUpToDate(const Wire::VoteRequest &request) const -> bool
{
    const auto lastTerm = std::uint64_t(request.lastTerm);
    if (lastTerm != m_entries.lastTerm())
        return lastTerm > m_entries.lastTerm();
    return Revision(request.lastRevision) >= m_entries.lastRevision();
}

// A voter in contact with a leader votes for no other candidate, which the leader's lease relies
// on.
auto Replica::refusesElections(Utils::Instant now) const -> bool
{
    return m_role == Role::Leader || now - m_leaderContact < m_options.timing.electionTimeout;
}

auto Replica::delayElection(Utils::Instant now) -> void
{
    const auto timeout = m_options.timing.electionTimeout.count();
    std::uniform_int_distribution<std::int64_t> extra(0, timeout);
    m_electionDue = now + Utils::Milliseconds(timeout + extra(m_random));
}

auto Replica::sendVoteRequest(StateLock &lock, ReplicaPeer &peer, Connection &connection) -> void
{
    peer.ballot = m_ballot.number;
    Wire::VoteRequest request;
    request.groupId = m_options.groupId;
    request.candidateId = m_options.processId;
    request.targetId = peer.voter.id;
    request.term = std::int64_t(m_ballot.term);
    request.lastRevision = std::int64_t(m_entries.lastRevision());
    request.lastTerm = std::int64_t(m_entries.lastTerm());
    request.preVote = m_ballot.preVote;
    request.leadershipTransfer = m_ballot.leadershipTransfer;
    lock.unlock();
    const auto reply = connection.call<Wire::VoteReply>(
        m_options.timing.callTimeout,
        [&](auto &client, auto &response) { client.requestVote(response, request); });
    if (reply && reply.value().term > request.term)
        adoptTerm(std::uint64_t(reply.value().term));
    lock.lock();
    if (!reply || !reply.value().granted || m_ballot.number != peer.ballot || !m_ballot.open)
        return;
    if (voters().contains(peer.voter.id))
        m_ballot.granted.insert(peer.voter.id);
    m_workChanged.notify_all();
}

auto Replica::requestVote(Wire::VoteReply &reply, const Wire::VoteRequest &request) -> void
{
    requireServing(request.groupId);
    requireTarget(request.targetId, m_options.processId);
    const auto term = std::uint64_t(request.term);
    const std::scoped_lock disk(m_diskMutex);
    StateLock lock(m_mutex);
    reply.term = std::int64_t(m_vote.term);
    reply.granted = false;
    if (m_stopping || m_failed)
        return;
    if (!request.leadershipTransfer && refusesElections(m_clock.now()))
        return;
    if (request.preVote) {
        reply.granted = term > m_vote.term && isUpToDate(request);
        return;
    }
    if (term < m_vote.term)
        return;
    auto vote = term > m_vote.term ? Store::Vote{term, {}} : m_vote;
    const auto grants =
        isUpToDate(request) && (vote.candidate.empty() || vote.candidate == request.candidateId);
    if (grants)
        vote.candidate = request.candidateId;
    const auto raised = vote.term > m_vote.term;
    const auto changed = raised || vote.candidate != m_vote.candidate;
    lock.unlock();
    if (changed && !saveVote(vote))
        return;
    lock.lock();
    if (raised)
        stepDown("another voter requested votes in a higher term");
    if (grants)
        delayElection(m_clock.now());
    reply.term = std::int64_t(term);
    reply.granted = grants;
}

auto Replica::takeLeadership(Wire::TransferReply &reply, const Wire::TransferRequest &request)
    -> void
{
    requireServing(request.groupId);
    requireTarget(request.targetId, m_options.processId);
    const StateLock lock(m_mutex);
    reply.accepted = !m_stopping && std::uint64_t(request.term) == m_vote.term
                     && m_leaderId == request.leaderId && voters().contains(m_options.processId);
    if (!reply.accepted)
        return;
    m_takeLeadership = true;
    m_workChanged.notify_all();
}

} // namespace Replication::Internal
