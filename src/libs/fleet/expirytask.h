#pragma once

#include "gateway.h"
#include "replica.h"

namespace Fleet {

/*! \brief Retention periods of claims, from their creation, and of jobs, from their end. */
struct Retention
{
    std::int64_t claimMs = 0;
    std::int64_t jobMs = 0;
};

/*!
    \brief Ends expired leases of jobs and removes claims and jobs after their retention.

    Only the leader submits these commands: one for jobs when a job is due, and one for claims
    at most every 30 seconds while there are claims.
*/
class ExpiryTask
{
public:
    ExpiryTask(Replication::ReplicatedLog &log,
               Gateway &gateway,
               const Replica &replica,
               const Utils::Clock &clock,
               std::string process,
               Retention retention);

    auto runOnce() -> void;

private:
    auto execute(CommandBody body) -> void;

    Replication::ReplicatedLog &m_log;
    Gateway &m_gateway;
    const Replica &m_replica;
    const Utils::Clock &m_clock;
    std::string m_process;
    Retention m_retention;
    Utils::Instant m_nextClaimExpiry;
};

} // namespace Fleet
