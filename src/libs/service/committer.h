#pragma once

#include "control/controlstate.h"
#include "execution/ports.h"
#include "replication/replicatedlog.h"
#include "utils/clock.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

/*! The processes of job control: entries that take callers' requests, and control processes. */
namespace Service {

/*!
    \brief Writes commands to the replicated log.

    commit() belongs to the event loop; a thread of its own waits for the log. What arrives while
    one entry is being committed, or soon after an entry, goes into the next one: under load each
    entry carries more commands instead of there being more entries.
*/
class Committer final : public Execution::CommandLog
{
public:
    Committer(AsyncNet::asio::io_context &loop,
              Replication::ReplicatedLog &log,
              Control::StateReplica &state,
              const Utils::Clock &clock);
    ~Committer() override;

    auto commit(std::vector<Control::Command> commands)
        -> AsyncNet::Task<Execution::CommitResult> override;

private:
    struct Waiting
    {
        explicit Waiting(AsyncNet::asio::io_context &loop)
            : finished(loop)
        {}
        std::vector<Control::Command> commands;
        AsyncNet::Signal finished;
        std::optional<Execution::CommitResult> result;
    };
    using WaitingPointer = std::shared_ptr<Waiting>;

    auto run(const std::stop_token &stop) -> void;
    auto submit(const std::vector<WaitingPointer> &batch) -> Execution::CommitResult;

    AsyncNet::asio::io_context &m_loop;
    Replication::ReplicatedLog &m_log;
    Control::StateReplica &m_state;
    const Utils::Clock &m_clock;
    std::mutex m_mutex;
    std::condition_variable_any m_queued;
    std::vector<WaitingPointer> m_queue;
    std::jthread m_thread;
};

} // namespace Service
