#include "replicalog.h"

#include "replica.h"

namespace Replication {

class ReplicaLog::Private
{
public:
    std::shared_ptr<Internal::Replica> replica;
};

ReplicaLog::ReplicaLog(ReplicaOptions options, StateMachine &machine, const Utils::Clock &clock)
    : m_d(std::make_unique<Private>())
{
    m_d->replica = std::make_shared<Internal::Replica>(std::move(options), machine, clock);
}

ReplicaLog::~ReplicaLog()
{
    stop();
}

auto ReplicaLog::processor() -> std::shared_ptr<apache::thrift::TProcessor>
{
    return std::make_shared<Wire::ReplicationServiceProcessor>(m_d->replica);
}

auto ReplicaLog::start() -> Utils::Result<void>
{
    return m_d->replica->start();
}

auto ReplicaLog::stop() -> void
{
    m_d->replica->stop();
}

auto ReplicaLog::submit(std::string payload, Utils::Milliseconds timeout)
    -> Utils::Result<SubmitReply>
{
    return m_d->replica->submit(std::move(payload), timeout);
}

auto ReplicaLog::submitInTerm(std::uint64_t term, std::string payload, Utils::Milliseconds timeout)
    -> Utils::Result<SubmitReply>
{
    return m_d->replica->submitInTerm(term, std::move(payload), timeout);
}

auto ReplicaLog::leadershipProof() const -> std::optional<LeadershipProof>
{
    return m_d->replica->leadershipProof();
}

auto ReplicaLog::confirmRevision(Utils::Milliseconds timeout) -> Utils::Result<Revision>
{
    return m_d->replica->confirm(timeout);
}

auto ReplicaLog::resign(std::uint64_t term) -> void
{
    m_d->replica->resign(term);
}

auto ReplicaLog::status() const -> LogStatus
{
    return m_d->replica->currentStatus();
}

auto ReplicaLog::leaderStatus(Utils::Milliseconds timeout) -> Utils::Result<LogStatus>
{
    return m_d->replica->leaderStatus(timeout);
}

auto ReplicaLog::replaceVoter(const std::string &removedId,
                              const Voter &added,
                              Utils::Milliseconds timeout) -> Utils::Result<void>
{
    return m_d->replica->replaceVoterOrForward(removedId, added, timeout);
}

} // namespace Replication
