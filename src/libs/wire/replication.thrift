// Messages between state replicas, and between observers and the replicas that they read from.
namespace cpp Wire

struct ReplicaEntry {
  1: i64 revision
  2: i64 term
  3: binary payload
}

struct VoteRequest {
  1: string groupId
  2: string candidateId
  3: i64 term
  4: i64 lastRevision
  5: i64 lastTerm
  6: bool preVote
  7: bool leadershipTransfer
}

struct VoteReply {
  1: i64 term
  2: bool granted
}

struct AppendRequest {
  1: string groupId
  2: string leaderId
  3: i64 term
  4: i64 previousRevision
  5: i64 previousTerm
  6: i64 commitRevision
  7: list<ReplicaEntry> entries
}

struct AppendReply {
  1: i64 term
  2: bool accepted
  // The revision to continue from if accepted is false; otherwise the last synced one.
  3: i64 lastRevision
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
}

struct SnapshotReply {
  1: i64 term
  2: bool accepted
}

// An observer asks for committed entries after a revision and acknowledges what it applied.
struct ObserveRequest {
  1: string groupId
  2: string observerId
  3: i64 appliedRevision
  4: i32 waitMs
}

struct ObserveReply {
  1: list<ReplicaEntry> entries
  2: i64 commitRevision
  // Set in place of entries if the observer is behind the oldest kept entry.
  3: binary snapshot
  4: i64 snapshotRevision
  5: string leaderId
}

enum SubmitStatus {
  COMMITTED = 0,
  NOT_LEADER = 1,
  NO_QUORUM = 2,
  OUTCOME_UNKNOWN = 3
}

struct SubmitRequest {
  1: string groupId
  2: binary payload
  3: i32 timeoutMs
}

struct SubmitReply {
  1: SubmitStatus status
  2: i64 revision
  3: binary reply
  4: string leaderId
}

struct ConfirmRequest {
  1: string groupId
  2: string processId
}

struct ConfirmReply {
  1: bool confirmed
  2: i64 revision
  3: string leaderId
}

service ReplicationService {
  VoteReply requestVote(1: VoteRequest request)
  AppendReply appendEntries(1: AppendRequest request)
  SnapshotReply installSnapshot(1: SnapshotRequest request)
  ObserveReply observe(1: ObserveRequest request)
  SubmitReply submit(1: SubmitRequest request)
  // The leader answers with its commit revision once a majority has confirmed its leadership.
  ConfirmReply confirmRevision(1: ConfirmRequest request)
}
