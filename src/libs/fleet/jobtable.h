#pragma once

#include "jobcommands.h"

#include <set>
#include <tuple>

namespace Fleet {

/*! \brief Time and log revision of a command that changes jobs. */
struct JobTime
{
    WallTimeMs nowMs = 0;
    Revision revision = 0;
};

/*!
    \brief The deferred jobs.

    Only the current attempt of a job may run it, under a lease measured in command time. When
    the lease ends, an idempotent job is queued again with its checkpoint, unless it has failed
    on too many healthy hosts. A job that is not idempotent waits for an operator, since it may
    have run in part.
*/
class JobTable
{
public:
    /*! \brief Number of different healthy hosts on which an idempotent job fails before it ends. */
    static constexpr std::size_t maximumFailedHosts = 3;
    static constexpr std::size_t maximumBodyBytes = 256 * 1024;
    static constexpr std::size_t maximumCheckpointBytes = 64 * 1024;
    static constexpr std::int64_t maximumResponseBytes = 64 * 1024;

    auto submit(const SubmitJob &command, JobTime time) -> Utils::Result<Job *>;
    auto start(const StartJob &command, JobTime time) -> Utils::Result<Job *>;
    auto checkpoint(const CheckpointJob &command, JobTime time) -> Utils::Result<Job *>;
    /*! \brief Ends an attempt; a failure counts against the job only if \a hostHealthy is true. */
    auto finish(const FinishJob &command, bool hostHealthy, JobTime time) -> Utils::Result<Job *>;
    auto cancel(const CancelJob &command, JobTime time) -> Utils::Result<Job *>;
    auto resolve(const ResolveJob &command, JobTime time) -> Utils::Result<Job *>;
    /*! \brief Returns the ids of the jobs whose lease has expired. */
    auto jobsWithExpiredLease(WallTimeMs nowMs) const -> std::vector<std::string>;
    /*! \brief Ends the attempt of a job whose lease has expired. */
    auto endLease(const std::string &id, bool hostHealthy, JobTime time) -> Job &;
    auto removeEnded(WallTimeMs retentionMs, WallTimeMs nowMs) -> void;

    auto find(const std::string &id) const -> const Job *;
    auto all() const -> const std::map<std::string, Job> & { return m_jobs; }

    template <typename Archive>
    friend auto describe(Archive &archive, JobTable &table) -> void
    {
        archive.optional("by_id", table.m_jobs);
        if constexpr (Archive::isReader)
            table.rebuildQueue();
    }

private:
    struct QueuePosition
    {
        std::string service;
        Revision submittedRevision = 0;
        std::string job;
        auto operator<(const QueuePosition &other) const -> bool
        {
            return std::tie(service, submittedRevision, job)
                   < std::tie(other.service, other.submittedRevision, other.job);
        }
    };

    static auto queuePositionOf(const Job &job) -> QueuePosition;
    auto rebuildQueue() -> void;
    auto nextJob(const StartJob &command) -> Job *;
    auto findStarted(const StartJob &command) -> Job *;
    auto currentAttempt(const std::string &id, std::int64_t attempt) -> Utils::Result<Job *>;
    auto changeState(Job &job, JobState state, std::string detail, JobTime time) -> void;
    auto failAttempt(Job &job, bool hostHealthy, std::string detail, JobTime time) -> void;

    std::map<std::string, Job> m_jobs;
    std::set<QueuePosition> m_queue;
};

} // namespace Fleet
