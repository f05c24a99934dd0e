#pragma once

#include "replication/replicatedlog.h"

namespace Service {

/*! \brief What a control process without a session has to do about leadership. */
enum class LeadershipStep {
    Wait,         //!< Another process leads, or this one has no contact with a majority.
    BeginSession, //!< This process leads in a term that has had no session.
    Resign,       //!< This process leads in a term whose session has ended.
};

/*!
    \brief Returns the next step of a process whose last session was in \a lastSessionTerm.

    Run numbers and fencing tokens carry the term. A second session in one term would use the same
    ones again, and orders of the first session that are still on their way would be carried out.
*/
auto nextLeadershipStep(const Replication::LogStatus &status, std::uint64_t lastSessionTerm)
    -> LeadershipStep;

} // namespace Service
