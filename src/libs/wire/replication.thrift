// Messages between replicas of the log, and between observers and the replicas they read from.
namespace cpp Wire

// Thrown if the message belongs to another replication group.
exception WrongGroup {
  1: string groupId
}

struct ReplicaEntry {
  1: i64 revision
  2: i64 term
  3: binary payload
  // Value of Replication::EntryKind.
  4: i32 kind
}

struct VoteRequest {
  1: string groupId
  2: string candidateId
  3: i64 term
  4: i64 lastRevision
  5: i64 lastTerm
  6: bool preVote
  7: bool leadershipTransfer
  // Id of the voter that the message is for. A process that lost its disk has a new id.
  8: string targetId
}

struct VoteReply {
  1: i64 term
  2: bool granted
}

// Highest revision that a process has applied, and the time since it reported this.
struct ProcessApplied {
  1: string processId
  2: i64 appliedRevision
  3: i64 ageMs
}

struct AppendRequest {
  1: string groupId
  2: string leaderId
  3: i64 term
  4: i64 previousRevision
  5: i64 previousTerm
  6: i64 commitRevision
  7: list<ReplicaEntry> entries
  // Time since a majority last confirmed the leader.
  8: i64 quorumAgeMs
  9: string targetId
}

struct AppendReply {
  1: i64 term
  2: bool accepted
  // Last revision that matches the log of the leader. If accepted is false, the revision after
  // which the leader continues to send.
  3: i64 lastRevision
  4: i64 appliedRevision
  // Progress that observers reported to this replica since its last reply.
  5: list<ProcessApplied> observers
}

struct SnapshotRequest {
  1: string groupId
  2: string leaderId
  3: i64 term
  4: i64 revision
  5: i64 revisionTerm
  6: i64 offset
  7: binary data
  8: bool last
  // Encoded voter set at the revision of the snapshot.
  9: binary voters
  10: string targetId
}

struct SnapshotReply {
  1: i64 term
  2: bool accepted
}

// Requests the committed entries after appliedRevision and acknowledges that revision.
struct ObserveRequest {
  1: string groupId
  2: string observerId
  3: i64 appliedRevision
  4: i32 waitMs
}

struct ObserveReply {
  1: list<ReplicaEntry> entries
  2: i64 commitRevision
  // True if the entries that the observer needs are no longer kept, so it must read a snapshot.
  3: bool snapshotNeeded
  4: i64 term
  5: string leaderId
  // Time since a majority last confirmed the leader, as far as this process knows.
  6: i64 quorumAgeMs
}

struct SnapshotChunkRequest {
  1: string groupId
  // Revision of the snapshot; 0 requests the newest one.
  2: i64 revision
  3: i64 offset
}

struct SnapshotChunk {
  // Revision of the snapshot; 0 if the requested snapshot is no longer kept.
  1: i64 revision
  2: i64 term
  3: binary voters
  4: binary data
  5: bool last
}

enum SubmitStatus {
  COMMITTED = 0,
  NOT_LEADER = 1,
  NO_QUORUM = 2,
  OUTCOME_UNKNOWN = 3
}

struct SubmitRequest {
  1: string groupId
  2: list<binary> payloads
  3: i32 timeoutMs
}

struct SubmitResult {
  1: SubmitStatus status
  2: i64 revision
  3: binary reply
}

struct SubmitReply {
  1: list<SubmitResult> results
  2: string leaderId
}

struct ConfirmRequest {
  1: string groupId
  2: string processId
  3: i32 timeoutMs
}

struct ConfirmReply {
  1: bool confirmed
  2: i64 revision
  3: string leaderId
}

struct StatusRequest {
  1: string groupId
}

struct StatusReply {
  // False if the process is not the leader. Only leaderId is set then.
  1: bool leads
  2: string leaderId
  3: i64 term
  4: i64 commitRevision
  5: i64 appliedRevision
  6: bool hasQuorum
  7: list<ProcessApplied> progress
}

struct TransferRequest {
  1: string groupId
  2: string leaderId
  3: i64 term
  4: string targetId
}

struct TransferReply {
  1: bool accepted
}

struct ReplaceVoterRequest {
  1: string groupId
  2: string removedId
  3: string addedId
  4: string addedZone
  5: string addedAddress
  6: i32 timeoutMs
}

struct ReplaceVoterReply {
  1: SubmitStatus status
  2: string leaderId
  3: string reason
}

service ReplicationService {
  VoteReply requestVote(1: VoteRequest request) throws (1: WrongGroup wrongGroup)
  AppendReply appendEntries(1: AppendRequest request) throws (1: WrongGroup wrongGroup)
  SnapshotReply installSnapshot(1: SnapshotRequest request) throws (1: WrongGroup wrongGroup)
  // Requests the most up-to-date voter to start an election immediately.
  TransferReply takeLeadership(1: TransferRequest request) throws (1: WrongGroup wrongGroup)
  ObserveReply observe(1: ObserveRequest request) throws (1: WrongGroup wrongGroup)
  SnapshotChunk readSnapshot(1: SnapshotChunkRequest request) throws (1: WrongGroup wrongGroup)
  SubmitReply submit(1: SubmitRequest request) throws (1: WrongGroup wrongGroup)
  // The leader replies with its commit revision once a majority has confirmed its leadership.
  ConfirmReply confirmRevision(1: ConfirmRequest request) throws (1: WrongGroup wrongGroup)
  StatusReply status(1: StatusRequest request) throws (1: WrongGroup wrongGroup)
  ReplaceVoterReply replaceVoter(1: ReplaceVoterRequest request) throws (1: WrongGroup wrongGroup)
}
