#pragma once

#include "orders.h"

#include "control/controlcommands.h"
#include "jobs/jobtypes.h"
#include "utils/clock.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Execution {

/*! \brief Endpoints' clocks run at least this fast, in percent of ours. */
inline constexpr std::int64_t slowestClockPercent = 98;

enum class RunState {
    Ordered,   //!< The start was sent and not answered yet.
    Running,   //!< The endpoint confirmed the start or listed the run.
    Uncertain, //!< The start was not answered in time; a stop has to settle it.
};

/*! \brief A start of a task on an endpoint, from its order until nothing of it can run. */
struct Run
{
    Jobs::TaskId task;
    std::int64_t number = 0;
    RunState state = RunState::Ordered;
    Jobs::Resources occupies;
    bool fills = false;
    bool longRunning = false;
    bool adopted = false; //!< Found by a look; when it began is not known.
    bool resumed = false; //!< Began from a checkpoint.
    std::int64_t latencyTargetMs = 0;
    std::int64_t leaseEndMs = 0;          //!< Of the start order, on the endpoint's clock.
    Utils::Instant confirmedAt;           //!< When the start's answer arrived.
    std::int64_t percent = 0;             //!< 100 when at work, as last reported.
    std::int64_t load = 0;                //!< As last reported.
    Utils::Instant orderedAt;             //!< When the start was decided.
    std::int64_t pacePercent = 100;       //!< Share of its speed that a filling task is allowed.
    bool paceInFlight = false;            //!< A change of that share is not answered yet.
    bool unlisted = false;                //!< A look that was sent after its start did not list it.
    std::optional<StopReason> stopReason; //!< Set if it is to be stopped.
    Utils::Instant stopSentAt;            //!< Of the last stop order; zero: none.
    Utils::Instant stopAnsweredAt;        //!< Of the first accepted stop; zero: none.

    /*! \brief Notes that it is to be stopped. A reason that cannot wait replaces one that can. */
    auto wantStop(StopReason reason) -> void;
};

/*! \brief Returns a run of a task of \a step, which occupies what the step asks for. */
auto makeRun(const Jobs::StepSpec &step, const Jobs::TaskId &task, std::int64_t number) -> Run;

/*! \brief The runs on one endpoint, with what they occupy together. */
class RunTable
{
public:
    using Runs = std::map<Jobs::TaskId, Run>;

    auto begin() const { return m_runs.begin(); }
    auto end() const { return m_runs.end(); }
    auto begin() { return m_runs.begin(); }
    auto end() { return m_runs.end(); }
    auto size() const -> std::size_t { return m_runs.size(); }
    auto empty() const -> bool { return m_runs.empty(); }
    auto contains(const Jobs::TaskId &task) const -> bool { return m_runs.contains(task); }
    auto find(const Jobs::TaskId &task) -> Run *;
    auto find(const Jobs::TaskId &task) const -> const Run *;
    /*! \brief Adds \a run, in place of an earlier run of its task. */
    auto add(const Run &run) -> Run &;
    auto erase(const Jobs::TaskId &task) -> void;
    /*! \brief Removes and returns all runs. */
    auto take() -> Runs;

    auto occupied() const -> const Jobs::Resources & { return m_occupied; }
    auto servesUsers() const -> bool { return m_withTarget > 0; }
    auto holdsLongRunning() const -> bool { return m_longRunning > 0; }
    auto holdsFilling() const -> bool { return m_filling > 0; }
    /*! \brief Returns how many runs are of the same step and occurrence as \a task. */
    auto countOfStep(const Jobs::TaskId &task) const -> std::int64_t;

private:
    auto count(const Run &run, int by) -> void;

    Runs m_runs;
    Jobs::Resources m_occupied;
    int m_withTarget = 0;
    int m_longRunning = 0;
    int m_filling = 0;
};

/*! \brief One endpoint as the leader knows it. */
struct EndpointEntry
{
    Control::EndpointRecord record;
    bool looked = false;  //!< Has answered a look of this term.
    bool answers = false; //!< Has answered the last look.
    bool draining = false;
    bool closed = false;      //!< For maintenance.
    bool endOrdered = false;  //!< An order that ends everything here is not settled.
    bool leaving = false;     //!< Said that it ends.
    Utils::Instant seenAt;    //!< Of the last answered look.
    std::int64_t clockMs = 0; //!< Its clock at clockAt.
    Utils::Instant clockAt;
    Utils::Instant leaseEnd;    //!< When everything there has certainly ended, unless prolonged.
    std::int64_t notedEnds = 0; //!< Number of the last end that is durable.
    std::int64_t seenEnds = 0;  //!< Number of the last end that was taken into account.
    //! Tasks that an earlier leader ordered to start here, until a look tells what became of them.
    std::set<Jobs::TaskId> inherited;
    std::vector<Jobs::TaskId> reopenWhenNoted; //!< Tasks whose failed end is being logged.
    std::int64_t failureStreak = 0;            //!< Failed ends since the last good one.
    Utils::Instant avoidUntil;
    std::int64_t fillingPercent = 100; //!< Share of their speed that filling tasks get here.
    bool loadIsNew = false;            //!< Loads were reported since the share was last decided.
    RunTable runs;

    /*! \brief Returns how many tasks run here, or may from an earlier leader's time. */
    auto possibleRuns() const -> std::size_t { return runs.size() + inherited.size(); }
    auto freeResources() const -> Jobs::Resources;
    auto servesUsers() const -> bool { return runs.servesUsers(); }
    auto holdsLongRunning() const -> bool { return runs.holdsLongRunning(); }
    /*! \brief Returns a time on the endpoint's clock that is not ahead of it. */
    auto clockAtLeast(Utils::Instant now) const -> std::int64_t;
};

using EndpointTable = std::map<std::string, EndpointEntry>;

} // namespace Execution
