#pragma once

#include "fleet/gateway.h"
#include "fleet/replica.h"

/*! \brief A replicated log that applies each entry to a single replica at once. */
class MemoryLog final : public Replication::ReplicatedLog
{
public:
    explicit MemoryLog(Fleet::Replica &replica)
        : m_replica(replica)
    {}

    auto start() -> Utils::Result<void> override { return Utils::success(); }
    auto stop() -> void override {}
    auto submit(std::string payload, Utils::Milliseconds)
        -> Utils::Result<Replication::SubmitReply> override
    {
        const auto revision = m_replica.revision() + 1;
        return Replication::SubmitReply{revision,
                                        m_replica.apply({revision, 1, std::move(payload)})};
    }
    auto confirmRevision(Utils::Milliseconds) -> Utils::Result<Replication::Revision> override
    {
        return m_replica.revision();
    }
    auto status() const -> Replication::LogStatus override { return {}; }

private:
    Fleet::Replica &m_replica;
};
