#include "observerlog.h"

#include "applier.h"
#include "entrylog.h"
#include "leaderforwarder.h"
#include "wireconversion.h"

#include "utils/log.h"
#include "wire/peerclient.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace Replication {
namespace {

constexpr std::uint64_t observeBytes = 1024 * 1024;
constexpr int quorumAgeElectionTimeouts = 2;
// submit() fails early, and an observer counts as cut off, after this many election timeouts
// without a leader that has a majority.
constexpr int unreachableLeaderElectionTimeouts = 4;

using StateLock = std::unique_lock<std::mutex>;
using Connection = Wire::PeerClient<Wire::ReplicationServiceClient>;

// A process from which entries can be read.
struct Source
{
    Wire::PeerTarget target;
    bool voter = true;
};

} // namespace

class ObserverLog::Private final
    : public Wire::ReplicationServiceIf
    , public Internal::LeaderLocator
{
public:
    Private(ReplicaOptions processOptions, StateMachine &machine, const Utils::Clock &processClock);

    auto requestVote(Wire::VoteReply &reply, const Wire::VoteRequest &request) -> void override;
    auto appendEntries(Wire::AppendReply &reply, const Wire::AppendRequest &request)
        -> void override;
    auto installSnapshot(Wire::SnapshotReply &reply, const Wire::SnapshotRequest &request)
        -> void override;
    auto takeLeadership(Wire::TransferReply &reply, const Wire::TransferRequest &request)
        -> void override;
    auto observe(Wire::ObserveReply &reply, const Wire::ObserveRequest &request) -> void override;
    auto readSnapshot(Wire::SnapshotChunk &reply, const Wire::SnapshotChunkRequest &request)
        -> void override;
    auto submit(Wire::SubmitReply &reply, const Wire::SubmitRequest &request) -> void override;
    auto confirmRevision(Wire::ConfirmReply &reply, const Wire::ConfirmRequest &request)
        -> void override;
    auto status(Wire::StatusReply &reply, const Wire::StatusRequest &request) -> void override;
    auto replaceVoter(Wire::ReplaceVoterReply &reply, const Wire::ReplaceVoterRequest &request)
        -> void override;

    auto forwardingTarget() -> std::optional<Voter> override;
    auto reportNotLeader(const std::string &contactedId, const std::string &leaderId)
        -> void override;

    auto run() -> void;
    auto sources() -> std::vector<Source>;
    auto follow(const Source &source) -> void;
    auto observeOnce(Connection &connection, const Source &source) -> bool;
    auto applyEntries(const std::vector<Wire::ReplicaEntry> &received) -> bool;
    auto fetchSnapshot(Connection &connection) -> bool;
    auto becomeReady(bool confirmed) -> void;
    auto waitApplied(StateLock &lock, Revision revision, Utils::Instant deadline) -> bool;
    auto currentStatus() const -> LogStatus;

    const ReplicaOptions options;
    const Utils::Clock &clock;
    Internal::Applier applier;
    Internal::LeaderForwarder forwarder;
    mutable std::mutex mutex;
    std::condition_variable changed; //!< Signals a new applied revision or the stop.
    bool stopping = false;
    bool ready = false;
    Internal::EntryLog entries;
    VoterSet voters;
    std::string leaderId;
    std::size_t nextVoter = 0; //!< Index of the voter to contact while no leader is known.
    std::uint64_t term = 0;
    Revision commitRevision = 0;
    Utils::Instant startedAt;
    Utils::Instant quorumSeen;
    std::map<std::string, ProcessProgress> observers;
    std::jthread task;
};

ObserverLog::Private::Private(ReplicaOptions processOptions,
                              StateMachine &machine,
                              const Utils::Clock &processClock)
    : options(std::move(processOptions))
    , clock(processClock)
    , applier(machine)
    , forwarder(options, *this)
    , voters{options.voters}
{
    applier.setVoters(voters);
}

auto ObserverLog::Private::requestVote(Wire::VoteReply &reply, const Wire::VoteRequest &request)
    -> void
{
    Internal::requireGroup(request.groupId, options.groupId);
    reply.granted = false;
}

auto ObserverLog::Private::appendEntries(Wire::AppendReply &reply,
                                         const Wire::AppendRequest &request) -> void
{
    Internal::requireGroup(request.groupId, options.groupId);
    reply.accepted = false;
}

auto ObserverLog::Private::installSnapshot(Wire::SnapshotReply &reply,
                                           const Wire::SnapshotRequest &request) -> void
{
    Internal::requireGroup(request.groupId, options.groupId);
    reply.accepted = false;
}

