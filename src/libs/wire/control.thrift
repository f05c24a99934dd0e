// Messages between entry processes and control processes.
namespace cpp Wire

enum ControlCall {
  HELLO = 0,
  HAND_IN = 1,
  JOB_STATE = 2,
  CANCEL_JOB = 3,
  COUNT_WAITING = 4,
  // Answered once a configuration above the version in the request is in force.
  AWAIT_CONFIGURATION = 5
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
  // Of JOB_STATE: a value of Control::ShownState.
  3: i32 jobState
  4: i64 count
  // Of AWAIT_CONFIGURATION, as CBOR.
  5: binary configuration
  // Where control processes listen for these messages.
  6: list<string> members
  7: string leaderAddress
  8: i64 retryAfterMs
}
