#pragma once

#include <cstdint>

namespace Service {

/*! \brief Outcome of a request to the leader. */
enum class Outcome {
    Done,
    NotLeader,    //!< The process is not the leader; the request had no effect.
    Refused,      //!< The request was not executed and will not be executed later.
    UnknownName,  //!< No queue, job or wave has the given name.
    Unauthorized, //!< The key is missing or is not one of a client account; nothing was executed.
    Unknown,      //!< The request may have been executed or may still be executed.
};

struct JobSubmissionResult
{
    Outcome outcome = Outcome::Unknown;
    bool overloaded = false;       //!< The job was refused because its queue is overloaded.
    std::int64_t retryAfterMs = 0; //!< Time to wait before a refused job is submitted again.
};

/*! \brief State of a job as reported to callers. */
enum class CallerJobState { Queued, Running, Done, Failed, Cancelled };

struct JobStateResult
{
    Outcome outcome = Outcome::Unknown;
    CallerJobState state = CallerJobState::Queued;
};

struct CancelResult
{
    Outcome outcome = Outcome::Unknown;
};

struct CountResult
{
    Outcome outcome = Outcome::Unknown;
    std::int64_t waiting = 0; //!< Number of jobs in the queue that have not started.
};

} // namespace Service
