#pragma once

#include "jobcommands.h"

#include <set>
#include <tuple>

namespace Fleet {

/*! \brief The moment at which a command changes jobs. */
struct JobTime
{
    WallTimeMs nowMs = 0;
    Revision revision = 0;
};

/*!
    \brief The deferred jobs.

    A job is run by its current attempt alone, under a lease in command time. When the lease
    ends, an idempotent job is queued again with its checkpoint; one that is not idempotent
    waits for an operator, since it may have run in part.
*/
class JobTable
{
public:
    /*! \brief Different healthy hosts that a job may fail on before it is failed itself. */
    static constexpr std::size_t maximumFailedHosts = 3;
    static constexpr std::size_t maximumBodyBytes = 256 * 1024;
    static constexpr std::size_t maximumCheckpointBytes = 64 * 1024;
    static constexpr std::int64_t maximumAnswerBytes = 64 * 1024;

    auto submit(const SubmitJob &command, JobTime time) -> Utils::Result<Job *>;
    auto start(const StartJob &command, JobTime time) -> Utils::Result<Job *>;
    auto checkpoint(const CheckpointJob &command, JobTime time) -> Utils::Result<Job *>;
    /*! \brief Ends an attempt; \a hostHealthy tells whether a failure counts against the job. */
    auto finish(const FinishJob &command, bool hostHealthy, JobTime time) -> Utils::Result<Job *>;
    auto cancel(const CancelJob &command, JobTime time) -> Utils::Result<Job *>;
    auto resolve(const ResolveJob &command, JobTime time) -> Utils::Result<Job *>;
    /*! \brief Returns jobs whose lease has passed. */
    auto overdue(WallTimeMs nowMs) const -> std::vector<std::string>;
    /*! \brief Ends the attempt of a job whose lease has passed. */
    auto endLease(const std::string &id, bool hostHealthy, JobTime time) -> Job &;
    auto dropEnded(WallTimeMs retentionMs, WallTimeMs nowMs) -> void;

    auto find(const std::string &id) const -> const Job *;
    auto all() const -> const std::map<std::string, Job> & { return m_jobs; }

    template <typename Archive>
    friend auto describe(Archive &archive, JobTable &table) -> void
    {
        archive.optional("by_id", table.m_jobs);
        if constexpr (std::is_same_v<Archive, Utils::JsonReader>)
            table.rebuildQueue();
    }

private:
    struct QueuePlace
    {
        std::string service;
        Revision submittedRevision = 0;
        std::string job;
        auto operator<(const QueuePlace &other) const -> bool
        {
            return std::tie(service, submittedRevision, job)
                   < std::tie(other.service, other.submittedRevision, other.job);
        }
    };

    static auto placeOf(const Job &job) -> QueuePlace;
    auto rebuildQueue() -> void;
    auto nextJob(const StartJob &command) -> Job *;
    auto startedBefore(const StartJob &command) -> Job *;
    auto currentAttempt(const std::string &id, std::int64_t attempt) -> Utils::Result<Job *>;
    auto changeState(Job &job, JobState state, std::string detail, JobTime time) -> void;
    auto attemptFailed(Job &job, bool hostHealthy, std::string detail, JobTime time) -> void;

    std::map<std::string, Job> m_jobs;
    std::set<QueuePlace> m_queue;
};

} // namespace Fleet
