#pragma once

#include "utils/fields.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

/*! Jobs of several steps, as submitted by callers, and their progress. */
namespace Jobs {

/*! \brief Resources that a task requires or that an endpoint offers. */
struct Resources
{
    std::int64_t cpuMillicores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t gpus = 0;

    auto operator==(const Resources &) const -> bool = default;
    auto operator+=(const Resources &other) -> Resources &
    {
        cpuMillicores += other.cpuMillicores;
        memoryMb += other.memoryMb;
        gpus += other.gpus;
        return *this;
    }
    auto operator-=(const Resources &other) -> Resources &
    {
        cpuMillicores -= other.cpuMillicores;
        memoryMb -= other.memoryMb;
        gpus -= other.gpus;
        return *this;
    }
    /*! \brief Returns true if these resources are available in \a room. */
    auto fitsInto(const Resources &room) const -> bool
    {
        return cpuMillicores <= room.cpuMillicores && memoryMb <= room.memoryMb
               && gpus <= room.gpus;
    }
};

/*! \brief Returns the smaller amount of each resource. */
inline auto leastOf(const Resources &first, const Resources &second) -> Resources
{
    return {std::min(first.cpuMillicores, second.cpuMillicores),
            std::min(first.memoryMb, second.memoryMb),
            std::min(first.gpus, second.gpus)};
}

/*! \brief Returns the larger amount of each resource. */
inline auto mostOf(const Resources &first, const Resources &second) -> Resources
{
    return {std::max(first.cpuMillicores, second.cpuMillicores),
            std::max(first.memoryMb, second.memoryMb),
            std::max(first.gpus, second.gpus)};
}

/*! \brief One step of a job, which consists of \c count equal tasks. */
struct StepSpec
{
    std::int64_t count = 0;
    Resources demand;
    std::int64_t estimateMs = 0;     //!< Duration of one task as estimated by the caller.
    std::vector<std::int64_t> after; //!< Indexes of earlier steps that must be done first.
    bool checkpoints = false;        //!< Tasks save their progress in checkpoints.
    bool gang = false;               //!< All tasks have to run at the same time.
    bool rackBound = false;          //!< Tasks are slow when spread over several racks.
    bool allowsDuplicates = false;   //!< Copies of a task may run in parallel.
    bool longRunning = false;        //!< Tasks run until the job is cancelled.
    bool fills = false;        //!< Tasks use only capacity that others leave unused (backfill).
    std::string requiredLabel; //!< Label that an endpoint must have; empty means any endpoint.
    std::string dataRack;      //!< Rack of the task's data; empty means no preference.
    std::string image;         //!< Image of the tasks; tasks with the same image behave alike.
    std::int64_t maximumPerHost = 0;  //!< Tasks of the step per host; 0 means no limit.
    std::int64_t latencyTargetMs = 0; //!< Latency target of tasks that serve users; 0 means none.
    //! Tasks that planned work may make unavailable at once; 0 means no limit.
    std::int64_t mayMiss = 0;
};

/*! \brief Schedule of a repeated job. A \c count of 0 means that the job runs once, immediately. */
struct Repetition
{
    std::int64_t count = 0;
    std::int64_t startMs = 0; //!< Time at which the first occurrence is due, since 1970.
    std::int64_t intervalMs = 0;
};

/*! \brief The part of a request that selects a queue. Callers know a queue by it alone. */
struct QueueAddress
{
    std::string host;
    std::string pathPrefix;

    auto operator==(const QueueAddress &) const -> bool = default;
    auto isKnown() const -> bool { return !host.empty() || !pathPrefix.empty(); }
};

/*! \brief The settings of a queue that apply to its jobs. */
struct QueueTerms
{
    std::int64_t priority = 0;        //!< Jobs with smaller values go first.
    double stretch = 1;               //!< Factor of the longest chain of steps in the objective.
    std::int64_t objectiveMs = 0;     //!< Time that is added to the stretched chain.
    std::int64_t maximumAttempts = 0; //!< Limit of failed runs of one task; 0 if none.

    auto operator==(const QueueTerms &) const -> bool = default;
};

/*! \brief A job as submitted. */
struct JobSpec
{
    std::string id;
    std::string queue; //!< Name that the queue had at the submission.
    //! Address of the queue at the submission, if it is known. It is not encoded, and neither are the
    //! terms, since older builds reject keys that they do not know.
    QueueAddress address;
    QueueTerms terms;    //!< Terms of the queue at the submission.
    std::string pool;    //!< Pool whose endpoints run the tasks.
    std::string payload; //!< Data that is passed to each task unchanged.
    std::vector<StepSpec> steps;
    Repetition repetition;
    std::int64_t submittedMs = 0; //!< Time of submission since 1970, by the leader's clock.
    std::string account;          //!< Client account that submitted it; empty without a key.
    bool beyondRate = false;      //!< It exceeded the rate that its account is owed.

