#pragma once

#include "applier.h"
#include "entrylog.h"
#include "leaderforwarder.h"
#include "replicaoptions.h"
#include "replicatedlog.h"

#include "ReplicationService.h"
#include "wire/peerclient.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Replication::Internal {

/*! \brief A process without a vote, which streams committed entries into memory. Thread-safe. */
class Observer final
    : public Wire::ReplicationServiceIf
    , private LeaderLocator
{
public:
    Observer(ReplicaOptions options, StateMachine &machine, const Utils::Clock &clock);

    auto start() -> Utils::Result<void>;
    auto stop() -> void;
    auto submit(std::string payload, Utils::Milliseconds timeout) -> Utils::Result<SubmitReply>;
    auto confirm(Utils::Milliseconds timeout) -> Utils::Result<Revision>;
    auto currentStatus() const -> LogStatus;
    auto leaderStatus(Utils::Milliseconds timeout) -> Utils::Result<LogStatus>;
    auto replaceVoter(const std::string &removedId, const Voter &added, Utils::Milliseconds timeout)
        -> Utils::Result<void>;

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
    using StateLock = std::unique_lock<std::mutex>;
    using Connection = Wire::PeerClient<Wire::ReplicationServiceClient>;

    /*! \brief A process from which entries can be read. */
    struct Source
    {
        Wire::PeerTarget target;
        bool voter = true;
    };

    auto forwardingTarget() -> std::optional<Voter> override;
    auto reportNotLeader(const std::string &contactedId, const std::string &leaderId)
        -> void override;

    auto run() -> void;
    auto sources() -> std::vector<Source>;
    auto follow(const Source &source) -> void;
    auto observeOnce(Connection &connection, const Source &source) -> bool;
    auto applyEntries(const std::vector<Wire::ReplicaEntry> &received) -> bool;
    auto fetchSnapshot(Connection &connection) -> bool;
    auto becomeReady(bool confirmed) -> void;
    auto waitApplied(StateLock &lock, Revision revision, Utils::Instant deadline) -> bool;

    const ReplicaOptions m_options;
    const Utils::Clock &m_clock;
    Applier m_applier;
    LeaderForwarder m_forwarder;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed; //!< Signals a new applied revision or the stop.
    bool m_stopping = false;
    bool m_ready = false;
    EntryLog m_entries;
    VoterSet m_voters;
    std::string m_leaderId;
    std::size_t m_nextVoter = 0; //!< Index of the voter to contact while no leader is known.
    std::uint64_t m_term = 0;
    Revision m_commitRevision = 0;
    Utils::Instant m_startedAt;
    Utils::Instant m_quorumSeen;
    std::jthread m_task;
};

} // namespace Replication::Internal
