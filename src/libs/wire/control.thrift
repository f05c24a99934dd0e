// Messages between entry processes and control processes.
namespace cpp Wire

enum ControlCall {
  HELLO = 0,
  HAND_IN = 1,
  JOB_STATE = 2,
  CANCEL_JOB = 3,
  COUNT_WAITING = 4,
  // The reply is sent once a configuration newer than the version in the request is in force.
  AWAIT_CONFIGURATION = 5,
  // Sent by the leader, so that another control process sends its orders to endpoints.
  CARRY_OUT = 6,
  // The reply is sent once endpoints have replied to orders of the session, or after a time limit.
  COLLECT_ANSWERS = 7
}

enum OrderKind {
  START = 0,
  STOP = 1,
  PACE = 2,
  LOOK = 3
}

// An order of the leader to an endpoint. Only the fields that its kind uses are set.
struct EndpointOrder {
  // Number of the order within its session.
  1: i64 number
  2: OrderKind kind
  3: string endpoint
  4: i64 bornMs
  5: string address
  6: i64 fencingToken
  7: string task
  8: i64 run
  9: string payload
  10: i64 leaseEndMs
  11: string checkpoint
  12: i64 notedEnds
  13: i64 waitMs
  14: i64 percent
}

struct RunningRow {
  1: string task
  2: i64 run
  3: string checkpoint
  4: i64 percent
  5: i64 load
}

struct EndedRow {
  1: i64 number
  2: string task
  3: i64 run
  // Value of Execution::EndKind.
  4: i32 kind
  5: string checkpoint
}

struct EndpointAnswer {
  // Number of the order.
  1: i64 number
  // Value of Execution::StartResult, OrderResult or LookResult, depending on the order kind.
  2: i32 result
  3: i64 clockMs
  4: i64 bornMs
  5: list<RunningRow> running
  6: list<EndedRow> ended
  // The lists may lack entries. Older processes do not set it.
  7: bool truncated
  // Set in the answer to a start: an earlier copy of it may be carried out. Older processes do not set it.
  8: bool repeated
}

struct ControlRequest {
  1: i64 sequence
  2: ControlCall call
  // Set in HAND_IN: the job, encoded as CBOR.
  3: binary job
  4: string jobId
  5: string queue
  6: i64 version
  // The next three fields are set in HELLO and describe the control process that sends it.
  7: string processId
  8: string address
  9: string zone
  // Set in CARRY_OUT and COLLECT_ANSWERS. A session is one term of one leader.
  10: string session
  11: list<EndpointOrder> orders
  // Set with the queue: its address in the requests of callers. Older processes do not set them.
  12: string host
  13: string pathPrefix
  // Set in the calls of callers: digest of the key that the request carries.
  14: string keyDigest
}

enum ControlOutcome {
  DONE = 0,
  // The process is not the leader. leaderAddress is the address of the leader, if known.
  NOT_LEADER = 1,
  // The request was not accepted and will not be carried out later.
  REFUSED = 2,
  // The queue or the job does not exist.
  UNKNOWN_NAME = 3,
  // The request may have been carried out or may still be carried out.
  OUTCOME_UNKNOWN = 4,
  // The key is not one of a client account, or the queue needs one. The request was not carried out.
  UNAUTHORIZED = 5
}

struct ControlReply {
  1: i64 sequence
  2: ControlOutcome outcome
  // Set for JOB_STATE: value of Service::CallerJobState.
  3: i32 jobState
  4: i64 count
  // Set for AWAIT_CONFIGURATION: the configuration, encoded as CBOR.
  5: binary configuration
  // Addresses at which control processes listen for these messages.
  6: list<string> members
  7: string leaderAddress
  8: i64 retryAfterMs
  // Set for COLLECT_ANSWERS: replies of endpoints to orders.
  9: list<EndpointAnswer> answers
}
