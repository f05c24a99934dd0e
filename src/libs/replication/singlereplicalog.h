#pragma once

#include "replicatedlog.h"

#include "store/writeaheadlog.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace Replication {

/*! \brief The log of a process that runs alone: the only voter, always leading. */
class SingleReplicaLog final : public ReplicatedLog
{
public:
    SingleReplicaLog(std::string processId, std::string dataFolder, StateMachine &machine);
    ~SingleReplicaLog() override;

    auto start() -> Utils::Result<void> override;
    auto stop() -> void override;
    auto submit(std::string payload, Utils::Milliseconds timeout)
        -> Utils::Result<SubmitReply> override;
    auto confirmRevision(Utils::Milliseconds timeout) -> Utils::Result<Revision> override;
    auto status() const -> LogStatus override;

private:
    struct Pending;

    auto run() -> void;
    auto commitBatch(std::deque<std::shared_ptr<Pending>> batch) -> void;

    std::string m_processId;
    std::string m_dataFolder;
    StateMachine &m_machine;
    Store::WriteAheadLog m_wal;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::shared_ptr<Pending>> m_queue;
    Revision m_revision = 0;
    bool m_stopping = false;
    std::jthread m_writer;
};

} // namespace Replication
