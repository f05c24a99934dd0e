#include "platformcommands.h"

#include "commandline.h"
#include "controlidentity.h"
#include "platformprocess.h"

#include "asyncnet/httplistener.h"
#include "execution/orders.h"
#include "platform/controlroutes.h"
#include "platform/endpointclient.h"
#include "platform/entryroutes.h"
#include "platform/hostclient.h"
#include "replication/replicalog.h"
#include "service/controlservice.h"
#include "service/entryservice.h"
#include "service/filebudget.h"
#include "service/memorybudget.h"
#include "service/voterkeeper.h"
#include "utils/ids.h"
#include "utils/log.h"
#include "utils/taskarena.h"
#include "wire/peerserver.h"
#include "wire/thriftlog.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iostream>
#include <thread>

namespace App {
namespace {

using AsyncNet::Task;

// The load balancer probes readiness once a second and stops sending callers to the process after
// two failed probes.
constexpr Utils::Milliseconds balancerReactionTime{2500};
// Remaining part of the grace period, in which requests in progress may finish.
constexpr Utils::Milliseconds finishTimeout{2500};
constexpr Utils::Milliseconds finishCheckInterval{50};
// Sufficient for eight control processes that call each other.
constexpr int peerConnections = 32;
// Each further tolerated loss takes two more voters: 2n + 1 voters tolerate n losses.
constexpr std::int64_t votersPerLoss = 2;

auto loadSettings() -> Utils::Result<Platform::NodeSettings>
{
    auto settings = Platform::loadNodeSettings();
    if (!settings) {
        std::cerr << settings.error().message << '\n' << settings.error().details << '\n';
        return settings;
    }
    const auto &loaded = settings.value();
    Utils::Log::initialize({Utils::Log::Level::Info, {}, loaded.id, loaded.zone, true});
    return settings;
}

auto fileBudget(const PlatformProcess &process) -> Service::FileBudget
{
    return Service::divideFileBudget(process.settings().openFiles);
}

auto limitsFor(std::int64_t connections) -> AsyncNet::HttpListenerLimits
{
    AsyncNet::HttpListenerLimits limits;
    limits.connections = int(connections);
    return limits;
}

// Links use files that the budget reserves. The log and its peers need the others.
constexpr std::int64_t linkFilesPercent = 75;

auto linkLimits(const PlatformProcess &process) -> AsyncNet::FrameServerLimits
{
    const auto memory = Service::divideMemory(process.settings().memoryMb);
    return {int(fileBudget(process).reserved * linkFilesPercent / 100),
            std::make_shared<Utils::ByteBudget>(memory.links)};
}

auto accountRates(const Platform::NodeSettings &settings) -> Accounts::RateTerms
{
    constexpr double millisecondsPerSecond = 1000;
    Accounts::RateTerms terms(
        Utils::Milliseconds(std::int64_t(settings.accountRateWindowS * millisecondsPerSecond)));
    terms.excess = settings.accountRateExcess;
    terms.slack = settings.accountRateSlack;
    terms.refuses = settings.refuseBeyondRate;
    return terms;
}

auto peerOptions(const Platform::NodeSettings &settings) -> Wire::PeerServerOptions
{
    Wire::PeerServerOptions options;
    options.address = settings.replicationListenAddress();
    options.connections = peerConnections;
    options.frameBytes = Service::divideMemory(settings.memoryMb).replication;
    return options;
}

auto reportFailure(const Utils::Error &error) -> int
{
    Utils::Log::error(
        "app", "cannot start", {{"reason", error.message}, {"details", error.details}});
    return exitRefused;
}

auto finishRequests(const AsyncNet::HttpListener &listener) -> Task<void>
{
    for (auto waited = Utils::Milliseconds(0);
         listener.requestsInProgress() > 0 && waited < finishTimeout;
         waited += finishCheckInterval)
        co_await AsyncNet::pause(finishCheckInterval);
}

class EntryProcess
{
public:
    explicit EntryProcess(Platform::NodeSettings settings)
        : m_process(std::move(settings))
    {}

