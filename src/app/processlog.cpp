#include "processlog.h"

#include "replication/observerlog.h"
#include "replication/replicalog.h"

namespace App {
namespace {

auto replicaOptions(const Settings::Settings &settings, std::uint64_t seed)
    -> Replication::ReplicaOptions
{
    Replication::ReplicaOptions options;
    options.processId = settings.id;
    options.zone = settings.zone;
    options.dataFolder = settings.dataFolder;
    options.seed = seed;
    options.timing = {Utils::Milliseconds(settings.timing.electionTimeoutMs),
                      Utils::Milliseconds(settings.timing.heartbeatMs),
                      Utils::Milliseconds(settings.timing.peerCallTimeoutMs)};
    for (const auto &peer : settings.peers) {
        if (peer.voter)
            options.voters.push_back({peer.id, peer.zone, peer.address});
        else if (peer.zone == settings.zone)
            options.zonePeers.push_back({peer.id, peer.address});
    }
    if (settings.peers.empty())
        options.voters.push_back({settings.id, settings.zone, settings.listen.peers});
    return options;
}

} // namespace

auto makeProcessLog(const Settings::Settings &settings,
                    Replication::StateMachine &machine,
                    const Utils::Clock &clock,
                    std::uint64_t seed) -> ProcessLog
{
    const auto options = replicaOptions(settings, seed);
    if (settings.isVoter()) {
        auto log = std::make_unique<Replication::ReplicaLog>(options, machine, clock);
        auto processor = log->processor();
        return {std::move(log), std::move(processor)};
    }
    auto log = std::make_unique<Replication::ObserverLog>(options, machine, clock);
    auto processor = log->processor();
    return {std::move(log), std::move(processor)};
}

} // namespace App
