#pragma once

#include "replicaoptions.h"
#include "replicatedlog.h"

#include <memory>

namespace apache::thrift {
class TProcessor;
}

namespace Replication {

namespace Internal {
class Observer;
}

/*!
    \brief The log of a process without a vote, which streams committed entries into memory.

    The entries are read from a voter, preferably one in the zone of this process. If no voter is
    reachable, they are read from the other observers of the zone, so that this process reaches the
    highest revision among them.
*/
class ObserverLog final : public ReplicatedLog
{
public:
    ObserverLog(ReplicaOptions options, StateMachine &machine, const Utils::Clock &clock);
    ~ObserverLog() override;

    auto processor() -> std::shared_ptr<apache::thrift::TProcessor>;

    auto start() -> Utils::Result<void> override;
    auto stop() -> void override;
    auto submit(std::string payload, Utils::Milliseconds timeout)
        -> Utils::Result<SubmitReply> override;
    auto confirmRevision(Utils::Milliseconds timeout) -> Utils::Result<Revision> override;
    auto status() const -> LogStatus override;
    auto leaderStatus(Utils::Milliseconds timeout) -> Utils::Result<LogStatus> override;
    auto replaceVoter(const std::string &removedId, const Voter &added, Utils::Milliseconds timeout)
        -> Utils::Result<void> override;

private:
    std::shared_ptr<Internal::Observer> m_observer;
};

} // namespace Replication
