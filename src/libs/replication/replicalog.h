#pragma once

#include "replicaoptions.h"
#include "replicatedlog.h"

#include <memory>

namespace apache::thrift {
class TProcessor;
}

namespace Replication {

/*!
    \brief The log of a voter, which stores entries on disk, votes in elections and may lead.

    The processor must be served on the peers' listener from before start() until after stop().
*/
class ReplicaLog final : public ReplicatedLog
{
public:
    ReplicaLog(ReplicaOptions options, StateMachine &machine, const Utils::Clock &clock);
    ~ReplicaLog() override;

    auto processor() -> std::shared_ptr<apache::thrift::TProcessor>;

    auto start() -> Utils::Result<void> override;
    auto stop() -> void override;
    auto submit(std::string payload, Utils::Milliseconds timeout)
        -> Utils::Result<SubmitReply> override;
    auto submitInTerm(std::uint64_t term, std::string payload, Utils::Milliseconds timeout)
        -> Utils::Result<SubmitReply> override;
    auto leadershipProof() const -> std::optional<LeadershipProof> override;
    auto confirmRevision(Utils::Milliseconds timeout) -> Utils::Result<Revision> override;
    auto resign(std::uint64_t term) -> void override;
    auto status() const -> LogStatus override;
    auto leaderStatus(Utils::Milliseconds timeout) -> Utils::Result<LogStatus> override;
    auto replaceVoter(const std::string &removedId, const Voter &added, Utils::Milliseconds timeout)
        -> Utils::Result<void> override;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Replication
