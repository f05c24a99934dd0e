#pragma once

#include "jobs/jobtypes.h"
#include "utils/fields.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

/*! Simulates a fleet and its callers on a virtual clock, with the leader's own decision code. */
namespace FleetModel {

/*! \brief The jobs that callers submit to one queue. */
struct QueueDemand
{
    std::string name;
    std::string pool;
    double jobsPerS = 1;     //!< Mean rate over the length of the scenario.
    double steps = 1;        //!< Mean number of steps, which run one after the other.
    double width = 8;        //!< Mean number of tasks in a step.
    double taskMs = 1000;    //!< Mean duration of a task.
    double taskSpread = 0.5; //!< Standard deviation of the logarithm of the task duration.
    double millicores = 1000;
    double millicoresSpread = 0; //!< Standard deviation of the logarithm of the millicores.
    double spreadOutShare = 0;   //!< Share of jobs of which a host runs at most two tasks.
    double estimateSpread = 0.5; //!< Standard deviation of log(estimate / true duration).
    double checkpointShare = 0;  //!< Share of jobs whose tasks save checkpoints.
    double dataShare = 0;        //!< Share of jobs whose data lies on one rack.
    double hotShare = 0;         //!< Share of these whose data lies on the first rack of the pool.
    double stretch = 1.6;
    std::int64_t objectiveMs = 600;
    std::int64_t priority = 0;
    std::string account;           //!< Client account that submits the jobs; empty without one.
    double weight = 0;             //!< Jobs per second that the account is owed.
    std::int64_t lastingTasks = 0; //!< Tasks of one job that runs all the time; 0: no such job.
};

/*! \brief A simulated fleet and the demand on it. */
struct Scenario
{
    std::vector<QueueDemand> queues;
    std::int64_t hostsPerPool = 10;
    std::int64_t spareHosts = 8;
    std::int64_t hostMillicores = 16'000;
    double farFactor = 1; //!< Duration of tasks away from their data, relative to that near it.
    bool waitsForPlaces = true; //!< The leader knows farFactor, so that tasks wait for places near.
    std::int64_t turnMs = 4000; //!< How long each queue peaks in turn.
    double peakFactor = 5;      //!< Arrival rate of the peaking queue, relative to its mean.
    double quietFactor = 0.05;  //!< Arrival rate of the other queues, relative to their mean.
    std::int64_t lengthMs = 32'000;
    bool admission = false; //!< Jobs of accounts may be refused at their submission.
    std::int64_t seeds = 1; //!< Number of runs, each with different random jobs.
};

/*! \brief A simulated job with the true durations of its tasks. */
struct PlannedJob
{
    std::int64_t dueMs = 0; //!< Submission time after the warm-up; not used for long-running jobs.
    Jobs::JobSpec spec;
    std::vector<std::int64_t> taskMs; //!< True duration of the tasks of each step.
};

/*! \brief Returns the rack of the host with this number among the first hosts of \a pool. */
auto rackOf(const std::string &pool, std::int64_t host) -> std::string;

/*! \brief Returns the jobs of \a scenario in the order of their submission. */
auto planJobs(const Scenario &scenario, std::uint64_t seed) -> std::vector<PlannedJob>;

template <typename Archive>
auto describe(Archive &archive, QueueDemand &queue) -> void
{
    archive.required("name", queue.name);
    archive.required("pool", queue.pool);
    archive.required("jobs_per_s", queue.jobsPerS);
    archive.optional("steps", queue.steps);
    archive.optional("width", queue.width);
    archive.optional("task_ms", queue.taskMs);
    archive.optional("task_spread", queue.taskSpread);
    archive.optional("millicores", queue.millicores);
    archive.optional("millicores_spread", queue.millicoresSpread);
    archive.optional("spread_out_share", queue.spreadOutShare);
    archive.optional("estimate_spread", queue.estimateSpread);
    archive.optional("checkpoint_share", queue.checkpointShare);
    archive.optional("data_share", queue.dataShare);
    archive.optional("hot_share", queue.hotShare);
    archive.optional("stretch", queue.stretch);
    archive.optional("objective_ms", queue.objectiveMs);
    archive.optional("priority", queue.priority);
    archive.optional("account", queue.account);
    archive.optional("weight", queue.weight);
    archive.optional("lasting_tasks", queue.lastingTasks);
}

template <typename Archive>
auto describe(Archive &archive, Scenario &scenario) -> void
{
    archive.required("queues", scenario.queues);
    archive.optional("hosts_per_pool", scenario.hostsPerPool, Utils::Range{1, 10'000});
    archive.optional("spare_hosts", scenario.spareHosts, Utils::Range{0, 10'000});
    archive.optional("host_millicores", scenario.hostMillicores, Utils::Range{1, 1'000'000});
    archive.optional("far_factor", scenario.farFactor);
    archive.optional("waits_for_places", scenario.waitsForPlaces);
    archive.optional("turn_ms", scenario.turnMs, Utils::Range{100, 600'000});
    archive.optional("peak_factor", scenario.peakFactor);
    archive.optional("quiet_factor", scenario.quietFactor);
    archive.optional("length_ms", scenario.lengthMs, Utils::Range{1000, 600'000});
    archive.optional("admission", scenario.admission);
    archive.optional("seeds", scenario.seeds, Utils::Range{1, 1000});
}

} // namespace FleetModel
