#include "validation.h"

#include "utils/address.h"
#include "utils/log.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <set>

namespace Settings {
namespace {

using Errors = std::vector<Utils::FieldError>;

constexpr std::int64_t heartbeatsPerElectionTimeout = 3;
constexpr std::int64_t announcementsPerLease = 2;
constexpr std::size_t digestDigits = 64;

auto isIpv4Address(const std::string &host) -> bool
{
    in_addr parsed{};
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

auto isLoopback(const std::string &address) -> bool
{
    return address.starts_with("127.");
}

auto itemPath(std::string_view array, std::size_t index, std::string_view key) -> std::string
{
    return std::string(array) + '[' + std::to_string(index) + "]." + std::string(key);
}

auto checkAddress(const std::string &text,
                  const std::string &path,
                  bool allowPortZero,
                  Errors &errors) -> void
{
    const auto address = Utils::parseAddress(text);
    if (!address)
        errors.push_back({path, address.error().message});
    else if (!isIpv4Address(address.value().host))
        errors.push_back({path, "the host must be an IPv4 number"});
    else if (address.value().port == 0 && !allowPortZero)
        errors.push_back({path, "the port must not be 0"});
}

auto checkIdentity(const Settings &settings, Errors &errors) -> void
{
    if (settings.id.empty())
        errors.push_back({"id", "must not be empty"});
    if (settings.zone.empty())
        errors.push_back({"zone", "must not be empty"});
    if (settings.isVoter() && settings.dataFolder.empty())
        errors.push_back({"data_folder", "a voter needs a data folder"});
}

auto checkListen(const Listen &listen, Errors &errors) -> void
{
    struct Entry
    {
        const char *path;
        const std::string &address;
    };
    const std::array entries{Entry{"listen.callers", listen.callers},
                             Entry{"listen.endpoints", listen.endpoints},
                             Entry{"listen.operators", listen.operators},
                             Entry{"listen.peers", listen.peers}};
    std::set<std::string> seen;
    for (const auto &entry : entries) {
        checkAddress(entry.address, entry.path, true, errors);
        if (!entry.address.ends_with(":0") && !seen.insert(entry.address).second)
            errors.push_back({entry.path, "another listener has the same address"});
    }
}

auto checkOwnPeer(const Settings &settings, Errors &errors) -> void
{
    const auto own = std::ranges::find(settings.peers, settings.id, &Peer::id);
    if (own == settings.peers.end()) {
        errors.push_back({"peers", "no peer has this process's id"});
        return;
    }
    if (own->zone != settings.zone) {
        const auto index = std::size_t(own - settings.peers.begin());
        errors.push_back({itemPath("peers", index, "zone"), "differs from this process's zone"});
    }
}

auto checkPeers(const Settings &settings, Errors &errors) -> void
{
    if (settings.peers.empty())
        return;
    std::set<std::string> ids;
    std::set<std::string> addresses;
    for (std::size_t index = 0; index < settings.peers.size(); ++index) {
        const auto &peer = settings.peers[index];
        if (peer.id.empty())
            errors.push_back({itemPath("peers", index, "id"), "must not be empty"});
        if (!ids.insert(peer.id).second)
            errors.push_back({itemPath("peers", index, "id"), "another peer has the same id"});
        if (peer.zone.empty())
            errors.push_back({itemPath("peers", index, "zone"), "must not be empty"});
        checkAddress(peer.address, itemPath("peers", index, "address"), false, errors);
        if (!addresses.insert(peer.address).second)
            errors.push_back(
                {itemPath("peers", index, "address"), "another peer has the same address"});
    }
    checkOwnPeer(settings, errors);
    const auto voters = std::ranges::count(settings.peers, true, &Peer::voter);
    if (voters != 3 && voters != 5)
        errors.push_back({"peers", "3 or 5 peers must be voters"});
}

auto isDigest(std::string_view text) -> bool
{
    const auto isHexDigit = [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    };
    return text.size() == digestDigits && std::ranges::all_of(text, isHexDigit);
}

auto checkOperators(const Settings &settings, Errors &errors) -> void
{
    std::set<std::string> names;
    for (std::size_t index = 0; index < settings.operators.size(); ++index) {
        const auto &account = settings.operators[index];
        if (account.name.empty())
            errors.push_back({itemPath("operators", index, "name"), "must not be empty"});
        if (!names.insert(account.name).second)
            errors.push_back(
                {itemPath("operators", index, "name"), "another operator has the same name"});
        if (!isDigest(account.tokenSha256)) {
            errors.push_back({itemPath("operators", index, "token_sha256"),
                              "must be 64 lower-case hexadecimal digits"});
        }
    }
    if (settings.operators.empty() && !isLoopback(settings.listen.operators)) {
        errors.push_back(
            {"operators", "a listener for operators outside loopback needs operators with tokens"});
    }
}

auto checkLog(const LogSettings &log, Errors &errors) -> void
{
    if (!Utils::Log::levelFromName(log.level))
        errors.push_back({"log.level", "must be one of debug, info, warning, error"});
}

auto checkTiming(const Timing &timing, Errors &errors) -> void
{
    if (timing.heartbeatMs * heartbeatsPerElectionTimeout > timing.electionTimeoutMs) {
        errors.push_back(
            {"timing.heartbeat_ms", "must be at most a third of timing.election_timeout_ms"});
    }
    if (timing.announceIntervalMs * announcementsPerLease > timing.routingLeaseMs) {
        errors.push_back(
            {"timing.announce_interval_ms", "must be at most half of timing.routing_lease_ms"});
    }
}

} // namespace

auto validate(const Settings &settings) -> Errors
{
    Errors errors;
    checkIdentity(settings, errors);
    checkListen(settings.listen, errors);
    checkPeers(settings, errors);
    checkOperators(settings, errors);
    checkLog(settings.log, errors);
    checkTiming(settings.timing, errors);
    if (!settings.platform.address.empty())
        checkAddress(settings.platform.address, "platform.address", false, errors);
    return errors;
}

} // namespace Settings
