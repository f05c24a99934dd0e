#pragma once

#include "jobs/jobtypes.h"
#include "utils/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Execution {

/*! \brief Where the open tasks of a step may start in one pass. */
struct PlacePlan
{
    std::string_view rack;      //!< Preferred rack; empty means that of the tasks' data, if any.
    bool onlyThere = false;     //!< Tasks without a place there wait.
    bool startsNothing = false; //!< No task starts in this pass.
};

/*! \brief A task that is to be started, and whose duration depends on its place. */
struct PlacedTask
{
    Jobs::TaskId task;
    std::string endpoint;
    bool far = false;
    Utils::Milliseconds waited{0}; //!< Time for which its step has waited for places near.
};

/*!
    \brief Since when steps wait for places near their data or group.

    The state is not durable. Under a new leader the waits begin anew.
*/
class PlaceWaits
{
public:
    /*! \brief Notes that open tasks of the step wait in this pass. */
    auto wait(const Jobs::TaskId &first, Utils::Instant now) -> void;
    /*! \brief Notes that no task of the step waits; \a spread means that it takes several racks. */
    auto endWait(const Jobs::TaskId &first, Utils::Instant now, bool spread) -> void;
    /*! \brief Notes that a run of the task was lost or has failed; its step does not wait any more. */
    auto noteLost(const Jobs::TaskId &task) -> void;
    /*! \brief Forgets the steps of the job. */
    auto forget(const std::string &job) -> void;
    auto clear() -> void { m_steps.clear(); }

    /*! \brief Returns the time from the beginning of the step's first wait until its end, or \a now. */
    auto waited(const Jobs::TaskId &first, Utils::Instant now) const -> Utils::Milliseconds;
    auto mayWait(const Jobs::TaskId &first) const -> bool;
    /*! \brief Returns true if tasks of a step that is slow when spread over racks were spread. */
    auto isSpread(const Jobs::TaskId &first) const -> bool;

private:
    struct Step
    {
        std::optional<Utils::Instant> since;
        std::optional<Utils::Instant> until;
        bool lost = false;
        bool spread = false;
    };

    auto find(const Jobs::TaskId &first) const -> const Step *;

    std::map<Jobs::TaskId, Step> m_steps; //!< By the first task of the step.
};

} // namespace Execution
