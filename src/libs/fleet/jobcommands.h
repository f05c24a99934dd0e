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
    std::int64_t limit = 100'000; //!< Jobs kept; at the limit new ones are refused.
};

/*! \brief Gives a job, or the service's next one, to a worker host as a new attempt. */
struct StartJob
{
    static constexpr std::string_view typeName = "start-job";
    static constexpr bool resultKept = false;
    std::string job; //!< Empty: the next job of the service.
    std::string service;
    std::string host;
    std::int64_t leaseMs = 0;
    std::string startId; //!< Chosen by the worker; a resend with it gets the same attempt.
};

/*! \brief Stores how far the current attempt is and renews its lease. */
struct CheckpointJob
{
    static constexpr std::string_view typeName = "checkpoint-job";
    static constexpr bool resultKept = false;
    std::string job;
    std::int64_t attempt = 0;
    std::int64_t leaseMs = 0;
    Utils::Bytes checkpoint;
};

/*! \brief What an attempt reports at its end; NotRun means that it had no effect at all. */
enum class JobOutcome { Done, Failed, NotRun };

auto enumNames(JobOutcome) -> std::span<const Utils::EnumName<JobOutcome>>;

/*! \brief Ends the current attempt; Done is the one permission to commit. */
struct FinishJob
{
    static constexpr std::string_view typeName = "finish-job";
    static constexpr bool resultKept = false;
    std::string job;
    std::int64_t attempt = 0;
    JobOutcome outcome = JobOutcome::Done;
    StoredAnswer answer;
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
    bool requeue = false; //!< Run it again; otherwise it fails.
    std::string reason;
};

/*! \brief Ends leases that passed and drops ended jobs after their retention. */
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
