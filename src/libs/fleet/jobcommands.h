#pragma once

#include "jobtypes.h"

/*! Commands on deferred jobs. */
namespace Fleet {

/*! \brief Accepts a job; a resend with the same id and content is accepted again. */
struct SubmitJob
{
    static constexpr std::string_view typeName = "submit-job";
    static constexpr bool resultKept = false;
    Job job;
    std::int64_t limit = 100'000; //!< Maximum number of jobs; further jobs are refused.
};

/*! \brief Starts a new attempt of a job, or of the service's next queued job, on a worker host. */
struct StartJob
{
    static constexpr std::string_view typeName = "start-job";
    static constexpr bool resultKept = false;
    std::string job; //!< If empty, the next queued job of the service is started.
    std::string service;
    std::string host;
    std::int64_t leaseMs = 0;
    std::string startId; //!< Set by the worker; a resend with the same id gets the same attempt.
};

/*! \brief Stores a checkpoint of the current attempt and renews its lease. */
struct CheckpointJob
{
    static constexpr std::string_view typeName = "checkpoint-job";
    static constexpr bool resultKept = false;
    std::string job;
    std::int64_t attempt = 0;
    std::int64_t leaseMs = 0;
    Utils::Bytes checkpoint;
};

/*! \brief The outcome that an attempt reports; NotRun means that it had no effect at all. */
enum class JobOutcome { Done, Failed, NotRun };

auto enumNames(JobOutcome) -> std::span<const Utils::EnumName<JobOutcome>>;

/*! \brief Ends the current attempt; Done commits the job, which happens at most once. */
struct FinishJob
{
    static constexpr std::string_view typeName = "finish-job";
    static constexpr bool resultKept = false;
    std::string job;
    std::int64_t attempt = 0;
    JobOutcome outcome = JobOutcome::Done;
    StoredResponse answer;
};

struct CancelJob
{
    static constexpr std::string_view typeName = "cancel-job";
    static constexpr bool resultKept = false;
    std::string job;
    std::string customer;
};

/*! \brief An operator's decision on a job that may have run in part. */
struct ResolveJob
{
    static constexpr std::string_view typeName = "resolve-job";
    std::string job;
    bool requeue = false; //!< Whether to queue the job again; otherwise the job fails.
    std::string reason;
};

/*! \brief Ends expired leases and removes ended jobs after their retention. */
struct ExpireJobs
{
    static constexpr std::string_view typeName = "expire-jobs";
    static constexpr bool resultKept = false;
    std::int64_t retentionMs = 0;
};

template <typename Archive>
auto describe(Archive &archive, SubmitJob &command) -> void
{
    archive.required("job", command.job);
    archive.optional("limit", command.limit);
}

template <typename Archive>
auto describe(Archive &archive, StartJob &command) -> void
{
    archive.optional("job", command.job);
    archive.optional("service", command.service);
    archive.required("host", command.host);
    archive.required("lease_ms", command.leaseMs);
    archive.optional("start_id", command.startId);
}

template <typename Archive>
auto describe(Archive &archive, CheckpointJob &command) -> void
{
    archive.required("job", command.job);
    archive.required("attempt", command.attempt);
    archive.required("lease_ms", command.leaseMs);
    archive.optional("checkpoint", command.checkpoint);
}

template <typename Archive>
auto describe(Archive &archive, FinishJob &command) -> void
{
    archive.required("job", command.job);
    archive.required("attempt", command.attempt);
    archive.required("outcome", command.outcome);
    archive.optional("answer", command.answer);
}

template <typename Archive>
auto describe(Archive &archive, CancelJob &command) -> void
{
    archive.required("job", command.job);
    archive.required("customer", command.customer);
}

template <typename Archive>
auto describe(Archive &archive, ResolveJob &command) -> void
{
    archive.required("job", command.job);
    archive.required("requeue", command.requeue);
    archive.optional("reason", command.reason);
}

template <typename Archive>
auto describe(Archive &archive, ExpireJobs &command) -> void
{
    archive.required("retention_ms", command.retentionMs);
}

} // namespace Fleet
