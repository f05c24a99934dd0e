// Messages between entry processes that exchange endpoints and load.
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
  // Value of Membership::EndpointState.
  11: i32 state
  12: i32 inFlight
  // Remaining lease time at the process that the endpoint announces to.
  13: i32 leaseMs
}

struct PoolSummary {
  1: string pool
  2: i32 endpoints
  3: i32 slots
  4: i32 inFlight
}

// Number of requests that a process has in flight or queued for a service of a customer.
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
  // In-flight requests of the sending process, by endpoint id.
  7: map<string, i32> inFlight
  8: list<PoolSummary> summaries
  9: bool full
  10: i64 appliedRevision
  // Assignment epochs, by host, under which the sending process no longer sends requests.
  11: map<string, i64> releasedEpochs
  // Set version to which changed and removed must be applied.
  12: i64 baseVersion
  // Shortest remaining lease of the records in the set that are not in changed.
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
