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

/*! \brief Finds the leader; implemented by voters and observers. */
class LeaderLocator
{
public:
    virtual ~LeaderLocator() = default;
    /*!
        \brief Returns the voter to send requests to, or std::nullopt if there is none.

        An observer that knows no leader returns any voter, since its reply may name the leader.
    */
    virtual auto forwardingTarget() -> std::optional<Voter> = 0;
    /*!
        \brief Reports that \a contactedId is not the leader and named \a leaderId instead.

        \a leaderId is empty if the leader is unknown.
    */
    virtual auto reportNotLeader(const std::string &contactedId, const std::string &leaderId)
        -> void = 0;
};

/*!
    \brief Forwards requests of this process to the leader. Thread-safe.

    One task sends the queued payloads in batches, each as one message, on one connection.
*/
class LeaderForwarder
{
public:
    LeaderForwarder(const ReplicaOptions &options, LeaderLocator &locator);
    ~LeaderForwarder();

    auto start() -> void;
    auto stop() -> void;

    /*!
        \brief Submits \a payload once.

        Fails with NotLeader if \a payload was certainly not committed, and with OutcomeUnknown if
        it may have been.
    */
    auto submit(std::string payload, Utils::Milliseconds timeout) -> Utils::Result<SubmitReply>;
    /*! \brief Returns the commit revision of a leader that a majority has confirmed. */
    auto confirm(Utils::Milliseconds timeout) -> Utils::Result<Revision>;
    auto status(Utils::Milliseconds timeout) -> Utils::Result<LogStatus>;
    auto replaceVoter(const std::string &removedId, const Voter &added, Utils::Milliseconds timeout)
        -> Utils::Result<void>;

private:
    using Connection = Wire::PeerClient<Wire::ReplicationServiceClient>;
    struct ForwardedRequest;
    using Batch = std::vector<std::shared_ptr<ForwardedRequest>>;

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
    std::deque<std::shared_ptr<ForwardedRequest>> m_queue;
    bool m_stopping = false;
    std::unique_ptr<Connection> m_submitConnection; //!< Only used by the task.
    std::mutex m_controlMutex;                      //!< Guards m_controlConnection.
    std::unique_ptr<Connection> m_controlConnection;
    std::jthread m_task;
};

} // namespace Replication::Internal
