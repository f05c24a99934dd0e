#include "demand.h"

#include <algorithm>
#include <cmath>

namespace FleetModel {
namespace {

constexpr std::int64_t stepMs = 10;
constexpr double millisecondsPerSecond = 1000;
constexpr std::int64_t taskMemoryMb = 500;
// Upper limits of the drawn values, relative to the mean.
constexpr double longestTaskFactor = 2.5;
constexpr double widestStepFactor = 4;
constexpr double largestTaskFactor = 3;
constexpr double widthSpread = 0.6;
constexpr std::int64_t jobIdDigits = 16;
constexpr std::int64_t spreadOutTasksPerHost = 2;
constexpr std::int64_t hostsPerRack = 4;

// Draws from the log-normal distribution with this mean; spread is the deviation of the logarithm.
auto drawLogNormal(std::mt19937_64 &engine, double mean, double spread) -> double
{
    std::lognormal_distribution<double> distribution(std::log(mean) - spread * spread / 2, spread);
    return distribution(engine);
}

auto jobId(std::uint64_t number) -> std::string
{
    auto digits = std::to_string(number);
    return std::string(std::size_t(jobIdDigits) - digits.size(), '0') + digits;
}

auto drawStepCount(std::mt19937_64 &engine, double mean) -> std::int64_t
{
    const auto whole = std::floor(mean);
    std::bernoulli_distribution roundsUp(mean - whole);
    return std::max<std::int64_t>(1, std::int64_t(whole) + (roundsUp(engine) ? 1 : 0));
}

// Draws nothing for a share of 0, so that scenarios without the property keep their jobs.
auto drawBool(std::mt19937_64 &engine, double share) -> bool
{
    return share > 0 && std::bernoulli_distribution(share)(engine);
}

auto drawMillicores(std::mt19937_64 &engine, const QueueDemand &queue) -> std::int64_t
{
    if (queue.millicoresSpread == 0)
        return std::int64_t(queue.millicores);
    const auto drawn = drawLogNormal(engine, queue.millicores, queue.millicoresSpread);
    return std::int64_t(std::min(drawn, queue.millicores * largestTaskFactor));
}

// Returns the rack of a job's data, or an empty text.
auto drawDataRack(std::mt19937_64 &engine, const QueueDemand &queue, std::int64_t hosts)
    -> std::string
{
    if (!drawBool(engine, queue.dataShare))
        return {};
    if (drawBool(engine, queue.hotShare))
        return rackOf(queue.pool, 0);
    return rackOf(queue.pool, std::uniform_int_distribution<std::int64_t>(0, hosts - 1)(engine));
}

auto planBatchJob(const QueueDemand &queue,
                  std::mt19937_64 &engine,
                  std::uint64_t number,
                  std::int64_t hosts) -> PlannedJob
{
    PlannedJob job;
    job.spec.id = jobId(number);
    job.spec.queue = queue.name;
    job.spec.pool = queue.pool;
    job.spec.account = queue.account;
    const auto steps = drawStepCount(engine, queue.steps);
    const auto savesProgress = std::bernoulli_distribution(queue.checkpointShare)(engine);
    const auto spreadOut = drawBool(engine, queue.spreadOutShare);
    const auto dataRack = drawDataRack(engine, queue, hosts);
    for (std::int64_t index = 0; index < steps; ++index) {
        const auto taskMs = std::min(drawLogNormal(engine, queue.taskMs, queue.taskSpread),
                                     queue.taskMs * longestTaskFactor);
        Jobs::StepSpec step;
        step.count = std::clamp<std::int64_t>(
            std::int64_t(std::lround(drawLogNormal(engine, queue.width, widthSpread))),
            1,
            std::int64_t(queue.width * widestStepFactor));
        step.demand = {drawMillicores(engine, queue), taskMemoryMb, 0};
        step.maximumPerHost = spreadOut ? spreadOutTasksPerHost : 0;
        step.estimateMs = std::int64_t(drawLogNormal(engine, taskMs, queue.estimateSpread));
        step.checkpoints = savesProgress;
        step.dataRack = dataRack;
        if (index > 0)
            step.after = {index - 1};
        job.spec.steps.push_back(step);
        job.taskMs.push_back(std::int64_t(taskMs));
    }
    return job;
}

auto planLongRunningJob(const QueueDemand &queue, std::uint64_t number) -> PlannedJob
{
    PlannedJob job;
    job.spec.id = jobId(number);
    job.spec.queue = queue.name;
    job.spec.pool = queue.pool;
    Jobs::StepSpec step;
    step.count = queue.lastingTasks;
    step.demand = {std::int64_t(queue.millicores), taskMemoryMb, 0};
    step.longRunning = true;
    step.maximumPerHost = 1;
    job.spec.steps.push_back(step);
    job.taskMs.push_back(0);
    return job;
}

} // namespace

auto rackOf(const std::string &pool, std::int64_t host) -> std::string
{
    return pool + "-rack-" + std::to_string(host / hostsPerRack);
}

auto planJobs(const Scenario &scenario, std::uint64_t seed) -> std::vector<PlannedJob>
{
    std::mt19937_64 engine(seed);
    std::vector<PlannedJob> jobs;
    std::vector<const QueueDemand *> batchQueues;
    for (const auto &queue : scenario.queues) {
        if (queue.lastingTasks > 0)
            jobs.push_back(planLongRunningJob(queue, jobs.size()));
        else
            batchQueues.push_back(&queue);
    }
    for (std::int64_t nowMs = 0; nowMs < scenario.lengthMs && !batchQueues.empty();
         nowMs += stepMs) {
        const auto peakQueue = std::size_t(nowMs / scenario.turnMs) % batchQueues.size();
        for (std::size_t index = 0; index < batchQueues.size(); ++index) {
            const auto factor = index == peakQueue ? scenario.peakFactor : scenario.quietFactor;
            const auto mean =
                batchQueues[index]->jobsPerS * factor * double(stepMs) / millisecondsPerSecond;
            auto arrivals = std::poisson_distribution<int>(mean)(engine);
            for (; arrivals > 0; --arrivals) {
                jobs.push_back(
                    planBatchJob(*batchQueues[index], engine, jobs.size(), scenario.hostsPerPool));
                jobs.back().dueMs = nowMs;
            }
        }
    }
    return jobs;
}

} // namespace FleetModel
