#pragma once

#include "joborder.h"

#include <cstdint>
#include <optional>

namespace Scheduling {

/*! \brief Why a job is refused at its submission. */
enum class AdmissionRefusal {
    BeyondRate, //!< It exceeds the rate of its account and can't be done in time.
    TooMuch,    //!< Accepted jobs occupy as much memory as they may.
};

/*! \brief A job that is submitted. Work is in milliseconds of a whole host. */
struct AdmissionRequest
{
    QueueTerms terms;
    std::int64_t chainMs = 0; //!< Expected duration of the longest chain of its steps.
    double workMs = 0;
    bool beyondRate = false; //!< It exceeds the rate that its account is owed.
};

/*! \brief The pool of a job that is submitted, as far as the decision depends on it. */
struct AdmissionLoad
{
    double aheadMs = 0;       //!< Work that is ranked before the job once it is late.
    double aheadOnTimeMs = 0; //!< Part of it that is ranked before the job while that is on time.
    double hosts = 0;         //!< Hosts that serve the pool or are on their way to it.
    double owedHosts = 0;     //!< Hosts that the owed work that keeps coming occupies.
    bool hasRoom = false;     //!< The first tasks of the job can start now.
    bool isFull = false;      //!< Accepted jobs occupy as much memory as they may.
};

struct Admission
{
    std::optional<AdmissionRefusal> refusal; //!< None if the job is accepted.
    std::int64_t backlogMs = 0;              //!< Time until the work ahead is worked off.
    std::int64_t retryAfterMs = 0;           //!< At least backlogMs if the job is refused.
};

/*!
    \brief Decides whether a job of a client account is accepted.

    Answers the load of a burst that is larger than what the pool can do in time: callers of jobs that
    would end when their result is worthless learn that at once and can come back, and these jobs do not
    take the room of work that can still be in time.

    A job that exceeds the rate of its account is refused if it is not expected to end within three
    times its objective. A job that is owed is never refused for what is ahead of it, but only for want of
    memory.
*/
auto decideAdmission(const AdmissionRequest &request, const AdmissionLoad &load) -> Admission;

/*! \brief Returns the part of a host of size \a host that \a demand occupies: that of the scarcest resource. */
auto shareOfHost(const Jobs::Resources &demand, const Jobs::Resources &host) -> double;

} // namespace Scheduling