auto ObserverLog::Private::takeLeadership(Wire::TransferReply &reply,
                                          const Wire::TransferRequest &request) -> void
{
    Internal::requireGroup(request.groupId, options.groupId);
    reply.accepted = false;
}

auto ObserverLog::Private::observe(Wire::ObserveReply &reply, const Wire::ObserveRequest &request)
    -> void
{
    Internal::requireGroup(request.groupId, options.groupId);
    const auto applied = Revision(request.appliedRevision);
    const auto wait = std::min(Utils::Milliseconds(request.waitMs), options.timing.electionTimeout);
    StateLock lock(mutex);
    changed.wait_for(lock, wait, [&] { return stopping || entries.lastRevision() > applied; });
    reply.commitRevision = std::int64_t(entries.lastRevision());
    reply.term = std::int64_t(term);
    reply.leaderId = leaderId;
    reply.quorumAgeMs = (clock.now() - quorumSeen).count();
    reply.snapshotNeeded = applied < entries.baseRevision();
    if (!reply.snapshotNeeded)
        reply.entries =
            Internal::toWire(entries.slice(applied, entries.lastRevision(), observeBytes));
}

auto ObserverLog::Private::readSnapshot(Wire::SnapshotChunk &reply,
                                        const Wire::SnapshotChunkRequest &request) -> void
{
    Internal::requireGroup(request.groupId, options.groupId);
    Internal::fillSnapshotChunk(
        reply, applier.snapshotPart(Revision(request.revision), std::uint64_t(request.offset)));
}

auto ObserverLog::Private::submit(Wire::SubmitReply &reply, const Wire::SubmitRequest &request)
    -> void
{
    Internal::requireGroup(request.groupId, options.groupId);
    Wire::SubmitResult refused;
    refused.status = Wire::SubmitStatus::NOT_LEADER;
    reply.results.assign(request.payloads.size(), refused);
    const StateLock lock(mutex);
    reply.leaderId = leaderId;
}

auto ObserverLog::Private::confirmRevision(Wire::ConfirmReply &reply,
                                           const Wire::ConfirmRequest &request) -> void
{
    Internal::requireGroup(request.groupId, options.groupId);
    reply.confirmed = false;
    const StateLock lock(mutex);
    reply.leaderId = leaderId;
}

auto ObserverLog::Private::status(Wire::StatusReply &reply, const Wire::StatusRequest &request)
    -> void
{
    Internal::requireGroup(request.groupId, options.groupId);
    reply = Internal::toWire(currentStatus());
}

auto ObserverLog::Private::replaceVoter(Wire::ReplaceVoterReply &reply,
                                        const Wire::ReplaceVoterRequest &request) -> void
{
    Internal::requireGroup(request.groupId, options.groupId);
    reply.status = Wire::SubmitStatus::NOT_LEADER;
    const StateLock lock(mutex);
    reply.leaderId = leaderId;
}

auto ObserverLog::Private::forwardingTarget() -> std::optional<Voter>
{
    const StateLock lock(mutex);
    if (const auto *leader = voters.find(leaderId))
        return *leader;
    if (voters.voters.empty())
        return std::nullopt;
    return voters.voters[nextVoter % voters.voters.size()];
}

auto ObserverLog::Private::reportNotLeader(const std::string &contactedId,
                                           const std::string &newLeader) -> void
{
    const StateLock lock(mutex);
    if (leaderId == contactedId || leaderId.empty())
        leaderId = newLeader;
    if (leaderId.empty())
        ++nextVoter;
}

auto ObserverLog::Private::sources() -> std::vector<Source>
{
    const StateLock lock(mutex);
    std::vector<Source> sources;
    for (const auto ownZone : {true, false}) {
        for (const auto &voter : voters.voters) {
            if ((voter.zone == options.zone) == ownZone)
                sources.push_back({{voter.id, voter.address}, true});
        }
    }
    for (const auto &peer : options.zonePeers) {
        if (!voters.contains(peer.id) && peer.id != options.processId)
            sources.push_back({{peer.id, peer.address}, false});
    }
    return sources;
}

auto ObserverLog::Private::run() -> void
{
    for (;;) {
        for (const auto &source : sources()) {
            {
                const StateLock lock(mutex);
                if (stopping)
                    return;
            }
            follow(source);
        }
        becomeReady(false);
        StateLock lock(mutex);
        if (changed.wait_for(lock, options.timing.heartbeat, [this] { return stopping; }))
            return;
    }
}

