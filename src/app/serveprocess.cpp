#include "serveprocess.h"

#include "commandline.h"
#include "processlog.h"

#include "entry/callerinterface.h"
#include "entry/endpointinterface.h"
#include "entry/jobinterface.h"
#include "entry/operatorinterface.h"
#include "entry/probeinterface.h"
#include "fleet/expirytask.h"
#include "membership/peerupdates.h"
#include "planning/failurewatch.h"
#include "planning/moverunner.h"
#include "replication/replicaoptions.h"
#include "routing/releasetask.h"
#include "supervision/supervisor.h"
#include "utils/cachedflag.h"
#include "utils/log.h"
#include "utils/taskarena.h"
#include "wire/peerserver.h"
#include "wire/thriftlog.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

namespace App {
namespace {

constexpr Utils::Milliseconds plannerInterval{200};
// Limits the planner to about 1.5 % of a core, regardless of the size of the fleet.
constexpr auto plannerIdleFactor = 64;
constexpr Utils::Milliseconds releaseInterval{200};
constexpr Utils::Milliseconds zonePeerUpdateInterval{1000};
// Other zones send only overflow to this zone. An update each half of the default routing lease is
// sufficient to keep the records of this process there from expiring.
constexpr Utils::Milliseconds otherZoneUpdateInterval{1500};
constexpr Utils::Milliseconds leaseSweepInterval{500};
// Peers report their endpoints to a process that has just started within this time.
constexpr Utils::Milliseconds endpointGrace{2000};
constexpr Utils::Milliseconds auditInterval{1000};
// Far shorter than the time after which a process cut off from the leader loses its quorum.
constexpr Utils::Milliseconds quorumMaximumAge{20};
constexpr auto callersListener = "callers";
constexpr std::int64_t millisecondsPerSecond = 1000;

auto httpOptions(std::string name,
                 const std::string &address,
                 std::int64_t connections,
                 const Settings::Limits &limits,
                 Utils::Metrics &metrics) -> Entry::HttpServerOptions
{
    const auto tellsOutcome = name == callersListener;
    return {std::move(name),
            address,
            int(connections),
            limits.bodyBytes,
            Utils::Milliseconds(limits.slowClientTimeoutMs),
            limits.headerBytes,
            Utils::Milliseconds(limits.idleConnectionTimeoutMs),
            &metrics,
            tellsOutcome,
            limits.heldBytes};
}

} // namespace

class ServeProcess::Private
{
public:
    explicit Private(Settings::Settings processSettings)
        : settings(std::move(processSettings))
    {}

    auto startPeerLinks() -> void;
    auto plan() -> void;
    auto auditChild() -> Supervision::ChildSpec;
    auto escalate(const Utils::Error &error) -> void;
    auto dispatcherOptions() -> Routing::DispatcherOptions;

