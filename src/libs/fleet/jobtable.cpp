#include "jobtable.h"

#include "statelookup.h"

#include <algorithm>

namespace Fleet {

using Utils::ErrorType;
using Utils::failure;
using namespace Internal;

auto JobTable::find(const std::string &id) const -> const Job *
{
    return findIn(m_jobs, id);
}

auto JobTable::queuePositionOf(const Job &job) -> QueuePosition
{
    return {job.service, job.submittedRevision, job.id};
}

auto JobTable::rebuildQueue() -> void
{
    m_queue.clear();
    for (const auto &[id, job] : m_jobs) {
        if (job.state == JobState::Queued)
            m_queue.insert(queuePositionOf(job));
    }
}

auto JobTable::changeState(Job &job, JobState state, std::string detail, JobTime time) -> void
{
    if (state == JobState::Queued)
        m_queue.insert(queuePositionOf(job));
    else
        m_queue.erase(queuePositionOf(job));
    job.state = state;
    job.detail = std::move(detail);
    job.revision = time.revision;
    if (job.isEnded())
        job.endedMs = time.nowMs;
}

auto JobTable::submit(const SubmitJob &command, JobTime time) -> Utils::Result<Job *>
{
    if (auto *existing = findIn(m_jobs, command.job.id)) {
        if (existing->fingerprint != command.job.fingerprint)
            return failure(ErrorType::Mismatch, "the idempotency key was used for another job");
        return existing;
    }
    if (command.job.body.data.size() > maximumBodyBytes)
        return failure(ErrorType::InvalidInput, "the job's body is too large");
    if (std::int64_t(m_jobs.size()) >= command.limit)
        return failure(ErrorType::LimitReached, "the limit of jobs is reached");
    auto &job = m_jobs[command.job.id] = command.job;
    job.attempt = 0;
    job.createdMs = time.nowMs;
    job.endedMs = 0;
    job.submittedRevision = time.revision;
    changeState(job, JobState::Queued, {}, time);
    return &job;
}

auto JobTable::nextJob(const StartJob &command) -> Job *
{
    auto position = m_queue.lower_bound({command.service, 0, {}});
    for (; position != m_queue.end() && position->service == command.service; ++position) {
        auto &job = m_jobs[position->job];
        // A host on which the job failed gets it again only if it requests the job by id.
        if (std::ranges::find(job.failedHosts, command.host) == job.failedHosts.end())
            return &job;
    }
    return nullptr;
}

auto JobTable::findStarted(const StartJob &command) -> Job *
{
    if (command.startId.empty())
        return nullptr;
    const auto found = std::ranges::find_if(m_jobs, [&](const auto &entry) {
        const auto &job = entry.second;
        return job.state == JobState::Running && job.host == command.host
               && job.startId == command.startId;
    });
    return found == m_jobs.end() ? nullptr : &found->second;
}

auto JobTable::start(const StartJob &command, JobTime time) -> Utils::Result<Job *>
{
    if (auto *existing = findStarted(command))
        return existing;
    auto *job = command.job.empty() ? nextJob(command) : findIn(m_jobs, command.job);
    if (!job)
        return failure(ErrorType::NotFound, "no such job is queued", command.service);
    if (job->state != JobState::Queued)
        return failure(
            ErrorType::Conflict, "the job is not queued", std::string(Utils::nameOf(job->state)));
    changeState(*job, JobState::Running, {}, time);
    ++job->attempt;
    job->host = command.host;
    job->startId = command.startId;
    job->leaseUntilMs = time.nowMs + command.leaseMs;
    return job;
}

auto JobTable::currentAttempt(const std::string &id, std::int64_t attempt) -> Utils::Result<Job *>
{
    auto *job = findIn(m_jobs, id);
    if (!job)
        return failure(ErrorType::NotFound, "unknown job", id);
    if (job->state != JobState::Running || job->attempt != attempt)
        return failure(ErrorType::Conflict,
                       "this is not the job's current attempt",
                       std::string(Utils::nameOf(job->state)));
    return job;
}

auto JobTable::checkpoint(const CheckpointJob &command, JobTime time) -> Utils::Result<Job *>
{
    BOOST_OUTCOME_TRY(job, currentAttempt(command.job, command.attempt));
    if (command.checkpoint.data.size() > maximumCheckpointBytes)
        return failure(ErrorType::InvalidInput, "the checkpoint is too large");
    job->checkpoint = command.checkpoint;
    job->leaseUntilMs = std::max(job->leaseUntilMs, time.nowMs + command.leaseMs);
    job->revision = time.revision;
    return job;
}

auto JobTable::finish(const FinishJob &command, bool hostHealthy, JobTime time)
    -> Utils::Result<Job *>
{
    auto *existing = findIn(m_jobs, command.job);
    const auto isResend = existing && existing->state == JobState::Committed
                          && existing->attempt == command.attempt
                          && command.outcome == JobOutcome::Done;
    if (isResend)
        return existing;
    BOOST_OUTCOME_TRY(job, currentAttempt(command.job, command.attempt));
    if (command.outcome == JobOutcome::Done) {
        if (command.answer.size() > maximumResponseBytes)
            return failure(ErrorType::InvalidInput, "the job's answer is too large");
        job->answer = command.answer;
        changeState(*job, JobState::Committed, {}, time);
    } else if (command.outcome == JobOutcome::NotRun) {
        changeState(*job, JobState::Queued, "the attempt did not run", time);
    } else {
        failAttempt(*job, hostHealthy, "the attempt failed", time);
    }
    return job;
}

auto JobTable::failAttempt(Job &job, bool hostHealthy, std::string detail, JobTime time) -> void
{
    const auto isNew = std::ranges::find(job.failedHosts, job.host) == job.failedHosts.end();
    if (hostHealthy && isNew)
        job.failedHosts.push_back(job.host);
    if (!job.idempotent)
        changeState(job, JobState::NeedsOperator, detail + "; it may have run in part", time);
    else if (job.failedHosts.size() >= maximumFailedHosts)
        changeState(job, JobState::Failed, "it failed on three healthy hosts", time);
    else
        changeState(job, JobState::Queued, std::move(detail), time);
}

auto JobTable::cancel(const CancelJob &command, JobTime time) -> Utils::Result<Job *>
{
    auto *job = findIn(m_jobs, command.job);
    if (!job || job->customer != command.customer)
        return failure(ErrorType::NotFound, "unknown job", command.job);
    if (job->state == JobState::Cancelled)
        return job;
    if (job->isEnded())
        return failure(
            ErrorType::Conflict, "the job has ended", std::string(Utils::nameOf(job->state)));
    changeState(*job, JobState::Cancelled, "cancelled by the customer", time);
    return job;
}

auto JobTable::resolve(const ResolveJob &command, JobTime time) -> Utils::Result<Job *>
{
    auto *job = findIn(m_jobs, command.job);
    if (!job)
        return failure(ErrorType::NotFound, "unknown job", command.job);
    if (job->state != JobState::NeedsOperator)
        return failure(ErrorType::Conflict,
                       "the job does not wait for an operator",
                       std::string(Utils::nameOf(job->state)));
    changeState(*job, command.requeue ? JobState::Queued : JobState::Failed, command.reason, time);
    return job;
}

auto JobTable::jobsWithExpiredLease(WallTimeMs nowMs) const -> std::vector<std::string>
{
    std::vector<std::string> jobs;
    for (const auto &[id, job] : m_jobs) {
        if (job.state == JobState::Running && job.leaseUntilMs < nowMs)
            jobs.push_back(id);
    }
    return jobs;
}

auto JobTable::endLease(const std::string &id, bool hostHealthy, JobTime time) -> Job &
{
    auto &job = m_jobs[id];
    failAttempt(job, hostHealthy, "the lease ended on host " + job.host, time);
    return job;
}

auto JobTable::removeEnded(WallTimeMs retentionMs, WallTimeMs nowMs) -> void
{
    std::erase_if(m_jobs, [&](const auto &entry) {
        return entry.second.isEnded() && entry.second.endedMs + retentionMs < nowMs;
    });
}

} // namespace Fleet