    auto run() -> int
    {
        const auto &settings = m_process.settings();
        m_callers.setLimits(callerLimits());
        m_process.confine(m_callers);
        m_process.confine(m_readiness);
        m_callers.keepHeaders(Platform::keptHeaders());
        m_service.setConfigurationCallback([this] { applyLimits(); });
        m_process.onReload([this](const Platform::NodeSettings &changed) {
            m_link.addMembers(changed.seedLinkAddresses());
        });
        auto started = m_callers.start(settings.listen.callers);
        if (started)
            started = m_readiness.start(settings.listen.readiness);
        if (!started)
            return reportFailure(started.error());
        m_link.start();
        m_service.start();
        Utils::Log::info("app", "started", {{"role", "entry"}});
        m_process.run([this] { return stop(); });
        return exitDone;
    }

private:
    auto stop() -> Task<void>
    {
        m_service.stop();
        m_callers.endConnections();
        co_await AsyncNet::pause(balancerReactionTime);
        m_callers.stopAccepting();
        co_await finishRequests(m_callers);
        m_link.stop();
    }

    // Entry processes call no endpoints, so callers also get the file descriptors that the budget
    // reserves for endpoint connections.
    auto callerLimits() const -> AsyncNet::HttpListenerLimits
    {
        const auto budget = fileBudget(m_process);
        return limitsFor(budget.endpoints + budget.listener);
    }

    auto applyLimits() -> void
    {
        const auto &limits = m_service.routes().limits();
        auto changed = callerLimits();
        changed.headerBytes = limits.headerBytes;
        changed.bodyBytes = limits.bodyBytes;
        changed.requestTimeout = Utils::Milliseconds(limits.headerTimeoutMs);
        changed.idleTimeout = Utils::Milliseconds(limits.idleTimeoutMs);
        m_callers.setLimits(changed);
    }

    PlatformProcess m_process;
    Service::LeaderLink m_link{m_process.loop(), m_process.settings().seedLinkAddresses(), {}};
    Service::EntryService m_service{m_process.loop(), m_link};
    Platform::EntryRoutes m_routes{m_service, m_process.metrics()};
    AsyncNet::HttpListener m_callers{
        m_process.loop(), "callers", [this](AsyncNet::HttpRequest request) {
            return m_routes.handleCaller(std::move(request));
        }};
    AsyncNet::HttpListener m_readiness{
        m_process.loop(), "readiness", [this](AsyncNet::HttpRequest request) {
            return m_routes.handleReadiness(std::move(request));
        }};
};

auto seedVoters(const Platform::NodeSettings &settings) -> std::vector<Replication::Voter>
{
    std::vector<Replication::Voter> voters;
    for (const auto &address : settings.seedReplicationAddresses())
        voters.push_back({address, {}, address});
    std::ranges::sort(voters, {}, &Replication::Voter::id);
    return voters;
}

auto replicaOptions(const Platform::NodeSettings &settings,
                    const ControlIdentityRecord &identity,
                    std::uint64_t seed) -> Replication::ReplicaOptions
{
    Replication::ReplicaOptions options;
    options.processId = identity.processId;
    options.zone = settings.zone;
    options.dataFolder = settings.dataFolder;
    options.voters = identity.firstVoters;
    options.seed = seed;
    // What a former leader decided must not be committed once the next one has begun.
    options.forwards = false;
    options.termStep = std::uint64_t(Execution::tokensPerTerm);
    return options;
}

auto ledgerTiming(const Platform::NodeSettings &settings) -> Execution::LedgerTiming
{
    Execution::LedgerTiming timing;
    timing.maximumLease = Utils::Milliseconds(settings.maximumLeaseMs);
    timing.longestStop = Utils::Milliseconds(settings.longestStopMs);
    timing.farFactor = settings.farFactor;
    timing.sharesOwedWork = settings.shareOwedWork;
    timing.lease = std::min(timing.lease, timing.maximumLease);
    timing.startLease = std::min(timing.startLease, timing.lease);
    return timing;
}

class ControlProcess
{
public:
    ControlProcess(Platform::NodeSettings settings,
                   const ControlIdentityRecord &identity,
                   std::uint64_t seed)
        : m_process(std::move(settings))
        , m_log(replicaOptions(m_process.settings(), identity, seed), m_state, m_clock)
        , m_link(m_process.loop(),
                 m_process.settings().seedLinkAddresses(),
                 {identity.processId,
                  m_process.settings().replicationAddress(),
                  m_process.settings().zone})
    {}

