#include "leaderforwarder.h"

#include "wireconversion.h"

#include "wire/peerclient.h"

namespace Replication::Internal {
namespace {

constexpr std::size_t maximumBatchPayloads = 256;
constexpr std::size_t maximumBatchBytes = 1024 * 1024;

auto submitResult(const Wire::SubmitResult &result) -> Utils::Result<SubmitReply>
{
    if (result.status == Wire::SubmitStatus::COMMITTED)
        return SubmitReply{Revision(result.revision), result.reply};
    if (result.status == Wire::SubmitStatus::OUTCOME_UNKNOWN)
        return Utils::failure(Utils::ErrorType::OutcomeUnknown,
                              "the leader did not confirm the commit in time");
    return Utils::failure(Utils::ErrorType::NotLeader, "the peer is not the leader");
}

auto errorFor(Utils::ErrorType type)
{
    return Utils::failure(type,
                          type == Utils::ErrorType::OutcomeUnknown
                              ? "the leader did not reply"
                              : "no leader of the replication group is reachable");
}

} // namespace

struct LeaderForwarder::ForwardedRequest
{
    std::string payload;
    std::optional<Utils::Result<SubmitReply>> result;
    bool sent = false;
};

LeaderForwarder::LeaderForwarder(const ReplicaOptions &options, LeaderLocator &locator)
    : m_options(options)
    , m_locator(locator)
{}

LeaderForwarder::~LeaderForwarder()
{
    stop();
}

auto LeaderForwarder::start() -> void
{
    m_task = std::jthread([this] { run(); });
}

auto LeaderForwarder::stop() -> void
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
        m_queued.notify_all();
        m_finished.notify_all();
    }
    if (m_task.joinable())
        m_task.join();
}

auto LeaderForwarder::submit(std::string payload, Utils::Milliseconds timeout)
    -> Utils::Result<SubmitReply>
{
    auto forwarded = std::make_shared<ForwardedRequest>();
    forwarded->payload = std::move(payload);
    std::unique_lock lock(m_mutex);
    m_queue.push_back(forwarded);
    m_queued.notify_one();
    m_finished.wait_for(lock, timeout, [&] { return forwarded->result || m_stopping; });
    if (forwarded->result)
        return *forwarded->result;
    std::erase(m_queue, forwarded);
    if (forwarded->sent)
        return errorFor(Utils::ErrorType::OutcomeUnknown);
    return errorFor(Utils::ErrorType::NotLeader);
}

auto LeaderForwarder::confirm(Utils::Milliseconds timeout) -> Utils::Result<Revision>
{
    const std::scoped_lock lock(m_controlMutex);
    BOOST_OUTCOME_TRY(contactedId, connect(m_controlConnection));
    Wire::ConfirmRequest request;
    request.groupId = m_options.groupId;
    request.processId = m_options.processId;
    request.timeoutMs = std::int32_t(timeout.count());
    BOOST_OUTCOME_TRY(
        reply,
        m_controlConnection->call<Wire::ConfirmReply>(timeout, [&](auto &client, auto &response) {
            client.confirmRevision(response, request);
        }));
    if (reply.confirmed)
        return Revision(reply.revision);
    m_locator.reportNotLeader(contactedId, reply.leaderId);
    return errorFor(Utils::ErrorType::NotLeader);
}

auto LeaderForwarder::status(Utils::Milliseconds timeout) -> Utils::Result<LogStatus>
{
    const std::scoped_lock lock(m_controlMutex);
    BOOST_OUTCOME_TRY(contactedId, connect(m_controlConnection));
    Wire::StatusRequest request;
    request.groupId = m_options.groupId;
    BOOST_OUTCOME_TRY(
        reply,
        m_controlConnection->call<Wire::StatusReply>(
            timeout, [&](auto &client, auto &response) { client.status(response, request); }));
    if (reply.leads)
        return fromWire(reply);
    m_locator.reportNotLeader(contactedId, reply.leaderId);
    return errorFor(Utils::ErrorType::NotLeader);
}