    Settings::Settings settings;
    Utils::SystemClock clock;
    std::int64_t incarnation = clock.wallTime();
    Utils::IdGenerator ids;
    Utils::Metrics metrics;
    std::atomic<bool> stopping = false;
    std::atomic<bool> escalated = false;
    Fleet::Replica replica;
    ProcessLog processLog = makeProcessLog(settings, replica, clock, ids.nextNumber());
    Replication::ReplicatedLog &log = *processLog.log;
    Utils::CachedFlag quorum{clock, quorumMaximumAge, [this] { return log.status().hasQuorum; }};
    Fleet::Gateway gateway{log, clock, ids, Utils::Milliseconds(settings.timing.commandTimeoutMs)};
    Membership::EndpointDirectory directory{clock,
                                            Utils::Milliseconds(settings.timing.routingLeaseMs)};
    Membership::DemandTable demand{clock, Utils::Milliseconds(settings.timing.routingLeaseMs)};
    Wire::PeerServer peerServer{{settings.listen.peers, int(settings.limits.peerConnections)}};
    Routing::Dispatcher dispatcher{clock, replica, directory, dispatcherOptions()};
    Routing::ClaimSettler claimSettler{gateway, settings.id};
    Routing::ClaimedDispatch claimedDispatch{clock,
                                             dispatcher,
                                             gateway,
                                             replica,
                                             claimSettler,
                                             {settings.id, incarnation, settings.limits.claims}};
    Routing::ReleaseTask releaseTask{dispatcher,
                                     gateway,
                                     replica,
                                     {settings.id,
                                      settings.zone,
                                      incarnation,
                                      Utils::Milliseconds(settings.timing.routingLeaseMs)}};
    std::unique_ptr<Planning::Platform> platform =
        Planning::makePlatform(settings.platform.address);
    Planning::DemandHistory demandHistory;
    Planning::MoveRunner moveRunner{
        gateway,
        replica,
        directory,
        *platform,
        clock,
        {Utils::Milliseconds(settings.timing.soakS * millisecondsPerSecond),
         Utils::Milliseconds(settings.timing.drainDeadlineS *millisecondsPerSecond)}};
    Planning::FailureWatch failureWatch{gateway, replica, directory, clock};
    Entry::HttpServer callerServer{httpOptions(callersListener,
                                               settings.listen.callers,
                                               settings.limits.callerConnections,
                                               settings.limits,
                                               metrics)};
    Entry::HttpServer endpointServer{httpOptions("endpoints",
                                                 settings.listen.endpoints,
                                                 settings.limits.endpointConnections,
                                                 settings.limits,
                                                 metrics)};
    Entry::HttpServer operatorServer{httpOptions("operators",
                                                 settings.listen.operators,
                                                 settings.limits.operatorConnections,
                                                 settings.limits,
                                                 metrics)};
    Entry::StartGate startGate{clock,
                               {[this] { return log.status().ready; },
                                [this] { return !directory.isEmpty(); },
                                settings.peers.empty() ? Utils::Milliseconds(0) : endpointGrace}};
    Entry::CallerInterface callers{
        callerServer, {clock, ids, replica, dispatcher, claimedDispatch, &metrics, &startGate}};
    Entry::EndpointInterface endpoints{endpointServer, {replica, gateway, directory, settings.id}};
    // Only voters have a disk for the audit file; other processes show only the audit entries in
    // their state.
    std::unique_ptr<Fleet::AuditFile> auditFile =
        settings.isVoter()
            ? std::make_unique<Fleet::AuditFile>(Store::posixFileSystem(), settings.dataFolder)
            : nullptr;
    Entry::OperatorInterface operators{
        operatorServer,
        {settings, replica, gateway, log, ids, &dispatcher, &demandHistory, auditFile.get()}};
    Entry::JobInterface jobs{
        callerServer, endpointServer, {replica, gateway, ids, settings.id, settings.limits.claims}};
    Fleet::ExpiryTask expiryTask{log,
                                 gateway,
                                 replica,
                                 clock,
                                 settings.id,
                                 {settings.timing.claimRetentionS * millisecondsPerSecond,
                                  settings.timing.claimRetentionS *millisecondsPerSecond}};
    std::vector<std::unique_ptr<Membership::PeerLink>> peerLinks;
    Entry::ProbeInterface probes{{settings.id,
                                  settings.zone,
                                  log,
                                  metrics,
                                  stopping,
                                  {&callerServer, &endpointServer, &operatorServer},
                                  &startGate}};
    Supervision::Supervisor supervisor{
        "root", {}, clock, [this](const Utils::Error &error) { escalate(error); }};
};

auto ServeProcess::Private::plan() -> void
{
    if (log.status().role != Replication::Role::Leader)
        return;
    failureWatch.runOnce();
    const auto nowMs = clock.wallTime();
    const auto plan = replica.read([&](const Fleet::State &state) {
        Planning::recordInFlight(demandHistory, state, directory, nowMs);
        return Planning::planBuffers(state, demandHistory, {}, nowMs);
    });
    moveRunner.runOnce(plan);
}

auto ServeProcess::Private::auditChild() -> Supervision::ChildSpec
{
    return {"audit file", [this](Utils::StopSignal &stop) -> Utils::Result<void> {
                for (auto stopped = false; !stopped;) {
                    stopped = stop.waitFor(auditInterval);
                    if (const auto updated = auditFile->update(replica); !updated) {
                        Utils::Log::error("app",
                                          "cannot write the audit file",
                                          {{"reason", updated.error().details}});
                        metrics.count("trefoilshelf_audit_file_errors_total");
                    }
                }
                return Utils::success();
            }};
}

auto ServeProcess::Private::escalate(const Utils::Error &error) -> void
{
    Utils::Log::error("app", "stopping the process after a failure", {{"reason", error.message}});
    escalated = true;
    // The main thread waits for this signal in runServe().
    ::kill(::getpid(), SIGTERM);
}

auto ServeProcess::Private::dispatcherOptions() -> Routing::DispatcherOptions
{
    Routing::DispatcherOptions options;
    options.process = settings.id;
    options.zone = settings.zone;
    options.seed = ids.nextNumber();
    options.queuedRequests = std::size_t(settings.limits.queuedRequests);
    options.hasQuorum = [this] { return quorum.value(); };
    options.peers = &demand;
    options.metrics = &metrics;
    return options;
}

auto ServeProcess::Private::startPeerLinks() -> void
{
    std::vector<Supervision::ChildSpec> children;
    for (const auto &peer : settings.peers) {
        if (peer.id == settings.id)
            continue;
        peerLinks.push_back(std::make_unique<Membership::PeerLink>(
            Membership::PeerLinkOptions{peer.id,
                                        peer.address,
                                        peer.zone == settings.zone ? zonePeerUpdateInterval
                                                                   : otherZoneUpdateInterval,
                                        Utils::Milliseconds(settings.timing.peerCallTimeoutMs)},
            Membership::ProcessIdentity{settings.id, settings.zone, incarnation},
            directory,
            [this] { return dispatcher.localLoad(); }));
        children.push_back(
            {"peer " + peer.id, [link = peerLinks.back().get()](Utils::StopSignal &stop) {
                 link->run(stop);
                 return Utils::Result<void>(Utils::success());
             }});
    }
    children.push_back({"leases", [this](Utils::StopSignal &stop) -> Utils::Result<void> {
                            while (!stop.waitFor(leaseSweepInterval))
                                directory.removeExpired();
                            return Utils::success();
                        }});
    supervisor.startChild(Supervision::supervisorChild("peers", {}, clock, std::move(children)));
}

ServeProcess::ServeProcess(Settings::Settings settings)
    : m_d(std::make_unique<Private>(std::move(settings)))
{}

ServeProcess::~ServeProcess()
{
    stop();
}

auto ServeProcess::start() -> Utils::Result<void>
{
    m_d->probes.addProbes(m_d->callerServer);
    m_d->probes.addProbes(m_d->operatorServer);
    m_d->probes.addMetrics(m_d->operatorServer);
    m_d->peerServer.addService(Membership::membershipServiceName,
                               Membership::makeMembershipProcessor(m_d->directory, m_d->demand));
    m_d->peerServer.addService(Replication::serviceName, m_d->processLog.processor);
    BOOST_OUTCOME_TRY(m_d->peerServer.start());
    BOOST_OUTCOME_TRY(m_d->log.start());
    m_d->startPeerLinks();
    BOOST_OUTCOME_TRY(m_d->operatorServer.start());
    BOOST_OUTCOME_TRY(m_d->endpointServer.start());
    BOOST_OUTCOME_TRY(m_d->callerServer.start());
    m_d->supervisor.startChild({"moves", [this](Utils::StopSignal &stop) -> Utils::Result<void> {
                                    auto pause = plannerInterval;
                                    while (!stop.waitFor(pause)) {
                                        const auto started = m_d->clock.now();
                                        m_d->plan();
                                        const auto elapsed = m_d->clock.now() - started;
                                        pause =
                                            std::max(plannerInterval, elapsed * plannerIdleFactor);
                                    }
                                    return Utils::success();
                                }});
    if (m_d->auditFile)
        m_d->supervisor.startChild(m_d->auditChild());
    m_d->supervisor.startChild(
        {"releases and claims", [this](Utils::StopSignal &stop) -> Utils::Result<void> {
             do {
                 m_d->releaseTask.runOnce();
                 m_d->claimSettler.runOnce();
                 m_d->expiryTask.runOnce();
             } while (!stop.waitFor(releaseInterval));
             return Utils::success();
         }});
    return Utils::success();
}

auto ServeProcess::beginStop() -> void
{
    m_d->stopping = true;
    m_d->callerServer.endConnections();
    m_d->endpointServer.endConnections();
}

auto ServeProcess::hasEscalated() const -> bool
{
    return m_d->escalated;
}

auto ServeProcess::stop() -> void
{
    m_d->callerServer.stop();
    m_d->endpointServer.stop();
    m_d->operatorServer.stop();
    m_d->supervisor.stop();
    m_d->log.stop();
    m_d->peerServer.stop();
}

auto runServe(const Settings::Settings &settings) -> int
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // The signals are blocked before any thread starts, so that all threads inherit the mask.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    Wire::routeThriftLog();

    const auto &limits = settings.limits;
    const Utils::ThreadLimit threads(int(limits.callerConnections + limits.endpointConnections
                                         + limits.operatorConnections + limits.peerConnections));
    ServeProcess process(settings);
    if (const auto started = process.start(); !started) {
        std::cerr << started.error().message << ": " << started.error().details << '\n';
        return exitRefused;
    }
    auto received = 0;
    sigwait(&signals, &received);
    Utils::Log::info("app", "stopping", {{"signal", received}});
    process.beginStop();
    // During this time, the load balancer sees the failing probe. Further signals stay blocked.
    std::this_thread::sleep_for(Utils::Milliseconds(settings.timing.lameDuckMs));
    process.stop();
    Utils::Log::info("app", "stopped");
    return process.hasEscalated() ? exitEscalated : exitDone;
}

} // namespace App
