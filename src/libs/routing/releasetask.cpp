#include "releasetask.h"

#include "utils/log.h"

namespace Routing {

ReleaseTask::ReleaseTask(Dispatcher &dispatcher,
                         Fleet::Gateway &gateway,
                         const Fleet::Replica &replica,
                         ProcessIdentity identity)
    : m_dispatcher(dispatcher)
    , m_gateway(gateway)
    , m_replica(replica)
    , m_identity(std::move(identity))
{}

auto ReleaseTask::runOnce() -> void
{
    if (!registerProcess())
        return;
    for (auto &command : unreleasedHosts()) {
        if (m_dispatcher.inFlightOnHost(command.host) == 0)
            release(std::move(command));
    }
}

auto ReleaseTask::registerProcess() -> bool
{
    const auto registered = m_replica.read([&](const Fleet::State &state) {
        const auto *process = state.findProcess(m_identity.id);
        return process && process->incarnation == m_identity.incarnation;
    });
    if (registered)
        return true;
    const auto result = m_gateway.execute(Fleet::RegisterProcess{m_identity.id,
                                                                 m_identity.zone,
                                                                 m_identity.incarnation,
                                                                 m_identity.routingLease.count()},
                                          {m_identity.id, "the process started", {}, {}});
    if (!result) {
        Utils::Log::info(
            "routing", "could not register this process", {{"reason", result.error().message}});
    }
    return result.has_value();
}

auto ReleaseTask::unreleasedHosts() const -> std::vector<Fleet::ReleaseHost>
{
    return m_replica.read([&](const Fleet::State &state) {
        std::vector<Fleet::ReleaseHost> commands;
        const auto *process = state.findProcess(m_identity.id);
        if (!process)
            return commands;
        for (const auto &[id, move] : state.moves()) {
            const auto *host = state.findHost(move.host);
            const auto concerned =
                move.state == Fleet::MoveState::Draining && host && host->zone == m_identity.zone;
            if (concerned && !state.releases().isReleasedBy(id, *process)) {
                commands.push_back(
                    {id, host->id, host->assignmentEpoch, process->id, process->incarnation});
            }
        }
        return commands;
    });
}

auto ReleaseTask::release(Fleet::ReleaseHost command) -> void
{
    const auto host = command.host;
    const auto result = m_gateway.execute(
        std::move(command), {m_identity.id, "nothing in flight on host " + host, {}, {}});
    if (!result) {
        Utils::Log::info("routing",
                         "could not release a draining host",
                         {{"host", host}, {"reason", result.error().message}});
    }
}

} // namespace Routing
