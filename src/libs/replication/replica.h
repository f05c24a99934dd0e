#pragma once

#include "applier.h"
#include "entrylog.h"
#include "leaderforwarder.h"
#include "replicaoptions.h"

#include "ReplicationService.h"
#include "store/segmentlog.h"
#include "store/snapshotstore.h"
#include "store/votefile.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <thread>

namespace Replication::Internal {

/*! \brief Outcome of a payload that the leader accepted. */
enum class ProposalState { Waiting, Committed, NotCommitted, Unknown };

/*! \brief A payload that the leader is committing. */
struct Proposal
{
    Entry entry;
    ProposalState state = ProposalState::Waiting;
    std::string reply;
};

/*! \brief State that this process keeps for another voter. */
struct ReplicaPeer
{
    Voter voter;
    Revision nextRevision = 1;
    Revision matchRevision = 0;
    Revision acknowledgedCommit = 0;
    Revision appliedRevision = 0;
    Utils::Instant lastReportAt; //!< Time of its last reply to an append request.
    Utils::Instant confirmedAt;  //!< Send time of the last request that confirmed this leader.
    //! The same time as Utils::Clock::sinceBoot(); none before this process leads.
    std::optional<Utils::Milliseconds> confirmedSinceBoot;
    Utils::Instant nextSend;  //!< Time at which the next heartbeat is due.
    Utils::Instant sentAt;    //!< Time at which the last append request was sent.
    Utils::Instant retryAt;   //!< Time before which no call is retried after a failure.
    std::uint64_t ballot = 0; //!< Number of the last ballot in which its vote was requested.
    bool removed = false;
    std::jthread task;
};

/*! \brief A round of vote requests. */
struct Ballot
{
    std::uint64_t number = 0;
    std::uint64_t term = 0;
    bool open = false;
    bool preVote = false;
    bool leadershipTransfer = false;
    std::set<std::string> granted;
};

using StateLock = std::unique_lock<std::mutex>;

/*!
    \brief A voter of the replication group. Thread-safe.

    The lock order is: the applier's mutex, m_diskMutex, m_mutex. The term, the vote and the tail
    of the log change only while both m_diskMutex and m_mutex are locked. m_mutex is never held
    during a file operation or a call to a peer.
*/
class Replica final
    : public Wire::ReplicationServiceIf
    , private LeaderLocator
{
public:
    Replica(ReplicaOptions options, StateMachine &machine, const Utils::Clock &clock);
    ~Replica() override;

    auto start() -> Utils::Result<void>;
    auto stop() -> void;
    auto submit(std::string payload, Utils::Milliseconds timeout) -> Utils::Result<SubmitReply>;
    auto submitInTerm(std::uint64_t term, std::string payload, Utils::Milliseconds timeout)
        -> Utils::Result<SubmitReply>;
    auto leadershipProof() const -> std::optional<LeadershipProof>;
    auto confirm(Utils::Milliseconds timeout) -> Utils::Result<Revision>;
    auto resign(std::uint64_t term) -> void;
    auto currentStatus() const -> LogStatus;
    auto leaderStatus(Utils::Milliseconds timeout) -> Utils::Result<LogStatus>;
    auto replaceVoterOrForward(const std::string &removedId,
                               const Voter &added,
                               Utils::Milliseconds timeout) -> Utils::Result<void>;

    auto requestVote(Wire::VoteReply &reply, const Wire::VoteRequest &request) -> void override;
    auto appendEntries(Wire::AppendReply &reply, const Wire::AppendRequest &request)
        -> void override;
    auto installSnapshot(Wire::SnapshotReply &reply, const Wire::SnapshotRequest &request)
        -> void override;
    auto takeLeadership(Wire::TransferReply &reply, const Wire::TransferRequest &request)
        -> void override;
    auto observe(Wire::ObserveReply &reply, const Wire::ObserveRequest &request) -> void override;
    auto readSnapshot(Wire::SnapshotChunk &reply, const Wire::SnapshotChunkRequest &request)
        -> void override;
    auto submit(Wire::SubmitReply &reply, const Wire::SubmitRequest &request) -> void override;
    auto confirmRevision(Wire::ConfirmReply &reply, const Wire::ConfirmRequest &request)
        -> void override;
    auto status(Wire::StatusReply &reply, const Wire::StatusRequest &request) -> void override;
    auto replaceVoter(Wire::ReplaceVoterReply &reply, const Wire::ReplaceVoterRequest &request)
        -> void override;

private:
    using PeerPointer = std::shared_ptr<ReplicaPeer>;
    using Connection = Wire::PeerClient<Wire::ReplicationServiceClient>;

    struct VoterChange
    {
        Revision revision = 0;
        VoterSet voters;
    };
    struct ObserverProgress
    {
        Revision appliedRevision = 0;
        Utils::Instant lastReportAt;
        bool reported = true; //!< True once it was sent in a reply to the leader.
    };

    // replica.cpp: start and stop, voters, storage failures, status
    auto load() -> Utils::Result<void>;
    auto requireServing(const std::string &groupId) const -> void;
    auto loadEntries(std::vector<Store::LogRecord> records) -> void;
    auto startTasks() -> void;
    auto transferLeadership(StateLock &lock) -> void;
    auto voters() const -> const VoterSet & { return m_voterChanges.back().voters; }
    auto setVoters(Revision revision, VoterSet voters) -> void;
    auto updatePeers() -> void;
    auto isRemoved(const ReplicaPeer &peer) const -> bool;
    auto forwardingTarget() -> std::optional<Voter> override;
    auto reportNotLeader(const std::string &contactedId, const std::string &leaderId)
        -> void override;
    auto handleStorageFailure(const Utils::Error &error) -> void;
    auto handleDiskFull(const Utils::Error &error) -> void;
    auto handleDiskWritten() -> void;
    auto mayStartElection(Utils::Instant now) const -> bool;
    auto diskHangs(Utils::Instant now) const -> bool;
    auto hasQuorum(Utils::Instant now) const -> bool;
    auto progress(Utils::Instant now) const -> std::map<std::string, ProcessProgress>;

    // replicaelection.cpp
    auto runElections() -> void;
    auto campaign(StateLock &lock) -> void;
    auto nextTerm() const -> std::uint64_t;
    auto startTerm(StateLock &lock) -> bool;
    auto runBallot(StateLock &lock, Ballot ballot) -> bool;
    auto becomeLeader() -> void;
    auto stepDown(std::string_view reason) -> void;
    auto adoptTerm(std::uint64_t term) -> void;
    auto saveVote(const Store::Vote &vote) -> bool;
    auto isUpToDate(const Wire::VoteRequest &request) const -> bool;
    auto refusesElections(Utils::Instant now) const -> bool;
    auto delayElection(Utils::Instant now) -> void;
    auto sendVoteRequest(StateLock &lock, ReplicaPeer &peer, Connection &connection) -> void;

    // replicaleader.cpp
    auto runPeer(ReplicaPeer &peer) -> void;
    auto wakeTime(const ReplicaPeer &peer, Utils::Instant now) const -> Utils::Instant;
    auto hasBallotFor(const ReplicaPeer &peer) const -> bool;
    auto replicate(StateLock &lock, ReplicaPeer &peer, Connection &connection) -> void;
    auto appendRequestFor(const ReplicaPeer &peer, Utils::Instant now) const -> Wire::AppendRequest;
    auto handleAppendReply(ReplicaPeer &peer, const Wire::AppendReply &reply) -> void;
    auto sendSnapshot(StateLock &lock, ReplicaPeer &peer, Connection &connection) -> void;
    auto stillLeads(std::uint64_t term) const -> bool;
    auto runWriter() -> void;
    auto writeProposals(std::deque<std::shared_ptr<Proposal>> batch) -> void;
    auto propose(std::string payload, EntryKind kind = EntryKind::Command)
        -> std::shared_ptr<Proposal>;
    auto waitForProposal(StateLock &lock, const Proposal &proposal, Utils::Instant deadline)
        -> void;
    //! A \a term of std::nullopt is the one in which this process leads now.
    auto submitLocally(std::string payload,
                       Utils::Instant deadline,
                       std::optional<std::uint64_t> term = std::nullopt)
        -> Utils::Result<SubmitReply>;
    auto commitHere(std::string payload, Utils::Instant deadline, std::optional<std::uint64_t> term)
        -> Utils::Result<SubmitReply>;
    auto advanceCommit() -> void;
    auto majorityConfirmedAt() const -> Utils::Instant;
    auto majorityContactAt() const -> Utils::Instant;
    auto proofAge() const -> std::optional<Utils::Milliseconds>;
    auto hasLease() const -> bool;
    auto confirmLocally(StateLock &lock, Utils::Instant deadline) -> std::optional<Revision>;
    auto waitApplied(StateLock &lock, Revision revision, Utils::Instant deadline) -> bool;

    // replicavoters.cpp
    auto changeVoters(const std::string &removedId, const Voter &added, Utils::Milliseconds timeout)
        -> Utils::Result<void>;
    auto proposeVoters(VoterSet voters, Utils::Instant deadline) -> Utils::Result<void>;

    // replicafollower.cpp
    auto acceptLeader(const std::string &leaderId, std::uint64_t term) -> bool;
    auto mismatchRevision(const Wire::AppendRequest &request) const -> std::optional<Revision>;
    auto newEntries(const Wire::AppendRequest &request) const -> std::vector<Entry>;
    auto unsyncedRecords(Revision through) const -> std::vector<Store::LogRecord>;
    auto appendToLog(Revision matched, std::vector<Entry> entries) -> bool;
    auto throwIfDiskFull() const -> void;
    auto takeObserverReports() -> std::vector<Wire::ProcessApplied>;
    auto restoreSnapshot(const Store::Snapshot &snapshot) -> bool;

    // replicaapply.cpp
    auto runApplier() -> void;
    auto applyNext() -> void;
    auto finishProposals(const std::vector<Entry> &entries, std::vector<std::string> replies)
        -> void;
    auto saveSnapshotIfDue() -> void;

    const ReplicaOptions m_options;
    const Utils::Clock &m_clock;
    Applier m_applier;
    LeaderForwarder m_forwarder;

    std::mutex m_diskMutex;
    Store::SegmentLog m_segments;
    Store::SnapshotStore m_snapshots;
    Store::VoteFile m_voteFile;

    std::atomic_bool m_started = false; //!< Requests of peers are refused before.

    mutable std::mutex m_mutex;
    std::condition_variable m_workChanged;    //!< Wakes the peers' tasks and the election task.
    std::condition_variable m_peersConfirmed; //!< Wakes confirmLocally() when a peer replied.
    std::condition_variable m_queueChanged;   //!< Wakes the writer.
    std::condition_variable m_commitChanged;  //!< Wakes the applier and waiting observe() calls.
    std::condition_variable m_appliedChanged; //!< Wakes callers that wait for an entry.
    bool m_stopping = false;
    bool m_failed = false;
    bool m_diskFull = false;       //!< True if the last write failed and left the files unchanged.
    Utils::Instant m_diskFullAt;   //!< Time of the last such failure.
    Utils::Instant m_writingSince; //!< Start of the leader's write in progress; zero if none.
    Utils::Instant m_snapshotRetryAt;
    Role m_role = Role::Follower;
    Store::Vote m_vote;
    std::string m_leaderId;
    EntryLog m_entries;
    Revision m_syncedRevision = 0;
    Revision m_commitRevision = 0;
    Revision m_appliedRevision = 0;
    Revision m_snapshotRevision = 0;
    std::uint64_t m_snapshotBytes = 0;
    std::uint64_t m_bytesSinceSnapshot = 0;
    std::vector<VoterChange> m_voterChanges;
    std::map<std::string, PeerPointer> m_peers;
    std::vector<PeerPointer> m_removedPeers; //!< Kept until stop() joins their tasks.
    Ballot m_ballot;
    std::uint64_t m_ballots = 0;
    Utils::Instant m_startedAt;
    Utils::Instant m_leaderContact;
    Utils::Instant m_quorumSeen; //!< Time at which a majority last confirmed the leader.
    Utils::Instant m_electionDue;
    Utils::Instant m_leaderSince;
    Utils::Instant m_votersChangedAt; //!< Time of the last change of the voter set here.
    Revision m_termStart = 0; //!< Revision of the first entry of the term this process leads.
    bool m_transferring = false;
    bool m_takeLeadership = false;
    bool m_ready = false;
    std::deque<std::shared_ptr<Proposal>> m_queue;
    std::map<Revision, std::shared_ptr<Proposal>> m_proposals;
    std::map<std::string, ObserverProgress> m_observers;
    std::optional<Store::Snapshot> m_incomingSnapshot; //!< Snapshot that is being received.
    std::mt19937_64 m_random;
    std::vector<std::jthread> m_tasks;
};

} // namespace Replication::Internal
