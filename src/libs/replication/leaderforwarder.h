#pragma once

#include "replicaoptions.h"
#include "replicatedlog.h"

#include "utils/stopsignal.h"

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace Wire {
class ReplicationServiceClient;
template <typename Client>
class PeerClient;
} // namespace Wire

namespace Replication::Internal {

/*! \brief Knows who leads; implemented by the two kinds of log. */
class LeaderLocator
{
public:
    virtual ~LeaderLocator() = default;
    /*! \brief Returns the leader, or any voter that may know it, if this process does not lead. */
    virtual auto leaderToAsk() -> std::optional<Voter> = 0;
    /*! \brief Tells that \a asked does not lead; \a leaderId may be empty. */
    virtual auto noteNotLeader(const std::string &asked, const std::string &leaderId) -> void = 0;
};

/*!
    \brief Sends requests of this process to the leader. Thread-safe.

    Payloads that wait are sent as one message, on one connection, by one task.
*/
class LeaderForwarder
{
public:
    LeaderForwarder(const ReplicaOptions &options, LeaderLocator &locator);
    ~LeaderForwarder();

    auto start() -> void;
    auto stop() -> void;

    /*! \brief Submits \a payload once; fails with NotLeader if certainly not committed. */
    auto submit(std::string payload, Utils::Milliseconds timeout) -> Utils::Result<SubmitReply>;
    /*! \brief Returns the commit revision of a leader whose majority confirmed it. */
    auto confirm(Utils::Milliseconds timeout) -> Utils::Result<Revision>;
    auto status(Utils::Milliseconds timeout) -> Utils::Result<LogStatus>;
    auto replaceVoter(const std::string &removedId, const Voter &added, Utils::Milliseconds timeout)
        -> Utils::Result<void>;

private:
    using Connection = Wire::PeerClient<Wire::ReplicationServiceClient>;
    struct Forwarded;
    using Batch = std::vector<std::shared_ptr<Forwarded>>;

    auto run() -> void;
    auto takeBatch() -> Batch;
    auto sendBatch(const Batch &batch) -> void;
    auto fail(const Batch &batch, Utils::ErrorType type) -> void;
    auto finish(const Batch &batch, std::vector<Utils::Result<SubmitReply>> results) -> void;
    auto connect(std::unique_ptr<Connection> &connection) -> Utils::Result<std::string>;

    const ReplicaOptions &m_options;
    LeaderLocator &m_locator;
    std::mutex m_mutex;
    std::condition_variable m_queued;
    std::condition_variable m_finished;
    std::deque<std::shared_ptr<Forwarded>> m_queue;
    bool m_stopping = false;
    std::unique_ptr<Connection> m_submitConnection; //!< Used by the task only.
    std::mutex m_controlMutex;                      //!< Guards the control connection.
    std::unique_ptr<Connection> m_controlConnection;
    std::jthread m_task;
};

} // namespace Replication::Internal