// Streams from a voter until it fails. Reads from an observer only once, so that the voters are
// tried again.
auto ObserverLog::Private::follow(const Source &source) -> void
{
    Connection connection(*options.sockets, source.target, serviceName);
    while (observeOnce(connection, source) && source.voter) {
        const StateLock lock(mutex);
        // A voter that lost its leader is abandoned, since another voter may be in contact with
        // one.
        const auto age = clock.now() - quorumSeen;
        if (stopping || age > options.timing.electionTimeout * quorumAgeElectionTimeouts)
            return;
    }
}

auto ObserverLog::Private::observeOnce(Connection &connection, const Source &source) -> bool
{
    Wire::ObserveRequest request;
    {
        const StateLock lock(mutex);
        request.appliedRevision = std::int64_t(entries.lastRevision());
    }
    request.groupId = options.groupId;
    request.observerId = options.processId;
    request.waitMs = source.voter ? std::int32_t(options.timing.electionTimeout.count() / 2) : 0;
    auto reply = connection.call<Wire::ObserveReply>(
        options.timing.callTimeout + options.timing.electionTimeout / 2,
        [&](auto &client, auto &response) { client.observe(response, request); });
    if (!reply)
        return false;
    {
        const StateLock lock(mutex);
        auto &observed = reply.value();
        term = std::max(term, std::uint64_t(observed.term));
        commitRevision = std::max(commitRevision, Revision(observed.commitRevision));
        quorumSeen = std::max(quorumSeen, clock.now() - Utils::Milliseconds(observed.quorumAgeMs));
        if (source.voter)
            leaderId = observed.leaderId;
    }
    if (reply.value().snapshotNeeded && !fetchSnapshot(connection))
        return false;
    if (!applyEntries(reply.value().entries))
        return false;
    if (source.voter)
        becomeReady(true);
    return true;
}

auto ObserverLog::Private::applyEntries(const std::vector<Wire::ReplicaEntry> &received) -> bool
{
    const std::scoped_lock applying(applier.mutex());
    for (const auto &wireEntry : received) {
        auto entry = Internal::fromWire(wireEntry);
        // Only this task changes the entries, so that they can be read without the mutex.
        if (entry.revision <= entries.lastRevision())
            continue;
        if (entry.revision != entries.lastRevision() + 1)
            return false;
        applier.apply(entry);
        const StateLock lock(mutex);
        if (entry.kind == EntryKind::Voters)
            voters = applier.voters();
        entries.append(std::move(entry));
        if (entries.lastRevision() - entries.baseRevision() > options.keptEntries)
            entries.dropThrough(entries.lastRevision() - options.keptEntries);
    }
    const StateLock lock(mutex);
    changed.notify_all();
    return true;
}

auto ObserverLog::Private::fetchSnapshot(Connection &connection) -> bool
{
    Store::Snapshot snapshot;
    Wire::SnapshotChunkRequest request;
    request.groupId = options.groupId;
    for (auto last = false; !last;) {
        request.revision = std::int64_t(snapshot.revision);
        request.offset = std::int64_t(snapshot.state.size());
        auto chunk = connection.call<Wire::SnapshotChunk>(
            options.timing.callTimeout,
            [&](auto &client, auto &response) { client.readSnapshot(response, request); });
        if (!chunk || chunk.value().revision == 0)
            return false;
        snapshot.revision = Revision(chunk.value().revision);
        snapshot.term = std::uint64_t(chunk.value().term);
        snapshot.voters = std::move(chunk.value().voters);
        snapshot.state += chunk.value().data;
        last = chunk.value().last;
    }
    const std::scoped_lock applying(applier.mutex());
    if (snapshot.revision <= entries.lastRevision())
        return true;
    if (const auto restored = applier.restore(snapshot); !restored) {
        Utils::Log::error("replication",
                          "cannot restore a snapshot",
                          {{"revision", snapshot.revision}, {"reason", restored.error().message}});
        return false;
    }
    const StateLock lock(mutex);
    entries.reset(snapshot.revision, snapshot.term);
    voters = applier.voters();
    changed.notify_all();
    return true;
}

// Sets the ready state. It requires that a leader confirmed the state here or, without contact to a
// leader, that the zone peers have been tried and there is at least one entry.
auto ObserverLog::Private::becomeReady(bool confirmed) -> void
{
    {
        const StateLock lock(mutex);
        const auto cutOff = clock.now() - std::max(quorumSeen, startedAt)
                            > options.timing.electionTimeout * unreachableLeaderElectionTimeouts;
        if (ready || (!confirmed && !cutOff))
            return;
        ready = !confirmed && entries.lastRevision() > 0;
    }
    if (!confirmed)
        return;
    const auto revision = forwarder.confirm(options.timing.callTimeout);
    const StateLock lock(mutex);
    ready = revision && entries.lastRevision() >= revision.value();
}

