#pragma once

#include "replication/replicatedlog.h"

#include <atomic>
#include <mutex>

/*! \brief Replicated log that commits each entry immediately if it has a quorum. */
class ImmediateLog final : public Replication::ReplicatedLog
{
public:
    explicit ImmediateLog(Replication::StateMachine &machine)
        : m_machine(machine)
    {}
    auto start() -> Utils::Result<void> override { return Utils::success(); }
    auto stop() -> void override {}
    auto submit(std::string payload, Utils::Milliseconds)
        -> Utils::Result<Replication::SubmitReply> override
    {
        if (!m_hasQuorum)
            return Utils::failure(Utils::ErrorType::NoQuorum, "no majority is reachable");
        const std::scoped_lock lock(m_mutex);
        ++m_revision;
        return Replication::SubmitReply{m_revision, m_machine.apply({m_revision, 1, payload})};
    }
    auto confirmRevision(Utils::Milliseconds) -> Utils::Result<Replication::Revision> override
    {
        return m_revision.load();
    }
    auto status() const -> Replication::LogStatus override
    {
        Replication::LogStatus status;
        status.hasQuorum = m_hasQuorum;
        status.appliedRevision = m_revision;
        return status;
    }
    auto setHasQuorum(bool hasQuorum) -> void { m_hasQuorum = hasQuorum; }

private:
    Replication::StateMachine &m_machine;
    std::mutex m_mutex;
    std::atomic<Replication::Revision> m_revision = 0;
    std::atomic<bool> m_hasQuorum = true;
};
