#include "observerlog.h"

#include "observer.h"

namespace Replication {

ObserverLog::ObserverLog(ReplicaOptions options, StateMachine &machine, const Utils::Clock &clock)
    : m_observer(std::make_shared<Internal::Observer>(std::move(options), machine, clock))
{}

ObserverLog::~ObserverLog()
{
    stop();
}

auto ObserverLog::processor() -> std::shared_ptr<apache::thrift::TProcessor>
{
    return std::make_shared<Wire::ReplicationServiceProcessor>(m_observer);
}

auto ObserverLog::start() -> Utils::Result<void>
{
    return m_observer->start();
}

auto ObserverLog::stop() -> void
{
    m_observer->stop();
}

auto ObserverLog::submit(std::string payload, Utils::Milliseconds timeout)
    -> Utils::Result<SubmitReply>
{
    return m_observer->submit(std::move(payload), timeout);
}

auto ObserverLog::confirmRevision(Utils::Milliseconds timeout) -> Utils::Result<Revision>
{
    return m_observer->confirm(timeout);
}

auto ObserverLog::status() const -> LogStatus
{
    return m_observer->currentStatus();
}

auto ObserverLog::leaderStatus(Utils::Milliseconds timeout) -> Utils::Result<LogStatus>
{
    return m_observer->leaderStatus(timeout);
}

auto ObserverLog::replaceVoter(const std::string &removedId,
                               const Voter &added,
                               Utils::Milliseconds timeout) -> Utils::Result<void>
{
    return m_observer->replaceVoter(removedId, added, timeout);
}

} // namespace Replication
