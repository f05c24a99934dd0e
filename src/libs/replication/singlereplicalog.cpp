#include "singlereplicalog.h"

#include "utils/log.h"

#include <cstdlib>
#include <filesystem>

namespace Replication {

struct SingleReplicaLog::Pending
{
    std::string payload;
    SubmitReply reply;
    bool done = false;
};

SingleReplicaLog::SingleReplicaLog(std::string processId,
                                   std::string dataFolder,
                                   StateMachine &machine)
    : m_processId(std::move(processId))
    , m_dataFolder(std::move(dataFolder))
    , m_machine(machine)
{}

SingleReplicaLog::~SingleReplicaLog()
{
    stop();
}

auto SingleReplicaLog::start() -> Utils::Result<void>
{
    std::error_code error;
    std::filesystem::create_directories(m_dataFolder, error);
    if (error)
        return Utils::failure(
            Utils::ErrorType::IoFailure, "cannot create the data folder", error.message());
    BOOST_OUTCOME_TRY(records, m_wal.open(m_dataFolder + "/wal"));
    for (auto &record : records)
        m_machine.apply({++m_revision, 1, std::move(record.payload)});
    m_writer = std::jthread([this] { run(); });
    return Utils::success();
}

auto SingleReplicaLog::stop() -> void
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    if (m_writer.joinable())
        m_writer.join();
}

auto SingleReplicaLog::submit(std::string payload, Utils::Milliseconds timeout)
    -> Utils::Result<SubmitReply>
{
    auto pending = std::make_shared<Pending>();
    pending->payload = std::move(payload);
    std::unique_lock lock(m_mutex);
    if (m_stopping)
        return Utils::failure(Utils::ErrorType::NoQuorum, "the log is stopped");
    m_queue.push_back(pending);
    m_changed.notify_all();
    if (!m_changed.wait_for(lock, timeout, [&] { return pending->done; }))
        return Utils::failure(Utils::ErrorType::OutcomeUnknown, "the commit took too long");
    return pending->reply;
}

auto SingleReplicaLog::confirmRevision(Utils::Milliseconds) -> Utils::Result<Revision>
{
    const std::scoped_lock lock(m_mutex);
    return m_revision;
}

auto SingleReplicaLog::status() const -> LogStatus
{
    const std::scoped_lock lock(m_mutex);
    LogStatus status;
    status.role = Role::Leader;
    status.term = 1;
    status.leaderId = m_processId;
    status.commitRevision = m_revision;
    status.appliedRevision = m_revision;
    status.hasQuorum = true;
    status.progress[m_processId] = {m_revision, Utils::Milliseconds(0)};
    return status;
}

auto SingleReplicaLog::run() -> void
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_changed.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        if (m_queue.empty())
            return;
        auto batch = std::move(m_queue);
        m_queue.clear();
        lock.unlock();
        commitBatch(std::move(batch));
        lock.lock();
    }
}

auto SingleReplicaLog::commitBatch(std::deque<std::shared_ptr<Pending>> batch) -> void
{
    std::vector<std::string> payloads;
    for (const auto &pending : batch)
        payloads.push_back(pending->payload);
    if (const auto result = m_wal.append(payloads); !result) {
        // A failed sync leaves the file's state unknown, so the process must not go on.
        Utils::Log::error(
            "replication", "cannot write the log", {{"reason", result.error().details}});
        std::abort();
    }
    auto revision = m_revision;
    for (const auto &pending : batch) {
        ++revision;
        pending->reply = {revision, m_machine.apply({revision, 1, pending->payload})};
    }
    const std::scoped_lock lock(m_mutex);
    m_revision = revision;
    for (const auto &pending : batch)
        pending->done = true;
    m_changed.notify_all();
}

} // namespace Replication
