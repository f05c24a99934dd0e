#include "serveprocess.h"

#include "entry/callerinterface.h"
#include "entry/endpointinterface.h"
#include "entry/operatorinterface.h"
#include "membership/peerupdates.h"
#include "planning/failurewatch.h"
#include "planning/moverunner.h"
#include "replication/singlereplicalog.h"
#include "routing/releasetask.h"
#include "supervision/supervisor.h"
#include "utils/log.h"
#include "utils/taskarena.h"
#include "wire/peerserver.h"

#include <csignal>
#include <iostream>

namespace App {
namespace {

constexpr Utils::Milliseconds plannerInterval{200};
constexpr Utils::Milliseconds releaseInterval{200};
constexpr Utils::Milliseconds peerUpdateInterval{1000};
constexpr Utils::Milliseconds leaseSweepInterval{500};
constexpr std::int64_t millisecondsPerSecond = 1000;

auto httpOptions(std::string name,
                 const std::string &address,
                 std::int64_t connections,
                 const Settings::Limits &limits) -> Entry::HttpServerOptions
{
    return {std::move(name),
            address,
            int(connections),
            limits.bodyBytes,
            std::chrono::milliseconds(limits.slowClientTimeoutMs)};
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

    Settings::Settings settings;
    Utils::SystemClock clock;
    std::int64_t incarnation = clock.wallTime();
    Utils::IdGenerator ids;
    Fleet::Replica replica;
    Replication::SingleReplicaLog log{settings.id, settings.dataFolder, replica};
    Fleet::Gateway gateway{log, clock, ids, Utils::Milliseconds(settings.timing.commandTimeoutMs)};
    Membership::EndpointDirectory directory{clock,
                                            Utils::Milliseconds(settings.timing.routingLeaseMs)};
    Membership::DemandTable demand{clock, Utils::Milliseconds(settings.timing.routingLeaseMs)};
    Wire::PeerServer peerServer{{settings.listen.peers, int(settings.limits.peerConnections)}};
    Routing::Dispatcher dispatcher{clock, replica, directory};
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
    Planning::MoveRunner moveRunner{
        gateway,
        replica,
        directory,
        *platform,
        clock,
        {Utils::Milliseconds(settings.timing.soakS * millisecondsPerSecond),
         Utils::Milliseconds(settings.timing.drainDeadlineS *millisecondsPerSecond)}};
    Planning::FailureWatch failureWatch{gateway, replica, directory, clock};
    Entry::HttpServer callerServer{httpOptions(
        "callers", settings.listen.callers, settings.limits.callerConnections, settings.limits)};
    Entry::HttpServer endpointServer{httpOptions("endpoints",
                                                 settings.listen.endpoints,
                                                 settings.limits.endpointConnections,
                                                 settings.limits)};
    Entry::HttpServer operatorServer{httpOptions("operators",
                                                 settings.listen.operators,
                                                 settings.limits.operatorConnections,
                                                 settings.limits)};
    Entry::CallerInterface callers{callerServer,
                                   {clock, ids, replica, dispatcher, claimedDispatch}};
    Entry::EndpointInterface endpoints{endpointServer, {replica, gateway, directory, settings.id}};
    Entry::OperatorInterface operators{operatorServer, {settings, replica, gateway, log, ids}};
    std::vector<std::unique_ptr<Membership::PeerLink>> peerLinks;
    Supervision::Supervisor supervisor{"root", {}, [](const Utils::Error &) {}};
};

auto ServeProcess::Private::plan() -> void
{
    if (log.status().role != Replication::Role::Leader)
        return;
    failureWatch.runOnce();
    moveRunner.runOnce();
}

auto ServeProcess::Private::startPeerLinks() -> void
{
    for (const auto &peer : settings.peers) {
        if (peer.id == settings.id)
            continue;
        peerLinks.push_back(std::make_unique<Membership::PeerLink>(
            Membership::PeerLinkOptions{peer.id,
                                        peer.address,
                                        peerUpdateInterval,
                                        Utils::Milliseconds(settings.timing.peerCallTimeoutMs)},
            Membership::ProcessIdentity{settings.id, settings.zone, incarnation},
            directory,
            [this] { return dispatcher.localLoad(); }));
        supervisor.startChild(
            {"peer " + peer.id, [link = peerLinks.back().get()](Utils::StopSignal &stop) {
                 link->run(stop);
                 return Utils::Result<void>(Utils::success());
             }});
    }
    supervisor.startChild({"leases", [this](Utils::StopSignal &stop) -> Utils::Result<void> {
                               while (!stop.waitFor(leaseSweepInterval))
                                   directory.sweep();
                               return Utils::success();
                           }});
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
    m_d->peerServer.addService(Membership::membershipServiceName,
                               Membership::makeMembershipProcessor(m_d->directory, m_d->demand));
    BOOST_OUTCOME_TRY(m_d->peerServer.start());
    BOOST_OUTCOME_TRY(m_d->log.start());
    m_d->startPeerLinks();
    BOOST_OUTCOME_TRY(m_d->operatorServer.start());
    BOOST_OUTCOME_TRY(m_d->endpointServer.start());
    BOOST_OUTCOME_TRY(m_d->callerServer.start());
    m_d->supervisor.startChild({"moves", [this](Utils::StopSignal &stop) -> Utils::Result<void> {
                                    while (!stop.waitFor(plannerInterval))
                                        m_d->plan();
                                    return Utils::success();
                                }});
    m_d->supervisor.startChild(
        {"releases and claims", [this](Utils::StopSignal &stop) -> Utils::Result<void> {
             do {
                 m_d->releaseTask.runOnce();
                 m_d->claimSettler.runOnce();
             } while (!stop.waitFor(releaseInterval));
             return Utils::success();
         }});
    return Utils::success();
}

auto ServeProcess::stop() -> void
{
    m_d->callerServer.stop();
    m_d->endpointServer.stop();
    m_d->operatorServer.stop();
    m_d->supervisor.stop();
    m_d->peerServer.stop();
    m_d->log.stop();
}

auto runServe(const Settings::Settings &settings) -> int
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    // Blocked before any thread starts, so that all threads inherit it.
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    const auto &limits = settings.limits;
    const Utils::ThreadLimit threads(int(limits.callerConnections + limits.endpointConnections
                                         + limits.operatorConnections + limits.peerConnections));
    ServeProcess process(settings);
    if (const auto started = process.start(); !started) {
        std::cerr << started.error().message << ": " << started.error().details << '\n';
        return 1;
    }
    auto received = 0;
    sigwait(&signals, &received);
    Utils::Log::info("app", "stopping", {{"signal", received}});
    process.stop();
    return 0;
}

} // namespace App
