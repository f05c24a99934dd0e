#include "observer.h"

#include "wireconversion.h"

#include "utils/log.h"

#include <algorithm>

namespace Replication::Internal {
namespace {

constexpr int quorumAgeElectionTimeouts = 2;
// submit() fails early, and an observer counts as cut off, after this many election timeouts
// without a leader that has a majority.
constexpr int unreachableLeaderElectionTimeouts = 4;

} // namespace

Observer::Observer(ReplicaOptions options, StateMachine &machine, const Utils::Clock &clock)
    : m_options(std::move(options))
    , m_clock(clock)
    , m_applier(machine)
    , m_forwarder(m_options, *this)
    , m_voters{m_options.voters}
{
    m_applier.setVoters(m_voters);
}

auto Observer::forwardingTarget() -> std::optional<Voter>
{
    const StateLock lock(m_mutex);
    if (const auto *leader = m_voters.find(m_leaderId))
        return *leader;
    if (m_voters.voters.empty())
        return std::nullopt;
    return m_voters.voters[m_nextVoter % m_voters.voters.size()];
}

auto Observer::reportNotLeader(const std::string &contactedId, const std::string &newLeader) -> void
{
    const StateLock lock(m_mutex);
    if (m_leaderId == contactedId || m_leaderId.empty())
        m_leaderId = newLeader;
    if (m_leaderId.empty())
        ++m_nextVoter;
}

auto Observer::sources() -> std::vector<Source>
{
    const StateLock lock(m_mutex);
    std::vector<Source> sources;
    for (const auto ownZone : {true, false}) {
        for (const auto &voter : m_voters.voters) {
            if ((voter.zone == m_options.zone) == ownZone)
                sources.push_back({{voter.id, voter.address}, true});
        }
    }
    for (const auto &peer : m_options.zonePeers) {
        if (!m_voters.contains(peer.id) && peer.id != m_options.processId)
            sources.push_back({{peer.id, peer.address}, false});
    }
    return sources;
}

auto Observer::run() -> void
{
    for (;;) {
        for (const auto &source : sources()) {
            {
                const StateLock lock(m_mutex);
                if (m_stopping)
                    return;
            }
            follow(source);
        }
        becomeReady(false);
        StateLock lock(m_mutex);
        if (m_changed.wait_for(lock, m_options.timing.heartbeat, [this] { return m_stopping; }))
            return;
    }
}

// Streams from a voter until it fails. Reads from an observer only once, so that the voters are
// tried again.
auto Observer::follow(const Source &source) -> void
{
    Connection connection(*m_options.sockets, source.target, serviceName);
    while (observeOnce(connection, source) && source.voter) {
        const StateLock lock(m_mutex);
        // A voter that lost its leader is abandoned, since another voter may be in contact with
        // one.
        const auto age = m_clock.now() - m_quorumSeen;
        if (m_stopping || age > m_options.timing.electionTimeout * quorumAgeElectionTimeouts)
            return;
    }
}

auto Observer::observeOnce(Connection &connection, const Source &source) -> bool
{
    Wire::ObserveRequest request;
    {
        const StateLock lock(m_mutex);
        request.appliedRevision = std::int64_t(m_entries.lastRevision());
    }
    request.groupId = m_options.groupId;
    request.observerId = m_options.processId;
    request.waitMs = source.voter ? std::int32_t(m_options.timing.electionTimeout.count() / 2) : 0;
    auto reply = connection.call<Wire::ObserveReply>(
        m_options.timing.callTimeout + m_options.timing.electionTimeout / 2,
        [&](auto &client, auto &response) { client.observe(response, request); });
    if (!reply)
        return false;
    {
        const StateLock lock(m_mutex);
        auto &observed = reply.value();
        m_term = std::max(m_term, std::uint64_t(observed.term));
        m_commitRevision = std::max(m_commitRevision, Revision(observed.commitRevision));
        m_quorumSeen =
            std::max(m_quorumSeen, m_clock.now() - Utils::Milliseconds(observed.quorumAgeMs));
        if (source.voter)
            m_leaderId = observed.leaderId;
    }
    if (reply.value().snapshotNeeded && !fetchSnapshot(connection))
        return false;
    if (!applyEntries(reply.value().entries))
        return false;
    if (source.voter)
        becomeReady(true);
    return true;
}

auto Observer::applyEntries(const std::vector<Wire::ReplicaEntry> &received) -> bool
{
    const std::scoped_lock applying(m_applier.mutex());
    for (const auto &wireEntry : received) {
        auto entry = fromWire(wireEntry);
        // Only this task changes the entries, so that they can be read without the mutex.
        if (entry.revision <= m_entries.lastRevision())
            continue;
        if (entry.revision != m_entries.lastRevision() + 1)
            return false;
        m_applier.apply(entry);
        const StateLock lock(m_mutex);
        if (entry.kind == EntryKind::Voters)
            m_voters = m_applier.voters();
        m_entries.append(std::move(entry));
        if (m_entries.lastRevision() - m_entries.baseRevision() > m_options.keptEntries)
            m_entries.dropThrough(m_entries.lastRevision() - m_options.keptEntries);
    }
    const StateLock lock(m_mutex);
    m_changed.notify_all();
    return true;
}

auto Observer::fetchSnapshot(Connection &connection) -> bool
{
    Store::Snapshot snapshot;
    Wire::SnapshotChunkRequest request;
    request.groupId = m_options.groupId;
    for (auto last = false; !last;) {
        request.revision = std::int64_t(snapshot.revision);
        request.offset = std::int64_t(snapshot.state.size());
        auto chunk = connection.call<Wire::SnapshotChunk>(
            m_options.timing.callTimeout,
            [&](auto &client, auto &response) { client.readSnapshot(response, request); });
        if (!chunk || chunk.value().revision == 0)
            return false;
        snapshot.revision = Revision(chunk.value().revision);
        snapshot.term = std::uint64_t(chunk.value().term);
        snapshot.voters = std::move(chunk.value().voters);
        snapshot.state += chunk.value().data;
        last = chunk.value().last;
    }
    const std::scoped_lock applying(m_applier.mutex());
    if (snapshot.revision <= m_entries.lastRevision())
        return true;
    if (const auto restored = m_applier.restore(snapshot); !restored) {
        Utils::Log::error("replication",
                          "cannot restore a snapshot",
                          {{"revision", snapshot.revision}, {"reason", restored.error().message}});
        return false;
    }
    const StateLock lock(m_mutex);
    m_entries.reset(snapshot.revision, snapshot.term);
    m_voters = m_applier.voters();
    m_changed.notify_all();
    return true;
}

// Sets the ready state. It requires that a leader confirmed the state here or, without contact to a
// leader, that the zone peers have been tried and there is at least one entry.
auto Observer::becomeReady(bool confirmed) -> void
{
    {
        const StateLock lock(m_mutex);
        const auto cutOff = m_clock.now() - std::max(m_quorumSeen, m_startedAt)
                            > m_options.timing.electionTimeout * unreachableLeaderElectionTimeouts;
        if (m_ready || (!confirmed && !cutOff))
            return;
        m_ready = !confirmed && m_entries.lastRevision() > 0;
    }
    if (!confirmed)
        return;
    const auto revision = m_forwarder.confirm(m_options.timing.callTimeout);
    const StateLock lock(m_mutex);
    m_ready = revision && m_entries.lastRevision() >= revision.value();
}

auto Observer::waitApplied(StateLock &lock, Revision revision, Utils::Instant deadline) -> bool
{
    return m_changed.wait_until(lock, deadline, [&] {
        return m_stopping || m_entries.lastRevision() >= revision;
    }) && m_entries.lastRevision() >= revision;
}

auto Observer::currentStatus() const -> LogStatus
{
    const StateLock lock(m_mutex);
    LogStatus status;
    status.role = Role::Observer;
    status.term = m_term;
    status.leaderId = m_leaderId;
    status.commitRevision = m_commitRevision;
    status.appliedRevision = m_entries.lastRevision();
    status.hasQuorum = !m_stopping
                       && m_clock.now() - m_quorumSeen
                              <= m_options.timing.electionTimeout * quorumAgeElectionTimeouts;
    status.ready = m_ready;
    status.progress[m_options.processId] = {m_entries.lastRevision(), Utils::Milliseconds(0)};
    return status;
}

auto Observer::start() -> Utils::Result<void>
{
    m_startedAt = m_clock.now();
    m_forwarder.start();
    m_task = std::jthread([this] { run(); });
    return Utils::success();
}

auto Observer::stop() -> void
{
    {
        const StateLock lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    m_forwarder.stop();
    if (m_task.joinable())
        m_task.join();
}

auto Observer::submit(std::string payload, Utils::Milliseconds timeout)
    -> Utils::Result<SubmitReply>
{
    const auto deadline = m_clock.now() + timeout;
    auto uncertain = false;
    for (;;) {
        auto result = m_forwarder.submit(payload, deadline - m_clock.now());
        StateLock lock(m_mutex);
        if (result && waitApplied(lock, result.value().revision, deadline))
            return result;
        uncertain = uncertain || result || result.error().type == Utils::ErrorType::OutcomeUnknown;
        const auto now = m_clock.now();
        const auto leaderUnreachable =
            now - std::max(m_quorumSeen, m_startedAt)
            > m_options.timing.electionTimeout * unreachableLeaderElectionTimeouts;
        if (m_stopping || now >= deadline || (leaderUnreachable && !uncertain))
            break;
        m_changed.wait_for(lock, m_options.timing.heartbeat / 4);
    }
    if (uncertain)
        return Utils::failure(Utils::ErrorType::OutcomeUnknown,
                              "the commit was not confirmed in time");
    return Utils::failure(Utils::ErrorType::NoQuorum, "no leader with a majority is reachable");
}

auto Observer::confirm(Utils::Milliseconds timeout) -> Utils::Result<Revision>
{
    const auto deadline = m_clock.now() + timeout;
    for (;;) {
        const auto now = m_clock.now();
        if (now >= deadline)
            break;
        const auto wait =
            std::min(m_options.timing.callTimeout, Utils::Milliseconds(deadline - now));
        const auto revision = m_forwarder.confirm(wait);
        StateLock lock(m_mutex);
        if (m_stopping)
            break;
        if (revision && waitApplied(lock, revision.value(), deadline))
            return revision;
        m_changed.wait_for(lock, m_options.timing.heartbeat / 4);
    }
    return Utils::failure(Utils::ErrorType::NoQuorum, "no leader with a majority is reachable");
}

auto Observer::leaderStatus(Utils::Milliseconds timeout) -> Utils::Result<LogStatus>
{
    return m_forwarder.status(timeout);
}

auto Observer::replaceVoter(const std::string &removedId,
                            const Voter &added,
                            Utils::Milliseconds timeout) -> Utils::Result<void>
{
    return m_forwarder.replaceVoter(removedId, added, timeout);
}

} // namespace Replication::Internal
