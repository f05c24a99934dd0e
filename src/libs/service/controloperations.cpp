// Implements the part of ControlService that serves endpoints and operators: announcements, the
// configuration and waves.
#include "controlservice.h"

#include "control/removedendpoints.h"
#include "utils/log.h"

#include <string_view>

namespace Service {
namespace {

auto outcomeFor(Execution::CommitResult result) -> Outcome
{
    switch (result) {
    case Execution::CommitResult::Committed:
        return Outcome::Done;
    case Execution::CommitResult::NotCommitted:
        return Outcome::NotLeader;
    case Execution::CommitResult::Unknown:
        break;
    }
    return Outcome::Unknown;
}

// Returns why a read of the configuration is refused after a commit with this result.
auto refusalFor(Execution::CommitResult result) -> std::string_view
{
    switch (result) {
    case Execution::CommitResult::Committed:
        return "there is no configuration that can be read";
    case Execution::CommitResult::NotCommitted:
        return "lost the leadership while it confirmed it";
    case Execution::CommitResult::Unknown:
        break;
    }
    return "could not confirm its leadership in time";
}

auto documentOf(const Control::State &state) -> std::optional<std::string>
{
    if (state.configuration.version == 0)
        return std::nullopt;
    auto document = state.configuration.openDocument();
    if (!document) {
        Utils::Log::error(
            "service",
            "cannot read the document of the configuration",
            {{"version", state.configuration.version}, {"reason", document.error().message}});
        return std::nullopt;
    }
    return std::move(document.value());
}

} // namespace

// An address belongs to one process, so an earlier incarnation at the address has ended.
auto ControlService::removeReplacedIncarnations(const Control::EndpointRecord &record)
    -> AsyncNet::Task<bool>
{
    std::vector<Control::EndpointIncarnation> replaced;
    const auto stale = m_parts.state.read([&](const Control::State &state) {
        for (const auto &[id, known] : state.endpoints) {
            if (known.record.address != record.address
                || known.record.incarnation == record.incarnation)
                continue;
            if (known.record.incarnation.bornMs > record.incarnation.bornMs)
                return true;
            replaced.push_back(known.record.incarnation);
        }
        return false;
    });
    if (stale)
        co_return false;
    std::vector<Control::Command> commands;
    for (const auto &incarnation : replaced) {
        Control::Command command;
        command.removeEndpoint = incarnation;
        commands.push_back(std::move(command));
        if (auto *active = session())
            active->endpointReplaced(incarnation);
    }
    if (!commands.empty())
        co_await m_committer.commit(std::move(commands));
    co_return true;
}

auto ControlService::announce(Announcement announcement) -> AsyncNet::Task<Outcome>
{
    if (!leads())
        co_return Outcome::NotLeader;
    auto &record = announcement.record;
    const auto last = m_sequences.find(record.incarnation);
    if (announcement.sequence <= (last != m_sequences.end() ? last->second : 0))
        co_return Outcome::Done;
    enum class RecordState { Known, New, Stale };
    const auto recordState = m_parts.state.read([&](const Control::State &state) {
        if (state.configuration.findPool(record.pool) == nullptr)
            return RecordState::Stale;
        const auto found = state.endpoints.find(record.incarnation.id);
        if (found == state.endpoints.end())
            return RecordState::New;
        const auto &known = found->second.record;
        if (known.incarnation.bornMs > record.incarnation.bornMs)
            return RecordState::Stale;
        const auto same = known.incarnation == record.incarnation && known.pool == record.pool
                          && known.address == record.address && known.labels == record.labels
                          && known.capacity == record.capacity
                          && (known.draining || !record.draining);
        return same ? RecordState::Known : RecordState::New;
    });
    // One that names no endpoint in use must not hide the endpoint's own announcements.
    if (recordState == RecordState::Stale)
        co_return Outcome::Done;
    m_sequences[record.incarnation] = announcement.sequence;
    if (recordState == RecordState::Known)
        co_return Outcome::Done;
    const auto newest = co_await removeReplacedIncarnations(record);
    if (!newest)
        co_return Outcome::Done;
    Utils::Log::info("service",
                     "received an announcement of a new or changed endpoint",
                     {{"endpoint", record.incarnation.id},
                      {"born", record.incarnation.bornMs},
                      {"pool", record.pool},
                      {"address", record.address},
                      {"draining", record.draining}});
    auto commands = m_parts.state.read(
        [&](const Control::State &state) { return Control::commandsToAdd(state, record); });
    const auto result = co_await m_committer.commit(std::move(commands));
    auto *active = session();
    if (active == nullptr || result != Execution::CommitResult::Committed)
        m_sequences.erase(record.incarnation);
    else
        active->stateChanged();
    co_return outcomeFor(result);
}

auto ControlService::leave(std::string endpoint, std::int64_t bornMs) -> AsyncNet::Task<Outcome>
{
    if (!leads())
        co_return Outcome::NotLeader;
    auto record = m_parts.state.read(
        [&](const Control::State &state) -> std::optional<Control::EndpointRecord> {
            const auto found = state.endpoints.find(endpoint);
            const auto known =
                found != state.endpoints.end()
                && (bornMs == 0 || found->second.record.incarnation.bornMs == bornMs);
            return known ? std::optional(found->second.record) : std::nullopt;
        });
    if (!record)
        co_return Outcome::Done;
    record->draining = true;
    Control::Command command;
    command.addEndpoint = *record;
    const auto result = co_await commit(std::move(command));
    if (auto *active = session())
        active->markEndpointLeaving(record->incarnation);
    Utils::Log::info(
        "service", "received a deregistration from an endpoint", {{"endpoint", endpoint}});
    co_return outcomeFor(result);
}

auto ControlService::putConfiguration(Control::Configuration configuration)
    -> AsyncNet::Task<Outcome>
{
    if (!leads())
        co_return Outcome::NotLeader;
    const auto version = configuration.version;
    if (const auto sealed = configuration.sealDocument(); !sealed) {
        Utils::Log::error("service",
                          "refused a configuration, since its keys would be stored in plain text",
                          {{"version", version}, {"reason", sealed.error().message}});
        co_return Outcome::Refused;
    }
    Control::Command command;
    const auto held =
        m_parts.state.read([](const Control::State &state) { return state.configuration.version; });
    // A version that is not newer is acknowledged without effect.
    if (version > held)
        command.configuration = std::move(configuration);
    const auto result = co_await commit(std::move(command));
    Utils::Log::info("service",
                     "processed a configuration update",
                     {{"version", version},
                      {"held", held},
                      {"committed", result == Execution::CommitResult::Committed}});
    co_return outcomeFor(result);
}

auto ControlService::readConfiguration() -> AsyncNet::Task<std::optional<std::string>>
{
    const auto started = m_parts.clock.now();
    std::optional<std::string> document;
    std::string_view refusal = "does not lead";
    // A commit proves that no other leader has accepted a newer configuration.
    if (leads()) {
        const auto confirmed = co_await commitNoOp();
        refusal = refusalFor(confirmed);
        if (confirmed == Execution::CommitResult::Committed)
            document = m_parts.state.read(documentOf);
    }
    logConfigurationRead(document, refusal, started);
    co_return document;
}

auto ControlService::logConfigurationRead(const std::optional<std::string> &document,
                                          std::string_view refusal,
                                          Utils::Instant started) -> void
{
    const auto now = m_parts.clock.now();
    const auto tookMs = (now - started).count();
    const auto status = m_parts.log.status();
    if (document) {
        if (m_readLines.allow(now))
            Utils::Log::info(
                "service",
                "answered a read of the configuration",
                {{"took_ms", tookMs}, {"bytes", document->size()}, {"term", status.term}});
        return;
    }
    if (m_refusedReadLines.allow(now))
        Utils::Log::warning("service",
                            "refused a read of the configuration",
                            {{"reason", refusal},
                             {"took_ms", tookMs},
                             {"term", status.term},
                             {"leads", leads()},
                             {"has_quorum", status.hasQuorum},
                             {"leader", leaderAddress()}});
}

auto ControlService::startWave(Control::Wave wave) -> AsyncNet::Task<Outcome>
{
    if (!leads())
        co_return Outcome::NotLeader;
    Utils::Log::info("service",
                     "received a request for a maintenance wave",
                     {{"wave", wave.number},
                      {"hosts", wave.hosts.size()},
                      {"at_once", wave.maximumAtOnce},
                      {"duration_ms", wave.durationMs}});
    wave.startedMs = m_parts.clock.wallTime();
    Control::Command command;
    command.startWave = std::move(wave);
    co_return outcomeFor(co_await commit(std::move(command)));
}

auto ControlService::isWaveDone(std::int64_t number) -> AsyncNet::Task<std::optional<bool>>
{
    if (!leads())
        co_return std::nullopt;
    co_return m_parts.state.read([number](const Control::State &state) -> std::optional<bool> {
        const auto found = state.waves.find(number);
        return found != state.waves.end() ? std::optional(found->second.isDone()) : std::nullopt;
    });
}

} // namespace Service