    auto run() -> int
    {
        m_listener.setLimits(limitsFor(fileBudget(m_process).listener));
        m_process.confine(m_listener);
        m_peers.addService(Replication::serviceName, m_log.processor());
        m_process.onReload([this](const Platform::NodeSettings &changed) {
            m_link.addMembers(changed.seedLinkAddresses());
        });
        auto started = m_peers.start();
        if (started)
            started = m_log.start();
        if (started)
            started = m_service.start();
        if (started)
            started = m_listener.start(m_process.settings().listen.control);
        if (!started)
            return reportFailure(started.error());
        m_link.start();
        std::jthread keeper([this] { m_keeper.run(m_keeperStop); });
        Utils::Log::info("app", "started", {{"role", "control"}});
        m_process.run([this] { return stop(); });
        m_keeperStop.request();
        keeper.join();
        m_log.stop();
        m_peers.stop();
        return exitDone;
    }

private:
    auto stop() -> Task<void>
    {
        m_service.stop();
        m_keeperStop.request();
        AsyncNet::Signal stopped(m_process.loop());
        auto done = false;
        // Stopping the log transfers leadership, which waits for other processes. A separate thread
        // keeps the event loop free for that time.
        std::jthread logStopThread([&] {
            m_log.stop();
            AsyncNet::asio::post(m_process.loop(), [&] {
                done = true;
                stopped.notify();
            });
        });
        while (!done)
            co_await stopped.waitFor(finishTimeout);
        m_listener.endConnections();
        m_listener.stopAccepting();
        co_await finishRequests(m_listener);
        m_link.stop();
    }

    PlatformProcess m_process;
    Utils::SystemClock m_clock;
    Service::MemberTable m_members;
    Control::StateReplica m_state{
        m_clock,
        [this] { AsyncNet::asio::post(m_process.loop(), [this] { m_service.stateChanged(); }); }};
    Replication::ReplicaLog m_log;
    Wire::PeerServer m_peers{peerOptions(m_process.settings())};
    Service::LeaderLink m_link;
    Platform::EndpointClient m_endpoints{m_process.loop(),
                                         std::size_t(fileBudget(m_process).endpoints)};
    Platform::HostClient m_hosts{
        m_process.loop(), m_process.settings().hostsAddress, m_process.settings().id};
    Service::ControlService m_service{{m_process.loop(),
                                       m_state,
                                       m_log,
                                       m_endpoints,
                                       m_hosts,
                                       m_clock,
                                       m_process.metrics(),
                                       m_link,
                                       m_members},
                                      {m_process.settings().linkAddress(),
                                       m_process.settings().linkListenAddress(),
                                       ledgerTiming(m_process.settings()),
                                       m_process.settings().hostOrdersPerS,
                                       accountRates(m_process.settings()),
                                       linkLimits(m_process)}};
    Platform::ControlRoutes m_routes{m_service, m_process.settings()};
    AsyncNet::HttpListener m_listener{
        m_process.loop(), "control", [this](AsyncNet::HttpRequest request) {
            return m_routes.handle(std::move(request));
        }};
    Service::VoterKeeper m_keeper{
        m_log,
        m_members,
        m_clock,
        std::size_t(m_process.settings().toleratedLosses *votersPerLoss + 1)};
    Utils::StopSignal m_keeperStop;
};

} // namespace

auto runEntryCommand(int, char **) -> int
{
    auto settings = loadSettings();
    if (!settings)
        return exitUsage;
    EntryProcess process(std::move(settings.value()));
    return process.run();
}

auto runControlCommand(int, char **) -> int
{
    auto settings = loadSettings();
    if (!settings)
        return exitUsage;
    Wire::routeThriftLog();
    Utils::IdGenerator ids;
    const auto &loaded = settings.value();
    ControlStart start;
    start.dataFolder = loaded.dataFolder;
    start.firstStart = loaded.firstStart;
    start.self = {loaded.replicationAddress(), loaded.zone, loaded.replicationAddress()};
    start.seeds = seedVoters(loaded);
    start.nonce = ids.nextNumber();
    const auto identity = loadOrCreateIdentity(start);
    if (!identity)
        return reportFailure(identity.error());
    const Utils::ThreadLimit threads(peerConnections + 1);
    ControlProcess process(std::move(settings.value()), identity.value(), ids.nextNumber());
    return process.run();
}

} // namespace App
