#include "controlservice.h"

#include "addresses.h"
#include "leadershipstep.h"

#include <algorithm>

namespace Service {
namespace {

constexpr Utils::Milliseconds leadershipCheck{30};
constexpr Utils::Milliseconds relayInterval{200};
// Control processes send a hello request to the leader every 500 ms.
constexpr Utils::Milliseconds relayAge{5000};
// With fewer endpoints, the extra messages cost the leader more than the calls that relays save.
constexpr std::size_t minimumEndpointsForRelays = 64;
// Relays in use are kept until the number of endpoints falls below this one.
constexpr std::size_t minimumEndpointsToKeepRelays = 40;
constexpr std::int64_t submissionLinesPerSecond = 40;
constexpr std::int64_t readLinesPerSecond = 40;
constexpr std::int64_t refusedKeyLinesPerSecond = 10;

} // namespace

ControlService::ControlService(ControlParts parts, ControlOptions options)
    : m_parts(parts)
    , m_options(std::move(options))
    , m_committer(parts.loop, parts.log, parts.state, parts.clock)
    , m_leadership(parts.log, parts.clock)
    , m_relay(parts.loop, parts.endpoints, parts.clock)
    , m_endpoints(parts.loop, parts.endpoints, parts.clock)
    , m_server(parts.loop, [this](Wire::ControlRequest request) { return handle(request); })
    , m_configurationChanged(parts.loop)
    , m_submissionLogBudget("hand-ins", submissionLinesPerSecond)
    , m_readLines("reads of the configuration", readLinesPerSecond)
    , m_refusedReadLines("refused reads of the configuration", readLinesPerSecond)
    , m_refusedKeyLines("refused keys", refusedKeyLinesPerSecond)
{}

ControlService::~ControlService() = default;

auto ControlService::start() -> Utils::Result<void>
{
    if (m_options.linkLimits.budget)
        m_server.setLimits(m_options.linkLimits);
    BOOST_OUTCOME_TRY(m_server.start(m_options.listenAddress));
    AsyncNet::start(m_parts.loop, "leadership", watchLeadership());
    return Utils::success();
}

auto ControlService::stop() -> void
{
    m_stopped = true;
    m_relay.leave();
    if (m_session)
        m_session->end();
    m_session.reset();
}

auto ControlService::stateChanged() -> void
{
    const auto version =
        m_parts.state.read([](const Control::State &state) { return state.configuration.version; });
    if (std::exchange(m_notifiedVersion, version) != version)
        m_configurationChanged.notify();
    if (m_session)
        m_session->stateChanged();
}

auto ControlService::session() const -> Execution::LeaderSession *
{
    return m_session && m_session->isActive() ? m_session.get() : nullptr;
}

auto ControlService::linkPort() const -> int
{
    return m_server.port();
}

auto ControlService::leads() const -> bool
{
    return session() != nullptr;
}

auto ControlService::leaderAddress() const -> std::string
{
    if (leads())
        return m_options.linkAddress;
    const auto found = m_parts.link.leader();
    return found.empty() ? logLeaderAddress() : found;
}

auto ControlService::watchLeadership() -> AsyncNet::Task<void>
{
    while (!m_stopped) {
        const auto status = m_parts.log.status();
        const auto leads = status.role == Replication::Role::Leader && status.hasQuorum;
        const auto term = std::int64_t(status.term);
        if (m_session && (!leads || m_session->term() != term || !m_session->isActive())) {
            m_session->end();
            m_session.reset();
        }
        if (!m_session) {
            const auto step = nextLeadershipStep(status, m_lastSessionTerm);
            if (step == LeadershipStep::BeginSession)
                co_await beginSession(status.term);
            else if (step == LeadershipStep::Resign)
                m_parts.log.resign(status.term);
        }
        if (m_stopped)
            co_return;
        updateRelays();
        co_await AsyncNet::pause(leadershipCheck);
    }
}

auto ControlService::beginSession(std::uint64_t term) -> AsyncNet::Task<void>
{
    // After this commit, all entries that earlier leaders committed are applied here.
    Control::Command beginTerm;
    beginTerm.beginTerm.emplace();
    const auto ready = co_await commit(std::move(beginTerm));
    const auto current = m_parts.log.status();
    if (m_stopped || ready != Execution::CommitResult::Committed
        || current.role != Replication::Role::Leader || current.term != term)
        co_return;
    m_session =
        std::make_shared<Execution::LeaderSession>(Execution::LeaderParts{m_parts.loop,
                                                                          m_parts.state,
                                                                          m_endpoints,
                                                                          m_committer,
                                                                          m_leadership,
                                                                          m_parts.hosts,
                                                                          m_parts.clock,
                                                                          m_parts.metrics,
                                                                          m_options.hostOrdersPerS,
                                                                          m_options.accountRates},
                                                   m_options.timing,
                                                   std::int64_t(term));
    m_lastSessionTerm = term;
    m_sequences.clear();
    m_session->start();
}

// Lets other control processes call the endpoints if there are too many for the leader alone.
auto ControlService::updateRelays() -> void
{
    const auto now = m_parts.clock.now();
    if (now - m_relaysUpdatedAt < relayInterval)
        return;
    m_relaysUpdatedAt = now;
    std::vector<RelayAddress> relays;
    const auto needed =
        m_endpoints.usesRelays() ? minimumEndpointsToKeepRelays : minimumEndpointsForRelays;
    if (leads() && m_session->ledger().endpoints().size() >= needed) {
        for (const auto &member : m_parts.members.recent(now, relayAge)) {
            const auto address = linkAddressOf(member.identity.address);
            if (address != m_options.linkAddress)
                relays.push_back({address, member.identity.zone});
        }
    }
    const auto term = m_session ? m_session->term() : 0;
    m_endpoints.use(relays, m_options.linkAddress + '/' + std::to_string(term));
}

auto ControlService::commit(Control::Command command) -> AsyncNet::Task<Execution::CommitResult>
{
    std::vector<Control::Command> commands;
    commands.push_back(std::move(command));
    co_return co_await m_committer.commit(std::move(commands));
}

auto ControlService::commitNoOp() -> AsyncNet::Task<Execution::CommitResult>
{
    Control::Command noOp;
    co_return co_await commit(std::move(noOp));
}

// Returns the link address of the leader that the replicated log reports, or an empty string.
auto ControlService::logLeaderAddress() const -> std::string
{
    const auto status = m_parts.log.status();
    const auto leader = std::ranges::find(status.voters, status.leaderId, &Replication::Voter::id);
    return leader != status.voters.end() ? linkAddressOf(leader->address) : std::string();
}

} // namespace Service
