#pragma once

#include "utils/fields.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

/*! Jobs of several steps: what callers hand in and how far it has come. */
namespace Jobs {

/*! \brief What a task occupies on an endpoint, or an endpoint offers. */
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
    /*! \brief Returns true if a task of this size fits into \a room. */
    auto fitsInto(const Resources &room) const -> bool
    {
        return cpuMillicores <= room.cpuMillicores && memoryMb <= room.memoryMb
               && gpus <= room.gpus;
    }
};

/*! \brief One step of a job: \c count equal tasks. */
struct StepSpec
{
    std::int64_t count = 0;
    Resources demand;
    std::int64_t estimateMs = 0;      //!< The caller's estimate of one task's duration.
    std::vector<std::int64_t> after;  //!< Earlier steps that must be done first.
    bool checkpoints = false;         //!< Tasks save their progress.
    bool gang = false;                //!< All tasks run together or not at all.
    bool rackBound = false;           //!< Slow when spread over several racks.
    bool allowsDuplicates = false;    //!< Copies of a task may run in parallel.
    bool longRunning = false;         //!< Runs until the job is cancelled.
    bool fills = false;               //!< Uses capacity that other tasks leave unused.
    std::string requiredLabel;        //!< Empty: any endpoint.
    std::string dataRack;             //!< Empty: no preference.
    std::string image;                //!< Tasks of one image behave alike.
    std::int64_t maximumPerHost = 0;  //!< 0: no limit.
    std::int64_t latencyTargetMs = 0; //!< Of tasks that serve users; 0: none.
    std::int64_t mayMiss = 0; //!< Tasks that planned work may take away at once; 0: no limit.
};

/*! \brief When a job's steps run again. A count of 0 means once, at once. */
struct Repetition
{
    std::int64_t count = 0;
    std::int64_t startMs = 0; //!< Since 1970.
    std::int64_t intervalMs = 0;
};

/*! \brief A job as it was handed in. */
struct JobSpec
{
    std::string id;
    std::string queue;
    std::string pool;    //!< Whose endpoints run the tasks.
    std::string payload; //!< Passed to each task as it is.
    std::vector<StepSpec> steps;
    Repetition repetition;
    std::int64_t handedInMs = 0; //!< Since 1970, by the leader's clock.

    auto occurrences() const -> std::int64_t { return repetition.count > 0 ? repetition.count : 1; }
    /*! \brief Returns when occurrence \a number is due, in milliseconds since 1970. */
    auto dueMs(std::int64_t number) const -> std::int64_t
    {
        return repetition.count > 0 ? repetition.startMs + number * repetition.intervalMs
                                    : handedInMs;
    }
};

/*! \brief Names one task of one occurrence of a job. */
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

/*! \brief Returns JOB.OCCURRENCE.STEP.INDEX. */
auto toText(const TaskId &task) -> std::string;
/*! \brief Reads what toText() gives; nothing if \a text has another form. */
auto taskFromText(std::string_view text) -> std::optional<TaskId>;

/*! \brief How a run of a task ended, as far as it counts for the job. */
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
auto describe(Archive &archive, JobSpec &job) -> void
{
    archive.required("id", job.id);
    archive.required("queue", job.queue);
    archive.required("pool", job.pool);
    archive.optional("payload", job.payload);
    archive.required("steps", job.steps);
    archive.optional("repetition", job.repetition);
    archive.optional("handedIn", job.handedInMs);
}

inline auto enumNames(TaskOutcome) -> std::span<const Utils::EnumName<TaskOutcome>>
{
    static constexpr Utils::EnumName<TaskOutcome> names[] = {{TaskOutcome::Done, "done"},
                                                             {TaskOutcome::Failed, "failed"}};
    return names;
}

} // namespace Jobs
