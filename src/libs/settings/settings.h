#pragma once

#include "utils/fields.h"
#include "utils/log.h"

#include <cstdint>
#include <string>
#include <vector>

/*! Settings of one process: its identity, listen addresses, peers, timing and limits. */
namespace Settings {

/*! \brief Addresses (HOST:PORT) that the process listens on; with port 0, a free port is chosen. */
struct Listen
{
    std::string callers = "127.0.0.1:7400";
    std::string endpoints = "127.0.0.1:7401";
    std::string operators = "127.0.0.1:7402";
    std::string peers = "127.0.0.1:7403";
};

/*! \brief Process of the system, which may be this one; voters store the replicated log. */
struct Peer
{
    std::string id;
    std::string zone;
    std::string address;
    bool voter = false;
};

struct OperatorAccount
{
    std::string name;
    std::string tokenSha256;
};

struct LogSettings
{
    std::string level = "info";
    std::string file;
};

struct Timing
{
    std::int64_t electionTimeoutMs = 600;
    std::int64_t heartbeatMs = 100;
    std::int64_t peerCallTimeoutMs = 500;
    std::int64_t routingLeaseMs = 3000;
    std::int64_t announceIntervalMs = 1000;
    std::int64_t commandTimeoutMs = 5000;
    std::int64_t lameDuckMs = 1000;
    std::int64_t drainDeadlineS = 300;
    std::int64_t soakS = 60;
    std::int64_t claimRetentionS = 86400;
};

struct Limits
{
    std::int64_t callerConnections = 256;
    std::int64_t endpointConnections = 256;
    std::int64_t operatorConnections = 16;
    std::int64_t peerConnections = 64;
    std::int64_t headerBytes = 16 * 1024;
    std::int64_t bodyBytes = 4 * 1024 * 1024;
    std::int64_t heldBytes = 48 * 1024 * 1024; //!< Of all requests of one listener.
    std::int64_t queuedRequests = 1024;
    std::int64_t claims = 1'000'000;
    std::int64_t slowClientTimeoutMs = 5000; //!< Time limit for reading one whole request.
    std::int64_t idleConnectionTimeoutMs =
        30'000; //!< Time limit between two requests of a connection.
};

struct Platform
{
    std::string address;
};

struct Settings
{
    std::string id = "local";
    std::string zone = "z1";
    Listen listen;
    std::vector<Peer> peers;
    std::string dataFolder = "./trefoilshelf-data";
    std::vector<OperatorAccount> operators;
    LogSettings log;
    Timing timing;
    Limits limits;
    Platform platform;

    /*! \brief Returns true if this process is a voter; a process without peers is one. */
    auto isVoter() const -> bool;
};

/*! \brief Returns the settings of a single process without peers that listens on loopback. */
auto defaultSettings() -> Settings;

/*! \brief Returns the JSON path of each key that a settings file may hold. */
auto settingsKeys() -> std::vector<std::string>;

/*! \brief Parses settings text; on failure, reports all errors at once with their JSON paths. */
auto parseSettings(std::string_view text) -> Utils::Result<Settings>;

/*! \brief Reads and parses the settings file at \a path. */
auto loadSettings(const std::string &path) -> Utils::Result<Settings>;

} // namespace Settings
