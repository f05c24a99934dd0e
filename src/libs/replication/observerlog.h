#pragma once

#include "replicaoptions.h"
#include "replicatedlog.h"

#include <memory>

namespace apache::thrift {
class TProcessor;
}

namespace Replication {

/*!
    \brief The log of a process without a vote: it streams committed entries into memory.

    Entries come from a voter, one of the own zone if possible. Cut off from all voters, they
    come from the observer of the own zone that holds the highest revision.
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
    class Private;
    std::shared_ptr<Private> m_d;
};

} // namespace Replication