    auto occurrences() const -> std::int64_t { return repetition.count > 0 ? repetition.count : 1; }
    /*! \brief Returns when occurrence \a number is due, in milliseconds since 1970. */
    auto dueMs(std::int64_t number) const -> std::int64_t
    {
        return repetition.count > 0 ? repetition.startMs + number * repetition.intervalMs
                                    : submittedMs;
    }
};

/*! \brief Identifies one task of one occurrence of a job. */
struct TaskId
{
    std::string job;
    std::int64_t occurrence = 0;
    std::int64_t step = 0;
    std::int64_t index = 0;

    auto operator==(const TaskId &) const -> bool = default;
    auto operator<(const TaskId &other) const -> bool
    {
        return std::tie(job, occurrence, step, index)
               < std::tie(other.job, other.occurrence, other.step, other.index);
    }
};

/*! \brief Returns the task with the lowest index of the step and occurrence of \a task. */
auto firstOfStep(TaskId task) -> TaskId;
/*! \brief Returns \a task in the form JOB.OCCURRENCE.STEP.INDEX. */
auto toText(const TaskId &task) -> std::string;
/*! \brief Parses the form of toText(); returns std::nullopt if \a text has another form. */
auto taskFromText(std::string_view text) -> std::optional<TaskId>;

/*! \brief Outcome of a run of a task that counts for the job. */
enum class TaskOutcome { Done, Failed };

template <typename Archive>
auto describe(Archive &archive, Resources &resources) -> void
{
    archive.optional("cpu", resources.cpuMillicores);
    archive.optional("memory", resources.memoryMb);
    archive.optional("gpus", resources.gpus);
}

template <typename Archive>
auto describe(Archive &archive, StepSpec &step) -> void
{
    archive.optional("count", step.count);
    archive.optional("demand", step.demand);
    archive.optional("estimate", step.estimateMs);
    archive.optional("after", step.after);
    archive.optional("checkpoints", step.checkpoints);
    archive.optional("gang", step.gang);
    archive.optional("rackBound", step.rackBound);
    archive.optional("duplicates", step.allowsDuplicates);
    archive.optional("longRunning", step.longRunning);
    archive.optional("fills", step.fills);
    archive.optional("label", step.requiredLabel);
    archive.optional("dataRack", step.dataRack);
    archive.optional("image", step.image);
    archive.optional("perHost", step.maximumPerHost);
    archive.optional("target", step.latencyTargetMs);
    archive.optional("mayMiss", step.mayMiss);
}

template <typename Archive>
auto describe(Archive &archive, Repetition &repetition) -> void
{
    archive.optional("count", repetition.count);
    archive.optional("start", repetition.startMs);
    archive.optional("interval", repetition.intervalMs);
}

template <typename Archive>
auto describe(Archive &archive, QueueAddress &address) -> void
{
    archive.required("host", address.host);
    archive.required("prefix", address.pathPrefix);
}

template <typename Archive>
auto describe(Archive &archive, QueueTerms &terms) -> void
{
    archive.optional("priority", terms.priority);
    archive.optional("stretch", terms.stretch);
    archive.optional("objective", terms.objectiveMs);
    archive.optional("attempts", terms.maximumAttempts);
}

template <typename Archive>
auto describe(Archive &archive, JobSpec &job) -> void
{
    archive.required("id", job.id);
    archive.required("queue", job.queue);
    archive.required("pool", job.pool);
    archive.optional("payload", job.payload);
    archive.required("steps", job.steps);
    archive.optional("repetition", job.repetition);
    archive.optional("handedIn", job.submittedMs);
    // Older builds reject keys that they do not know, so these are written only where they are used.
    auto account = job.account.empty() ? std::nullopt : std::optional(job.account);
    archive.optional("account", account);
    job.account = account.value_or(std::string());
    auto beyondRate = job.beyondRate ? std::optional(true) : std::nullopt;
    archive.optional("beyondRate", beyondRate);
    job.beyondRate = beyondRate.value_or(false);
}

inline auto enumNames(TaskOutcome) -> std::span<const Utils::EnumName<TaskOutcome>>
{
    static constexpr Utils::EnumName<TaskOutcome> names[] = {{TaskOutcome::Done, "done"},
                                                             {TaskOutcome::Failed, "failed"}};
    return names;
}

} // namespace Jobs
