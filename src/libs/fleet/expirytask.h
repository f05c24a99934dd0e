#pragma once

#include "gateway.h"
#include "replica.h"

namespace Fleet {

/*! \brief How long ended claims and jobs are kept. */
struct Retention
{
    std::int64_t claimMs = 0;
    std::int64_t jobMs = 0;
};

/*!
    \brief Ends passed leases of jobs and drops claims and jobs after their retention.

    Runs at the leader; writes nothing to the log while there is nothing to do.
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