auto ObserverLog::Private::waitApplied(StateLock &lock, Revision revision, Utils::Instant deadline)
    -> bool
{
    return changed.wait_until(lock, deadline, [&] {
        return stopping || entries.lastRevision() >= revision;
    }) && entries.lastRevision() >= revision;
}

auto ObserverLog::Private::currentStatus() const -> LogStatus
{
    const StateLock lock(mutex);
    LogStatus status;
    status.role = Role::Observer;
    status.term = term;
    status.leaderId = leaderId;
    status.commitRevision = commitRevision;
    status.appliedRevision = entries.lastRevision();
    status.hasQuorum =
        !stopping
        && clock.now() - quorumSeen <= options.timing.electionTimeout * quorumAgeElectionTimeouts;
    status.ready = ready;
    status.progress[options.processId] = {entries.lastRevision(), Utils::Milliseconds(0)};
    return status;
}

ObserverLog::ObserverLog(ReplicaOptions options, StateMachine &machine, const Utils::Clock &clock)
    : m_d(std::make_shared<Private>(std::move(options), machine, clock))
{}

ObserverLog::~ObserverLog()
{
    stop();
}

auto ObserverLog::processor() -> std::shared_ptr<apache::thrift::TProcessor>
{
    return std::make_shared<Wire::ReplicationServiceProcessor>(m_d);
}

auto ObserverLog::start() -> Utils::Result<void>
{
    m_d->startedAt = m_d->clock.now();
    m_d->forwarder.start();
    m_d->task = std::jthread([this] { m_d->run(); });
    return Utils::success();
}

auto ObserverLog::stop() -> void
{
    {
        const StateLock lock(m_d->mutex);
        m_d->stopping = true;
        m_d->changed.notify_all();
    }
    m_d->forwarder.stop();
    if (m_d->task.joinable())
        m_d->task.join();
}

auto ObserverLog::submit(std::string payload, Utils::Milliseconds timeout)
    -> Utils::Result<SubmitReply>
{
    const auto deadline = m_d->clock.now() + timeout;
    auto uncertain = false;
    for (;;) {
        auto result = m_d->forwarder.submit(payload, deadline - m_d->clock.now());
        StateLock lock(m_d->mutex);
        if (result && m_d->waitApplied(lock, result.value().revision, deadline))
            return result;
        uncertain = uncertain || result || result.error().type == Utils::ErrorType::OutcomeUnknown;
        const auto now = m_d->clock.now();
        const auto leaderUnreachable =
            now - std::max(m_d->quorumSeen, m_d->startedAt)
            > m_d->options.timing.electionTimeout * unreachableLeaderElectionTimeouts;
        if (m_d->stopping || now >= deadline || (leaderUnreachable && !uncertain))
            break;
        m_d->changed.wait_for(lock, m_d->options.timing.heartbeat / 4);
    }
    if (uncertain)
        return Utils::failure(Utils::ErrorType::OutcomeUnknown,
                              "the commit was not confirmed in time");
    return Utils::failure(Utils::ErrorType::NoQuorum, "no leader with a majority is reachable");
}

auto ObserverLog::confirmRevision(Utils::Milliseconds timeout) -> Utils::Result<Revision>
{
    const auto deadline = m_d->clock.now() + timeout;
    for (;;) {
        const auto now = m_d->clock.now();
        if (now >= deadline)
            break;
        const auto wait =
            std::min(m_d->options.timing.callTimeout, Utils::Milliseconds(deadline - now));
        const auto revision = m_d->forwarder.confirm(wait);
        StateLock lock(m_d->mutex);
        if (m_d->stopping)
            break;
        if (revision && m_d->waitApplied(lock, revision.value(), deadline))
            return revision;
        m_d->changed.wait_for(lock, m_d->options.timing.heartbeat / 4);
    }
    return Utils::failure(Utils::ErrorType::NoQuorum, "no leader with a majority is reachable");
}

auto ObserverLog::status() const -> LogStatus
{
    return m_d->currentStatus();
}

auto ObserverLog::leaderStatus(Utils::Milliseconds timeout) -> Utils::Result<LogStatus>
{
    return m_d->forwarder.status(timeout);
}

auto ObserverLog::replaceVoter(const std::string &removedId,
                               const Voter &added,
                               Utils::Milliseconds timeout) -> Utils::Result<void>
{
    return m_d->forwarder.replaceVoter(removedId, added, timeout);
}

} // namespace Replication
