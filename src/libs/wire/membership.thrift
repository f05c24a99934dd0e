// Messages between entry processes about endpoints and load.
namespace cpp Wire

struct EndpointRecord {
  1: string id
  2: string serviceName
  3: string address
  4: string host
  5: string rack
  6: string zone
  7: i32 slots
  8: i32 connections
  9: i64 incarnation
  10: i64 sequence
  // Values of Membership::EndpointState.
  11: i32 state
  12: i32 inFlight
  // What is left of the lease at its owner.
  13: i32 leaseMs
}

struct PoolSummary {
  1: string pool
  2: i32 endpoints
  3: i32 slots
  4: i32 inFlight
}

// What one process has in flight or queued for a customer's service.
struct DemandRecord {
  1: string serviceName
  2: string customer
  3: i32 requests
}

struct DirectoryUpdate {
  1: string processId
  2: string zone
  3: i64 processIncarnation
  4: i64 setVersion
  5: list<EndpointRecord> changed
  6: list<string> removed
  // This process's own in-flight requests by endpoint id.
  7: map<string, i32> inFlight
  8: list<PoolSummary> summaries
  9: bool full
  10: i64 appliedRevision
  // The assignment epochs that this process no longer sends requests under, by host.
  11: map<string, i64> releasedEpochs
  // The set version that changed and removed build on.
  12: i64 baseVersion
  // The shortest remaining lease among the records of the set that are not in changed.
  13: i32 setLeaseMs
  14: list<DemandRecord> demand
}

struct DirectoryReply {
  1: i64 setVersion
  2: bool sendFull
}

service MembershipService {
  DirectoryReply update(1: DirectoryUpdate update)
}