auto LeaderForwarder::replaceVoter(const std::string &removedId,
                                   const Voter &added,
                                   Utils::Milliseconds timeout) -> Utils::Result<void>
{
    const std::scoped_lock lock(m_controlMutex);
    BOOST_OUTCOME_TRY(contactedId, connect(m_controlConnection));
    Wire::ReplaceVoterRequest request;
    request.groupId = m_options.groupId;
    request.removedId = removedId;
    request.addedId = added.id;
    request.addedZone = added.zone;
    request.addedAddress = added.address;
    request.timeoutMs = std::int32_t(timeout.count());
    BOOST_OUTCOME_TRY(reply,
                      m_controlConnection->call<Wire::ReplaceVoterReply>(
                          timeout, [&](auto &client, auto &response) {
                              client.replaceVoter(response, request);
                          }));
    if (reply.status == Wire::SubmitStatus::COMMITTED)
        return Utils::success();
    if (reply.status == Wire::SubmitStatus::OUTCOME_UNKNOWN)
        return Utils::failure(
            Utils::ErrorType::OutcomeUnknown, "the voter was not replaced in time", reply.reason);
    m_locator.reportNotLeader(contactedId, reply.leaderId);
    return errorFor(Utils::ErrorType::NotLeader);
}

auto LeaderForwarder::run() -> void
{
    for (;;) {
        const auto batch = takeBatch();
        if (batch.empty())
            return;
        sendBatch(batch);
    }
}

auto LeaderForwarder::takeBatch() -> Batch
{
    std::unique_lock lock(m_mutex);
    m_queued.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
    Batch batch;
    if (m_stopping)
        return batch;
    std::size_t bytes = 0;
    while (!m_queue.empty() && batch.size() < maximumBatchPayloads && bytes < maximumBatchBytes) {
        m_queue.front()->sent = true;
        bytes += m_queue.front()->payload.size();
        batch.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    return batch;
}

auto LeaderForwarder::sendBatch(const Batch &batch) -> void
{
    const auto contactedId = connect(m_submitConnection);
    if (!contactedId)
        return fail(batch, Utils::ErrorType::NotLeader);
    Wire::SubmitRequest request;
    request.groupId = m_options.groupId;
    // The leader has to reply before the call times out.
    request.timeoutMs = std::int32_t(m_options.timing.callTimeout.count() * 3 / 4);
    for (const auto &forwarded : batch)
        request.payloads.push_back(forwarded->payload);
    auto reply = m_submitConnection->call<Wire::SubmitReply>(
        m_options.timing.callTimeout,
        [&](auto &client, auto &response) { client.submit(response, request); });
    if (!reply && reply.error().type == Utils::ErrorType::Unavailable) {
        m_locator.reportNotLeader(contactedId.value(), {});
        return fail(batch, Utils::ErrorType::NotLeader);
    }
    if (!reply || reply.value().results.size() != batch.size()) {
        m_locator.reportNotLeader(contactedId.value(), {});
        return fail(batch, Utils::ErrorType::OutcomeUnknown);
    }
    std::vector<Utils::Result<SubmitReply>> results;
    auto notLeader = false;
    for (const auto &result : reply.value().results) {
        notLeader = notLeader || result.status == Wire::SubmitStatus::NOT_LEADER;
        results.push_back(submitResult(result));
    }
    if (notLeader)
        m_locator.reportNotLeader(contactedId.value(), reply.value().leaderId);
    finish(batch, std::move(results));
}

auto LeaderForwarder::fail(const Batch &batch, Utils::ErrorType type) -> void
{
    std::vector<Utils::Result<SubmitReply>> results;
    for (std::size_t index = 0; index < batch.size(); ++index)
        results.emplace_back(errorFor(type));
    finish(batch, std::move(results));
}

auto LeaderForwarder::finish(const Batch &batch, std::vector<Utils::Result<SubmitReply>> results)
    -> void
{
    const std::scoped_lock lock(m_mutex);
    for (std::size_t index = 0; index < batch.size(); ++index)
        batch[index]->result = std::move(results[index]);
    m_finished.notify_all();
}

auto LeaderForwarder::connect(std::unique_ptr<Connection> &connection) -> Utils::Result<std::string>
{
    const auto leader = m_locator.forwardingTarget();
    if (!leader)
        return errorFor(Utils::ErrorType::NotLeader);
    if (!connection || connection->target().id != leader->id
        || connection->target().address != leader->address) {
        connection = std::make_unique<Connection>(
            *m_options.sockets, Wire::PeerTarget{leader->id, leader->address}, serviceName);
    }
    return leader->id;
}

} // namespace Replication::Internal
