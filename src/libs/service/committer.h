#pragma once

#include "control/controlstate.h"
#include "execution/ports.h"
#include "replication/replicatedlog.h"
#include "utils/clock.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

/*! The processes of job control: entry processes, which serve callers, and control processes. */
namespace Service {

/*!
    \brief Writes commands to the replicated log.

    commit() runs on the event loop, and a separate thread waits for the log. Commands that arrive
    while an entry is being committed, or less than 20 ms after the start of the last entry, share
    the next entry. Load therefore increases the number of commands per entry rather than the
    number of entries.
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
    /*!
        \brief As commit(), but commits only while this process leads in \a term.

        For decisions that are sound only if no other process has led since.
    */
    auto commitInTerm(std::vector<Control::Command> commands, std::uint64_t term)
        -> AsyncNet::Task<Execution::CommitResult>;

private:
    struct PendingCommit
    {
        explicit PendingCommit(AsyncNet::asio::io_context &loop)
            : finished(loop)
        {}
        std::vector<Control::Command> commands;
        std::optional<std::uint64_t> term; //!< The only term to commit in; none if any will do.
        AsyncNet::Signal finished;
        std::optional<Execution::CommitResult> result;
    };
    using PendingCommitPointer = std::shared_ptr<PendingCommit>;

    auto queue(std::vector<Control::Command> commands, std::optional<std::uint64_t> term)
        -> AsyncNet::Task<Execution::CommitResult>;
    auto run(const std::stop_token &stop) -> void;
    /*! \brief Removes the commits of terms other than the present one from \a batch, if any. */
    auto takeOutdated(std::vector<PendingCommitPointer> &batch) const
        -> std::vector<PendingCommitPointer>;
    auto submit(const std::vector<PendingCommitPointer> &batch) -> Execution::CommitResult;
    auto finish(std::vector<PendingCommitPointer> batch, Execution::CommitResult result) -> void;

    AsyncNet::asio::io_context &m_loop;
    Replication::ReplicatedLog &m_log;
    Control::StateReplica &m_state;
    const Utils::Clock &m_clock;
    std::mutex m_mutex;
    std::condition_variable_any m_queued;
    std::vector<PendingCommitPointer> m_queue;
    std::jthread m_thread;
};

} // namespace Service
