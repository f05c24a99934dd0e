#include "state.h"

#include "statelookup.h"

namespace Fleet {

using Utils::ErrorType;
using Utils::failure;
using namespace Internal;

namespace {

// Returns the fields of a job for the audit trail: never its body, checkpoint or result.
auto summaryOf(const Job &job) -> Utils::Json
{
    return {{"id", job.id},
            {"service", job.service},
            {"state", std::string(Utils::nameOf(job.state))},
            {"attempt", job.attempt},
            {"host", job.host},
            {"detail", job.detail}};
}

auto isHealthy(const Host *host) -> bool
{
    return host && (host->state == HostState::Serving || host->state == HostState::Soaking);
}

} // namespace

auto State::run(const SubmitJob &body, const Context &context) -> Utils::Result<Change>
{
    const auto *contract = findContract(body.job.customer);
    if (!contract)
        return failure(ErrorType::Forbidden, "unknown customer", body.job.customer);
    if (!contract->findService(body.job.service))
        return failure(
            ErrorType::NotFound, "the contract does not name the service", body.job.service);
    BOOST_OUTCOME_TRY(job, m_jobs.submit(body, {m_timeMs, context.revision}));
    const auto isNew = job->submittedRevision == context.revision;
    return Change{job->id, job->customer, {}, {}, summaryOf(*job), isNew};
}

auto State::run(const StartJob &body, const Context &context) -> Utils::Result<Change>
{
    if (!isHealthy(findHost(body.host)))
        return failure(ErrorType::Refused, "the host does not take new work", body.host);
    BOOST_OUTCOME_TRY(job, m_jobs.start(body, {m_timeMs, context.revision}));
    const auto isNew = job->revision == context.revision;
    return Change{job->id, job->customer, job->host, {}, summaryOf(*job), isNew};
}

auto State::run(const CheckpointJob &body, const Context &context) -> Utils::Result<Change>
{
    BOOST_OUTCOME_TRY(job, m_jobs.checkpoint(body, {m_timeMs, context.revision}));
    return Change{job->id, {}, {}, {}, {}, false};
}

auto State::run(const FinishJob &body, const Context &context) -> Utils::Result<Change>
{
    const auto *existing = m_jobs.find(body.job);
    const auto hostHealthy = existing && isHealthy(findHost(existing->host));
    BOOST_OUTCOME_TRY(job, m_jobs.finish(body, hostHealthy, {m_timeMs, context.revision}));
    const auto changed = job->revision == context.revision;
    return Change{job->id, job->customer, job->host, {}, summaryOf(*job), changed};
}

auto State::run(const CancelJob &body, const Context &context) -> Utils::Result<Change>
{
    BOOST_OUTCOME_TRY(job, m_jobs.cancel(body, {m_timeMs, context.revision}));
    const auto changed = job->revision == context.revision;
    return Change{job->id, job->customer, {}, {}, summaryOf(*job), changed};
}

auto State::run(const ResolveJob &body, const Context &context) -> Utils::Result<Change>
{
    BOOST_OUTCOME_TRY(job, m_jobs.resolve(body, {m_timeMs, context.revision}));
    return Change{job->id, job->customer, {}, {}, summaryOf(*job), true};
}

auto State::run(const ExpireJobs &body, const Context &context) -> Utils::Result<Change>
{
    for (const auto &id : m_jobs.jobsWithExpiredLease(m_timeMs)) {
        const auto hostHealthy = isHealthy(findHost(m_jobs.find(id)->host));
        const auto &job = m_jobs.endLease(id, hostHealthy, {m_timeMs, context.revision});
        recordAudit({job.id, job.customer, job.host, {}, summaryOf(job), true}, context);
    }
    m_jobs.removeEnded(body.retentionMs, m_timeMs);
    return Change{{}, {}, {}, {}, {}, false};
}

} // namespace Fleet
