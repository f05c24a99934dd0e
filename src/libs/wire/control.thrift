// Messages between entry processes and control processes.
namespace cpp Wire

enum ControlCall {
  HELLO = 0,
  HAND_IN = 1,
  JOB_STATE = 2,
  CANCEL_JOB = 3,
  COUNT_WAITING = 4,
  // Answered once a configuration above the version in the request is in force.
  AWAIT_CONFIGURATION = 5,
  // The leader has other control processes carry out its orders to endpoints.
  CARRY_OUT = 6,
  // Answered once there are answers to the orders of the session, or after a while without any.
  COLLECT_ANSWERS = 7
}

enum OrderKind {
  START = 0,
  STOP = 1,
  PACE = 2,
  LOOK = 3
}

// An order of the leader to an endpoint; only the fields of its kind are set.
struct EndpointOrder {
  // Of the order within its session.
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
  // A value of Execution::EndKind.
  4: i32 kind
  5: string checkpoint
}

struct EndpointAnswer {
  // Of the order.
  1: i64 number
  // A value of Execution's result of an order of this kind.
  2: i32 result
  3: i64 clockMs
  4: i64 bornMs
  5: list<RunningRow> running
  6: list<EndedRow> ended
}

struct ControlRequest {
  1: i64 sequence
  2: ControlCall call
  // Of HAND_IN: the job as CBOR.
  3: binary job
  4: string jobId
  5: string queue
  6: i64 version
  // Of HELLO, from a control process: how others reach it.
  7: string processId
  8: string address
  9: string zone
  // Of CARRY_OUT and COLLECT_ANSWERS: one term of one leader.
  10: string session
  11: list<EndpointOrder> orders
}

enum ControlOutcome {
  DONE = 0,
  // The process does not lead; leaderAddress names the one that does, if known.
  NOT_LEADER = 1,
  // Certainly not accepted, now or later.
  REFUSED = 2,
  // No such queue or job.
  UNKNOWN_NAME = 3,
  // May have been done or may yet be done.
  OUTCOME_UNKNOWN = 4
}

struct ControlReply {
  1: i64 sequence
  2: ControlOutcome outcome
  // Of JOB_STATE: a value of Service::CallerJobState.
  3: i32 jobState
  4: i64 count
  // Of AWAIT_CONFIGURATION, as CBOR.
  5: binary configuration
  // Where control processes listen for these messages.
  6: list<string> members
  7: string leaderAddress
  8: i64 retryAfterMs
  // Of COLLECT_ANSWERS.
  9: list<EndpointAnswer> answers
}
