#pragma once

#include <cstdint>

namespace Service {

/*! \brief What became of a request for the leader. */
enum class Outcome {
    Done,
    NotLeader,   //!< This process does not lead; nothing was done.
    Refused,     //!< Certainly not done, now or later.
    UnknownName, //!< There is no such queue, job or wave.
    Unknown,     //!< May have been done or may yet be done.
};

struct HandInResult
{
    Outcome outcome = Outcome::Unknown;
    bool overloaded = false;       //!< Refused because the queue has more work than it can do.
    std::int64_t retryAfterMs = 0; //!< When a refused job may be handed in again.
};

/*! \brief The state of a job as callers see it. */
enum class ShownState { Queued, Running, Done, Failed, Cancelled };

struct JobStateResult
{
    Outcome outcome = Outcome::Unknown;
    ShownState state = ShownState::Queued;
};

struct CancelResult
{
    Outcome outcome = Outcome::Unknown;
};

struct CountResult
{
    Outcome outcome = Outcome::Unknown;
    std::int64_t waiting = 0;
};

} // namespace Service
