#pragma once

#include "claimtypes.h"

/*! Deferred jobs. */
namespace Fleet {

enum class JobState { Queued, Running, Committed, Cancelled, Failed, NeedsOperator };

auto enumNames(JobState) -> std::span<const Utils::EnumName<JobState>>;

/*! \brief A deferred job, which commits at most once. */
struct Job
{
    std::string id;
    std::string customer;
    std::string service;
    std::string path;
    Utils::Bytes body;
    bool idempotent = false;
    JobState state = JobState::Queued;
    std::int64_t attempt = 0;
    std::string host;
    std::string startId; //!< Id that the worker gave the start of the current attempt.
    WallTimeMs leaseUntilMs = 0;
    Utils::Bytes checkpoint;
    std::optional<StoredResponse> answer;
    std::string fingerprint;              //!< Digest of the customer's submission.
    std::vector<std::string> failedHosts; //!< Healthy hosts on which the job failed.
    std::string detail;                   //!< Reason for the current state.
    WallTimeMs createdMs = 0;
    WallTimeMs endedMs = 0; //!< Time of the end; 0 until the job ends.
    Revision submittedRevision = 0;
    Revision revision = 0;

    auto isEnded() const -> bool;
};

template <typename Archive>
auto describe(Archive &archive, Job &job) -> void
{
    archive.required("id", job.id);
    archive.required("customer", job.customer);
    archive.required("service", job.service);
    archive.optional("path", job.path);
    archive.optional("body", job.body);
    archive.optional("idempotent", job.idempotent);
    archive.optional("state", job.state);
    archive.optional("attempt", job.attempt);
    archive.optional("host", job.host);
    archive.optional("start_id", job.startId);
    archive.optional("lease_until_ms", job.leaseUntilMs);
    archive.optional("checkpoint", job.checkpoint);
    archive.optional("answer", job.answer);
    archive.optional("fingerprint", job.fingerprint);
    archive.optional("failed_hosts", job.failedHosts);
    archive.optional("detail", job.detail);
    archive.optional("created_ms", job.createdMs);
    archive.optional("ended_ms", job.endedMs);
    archive.optional("submitted_revision", job.submittedRevision);
    archive.optional("revision", job.revision);
}

} // namespace Fleet
