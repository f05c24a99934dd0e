#include "settings.h"

#include "keycollector.h"
#include "validation.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace Settings {

constexpr Utils::Range millisecondsRange{1, 3'600'000};
constexpr Utils::Range secondsRange{0, 31'536'000};
constexpr Utils::Range connectionsRange{1, 4096};

template <typename Archive>
auto describe(Archive &archive, Listen &listen) -> void
{
    archive.optional("callers", listen.callers);
    archive.optional("endpoints", listen.endpoints);
    archive.optional("operators", listen.operators);
    archive.optional("peers", listen.peers);
}

template <typename Archive>
auto describe(Archive &archive, Peer &peer) -> void
{
    archive.required("id", peer.id);
    archive.required("zone", peer.zone);
    archive.required("address", peer.address);
    archive.optional("voter", peer.voter);
}

template <typename Archive>
auto describe(Archive &archive, OperatorAccount &account) -> void
{
    archive.required("name", account.name);
    archive.required("token_sha256", account.tokenSha256);
}

template <typename Archive>
auto describe(Archive &archive, LogSettings &log) -> void
{
    archive.optional("level", log.level);
    archive.optional("file", log.file);
}

template <typename Archive>
auto describe(Archive &archive, Timing &timing) -> void
{
    archive.optional("election_timeout_ms", timing.electionTimeoutMs, millisecondsRange);
    archive.optional("heartbeat_ms", timing.heartbeatMs, millisecondsRange);
    archive.optional("peer_call_timeout_ms", timing.peerCallTimeoutMs, millisecondsRange);
    archive.optional("routing_lease_ms", timing.routingLeaseMs, millisecondsRange);
    archive.optional("announce_interval_ms", timing.announceIntervalMs, millisecondsRange);
    archive.optional("command_timeout_ms", timing.commandTimeoutMs, millisecondsRange);
    archive.optional("lame_duck_ms", timing.lameDuckMs, Utils::Range{0, 600'000});
    archive.optional("drain_deadline_s", timing.drainDeadlineS, secondsRange);
    archive.optional("soak_s", timing.soakS, secondsRange);
    archive.optional("claim_retention_s", timing.claimRetentionS, secondsRange);
}

template <typename Archive>
auto describe(Archive &archive, Limits &limits) -> void
{
    archive.optional("caller_connections", limits.callerConnections, connectionsRange);
    archive.optional("endpoint_connections", limits.endpointConnections, connectionsRange);
    archive.optional("operator_connections", limits.operatorConnections, connectionsRange);
    archive.optional("peer_connections", limits.peerConnections, connectionsRange);
    archive.optional("header_bytes", limits.headerBytes, Utils::Range{1024, 1'048'576});
    archive.optional("body_bytes", limits.bodyBytes, Utils::Range{1024, 1'073'741'824});
    archive.optional("held_bytes", limits.heldBytes, Utils::Range{65'536, 1'099'511'627'776});
    archive.optional("queued_requests", limits.queuedRequests, Utils::Range{0, 1'000'000});
    archive.optional("claims", limits.claims, Utils::Range{1, 100'000'000});
    archive.optional("slow_client_timeout_ms", limits.slowClientTimeoutMs, millisecondsRange);
    archive.optional(
        "idle_connection_timeout_ms", limits.idleConnectionTimeoutMs, millisecondsRange);
}

template <typename Archive>
auto describe(Archive &archive, Platform &platform) -> void
{
    archive.optional("address", platform.address);
}

template <typename Archive>
auto describe(Archive &archive, Settings &settings) -> void
{
    archive.required("id", settings.id);
    archive.required("zone", settings.zone);
    archive.optional("listen", settings.listen);
    archive.optional("peers", settings.peers);
    archive.optional("data_folder", settings.dataFolder);
    archive.optional("operators", settings.operators);
    archive.optional("log", settings.log);
    archive.optional("timing", settings.timing);
    archive.optional("limits", settings.limits);
    archive.optional("platform", settings.platform);
}

auto Settings::isVoter() const -> bool
{
    if (peers.empty())
        return true;
    return std::ranges::any_of(peers,
                               [this](const Peer &peer) { return peer.id == id && peer.voter; });
}

auto defaultSettings() -> Settings
{
    return {};
}

auto settingsKeys() -> std::vector<std::string>
{
    Settings settings;
    Internal::KeyCollector collector("");
    describe(collector, settings);
    return collector.take();
}

auto parseSettings(std::string_view text) -> Utils::Result<Settings>
{
    BOOST_OUTCOME_TRY(json, Utils::parseJsonText(text, true));
    Settings settings;
    settings.dataFolder.clear();
    std::vector<Utils::FieldError> errors;
    Utils::readValue(json, settings, "", errors);
    if (errors.empty())
        errors = validate(settings);
    if (!errors.empty()) {
        return Utils::failure(Utils::ErrorType::InvalidInput,
                              "the settings have errors",
                              Utils::describeErrors(errors));
    }
    return settings;
}

auto loadSettings(const std::string &path) -> Utils::Result<Settings>
{
    std::ifstream file(path);
    if (!file)
        return Utils::failure(Utils::ErrorType::IoFailure, "cannot read the settings file", path);
    std::ostringstream text;
    text << file.rdbuf();
    return parseSettings(text.str());
}

} // namespace Settings
