#include "cluster.h"

#include "utils/ids.h"

#include <gtest/gtest.h>
#include <httplib.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>

namespace {

constexpr std::chrono::seconds waitLimit{60};
constexpr std::chrono::milliseconds pollInterval{25};
constexpr auto statusOk = 200;
constexpr auto token = "operator-token";

auto addressOf(int port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

auto operatorClient(int port) -> httplib::Client
{
    httplib::Client client("127.0.0.1", port);
    client.set_connection_timeout(std::chrono::seconds(1));
    client.set_read_timeout(std::chrono::seconds(10));
    client.set_bearer_token_auth(token);
    return client;
}

} // namespace

auto waitUntil(const std::function<bool()> &condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + waitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

Cluster::Cluster(const std::string &name)
    : m_folder(std::filesystem::temp_directory_path() / (name + std::to_string(::getpid())))
{
    std::filesystem::create_directories(m_folder);
    for (auto index = 0; index < zones * processesPerZone; ++index) {
        const auto zone = index / processesPerZone;
        const auto place = index % processesPerZone;
        m_processes.push_back({"z" + std::to_string(zone) + "-" + std::to_string(place),
                               zone,
                               place == 0,
                               freePort(),
                               freePort(),
                               freePort(),
                               freePort(),
                               0});
    }
    for (auto zone = 0; zone < zones; ++zone) {
        for (const auto &process : m_processes)
            m_relays.push_back(std::make_unique<Relay>(process.peers));
    }
    for (auto index = 0; index < size(); ++index) {
        writeSettings(m_processes[index]);
        start(index);
    }
}

Cluster::~Cluster()
{
    for (auto index = 0; index < size(); ++index)
        stop(index, SIGKILL);
    if (testing::Test::HasFailure())
        std::cerr << "logs are kept in " << m_folder << '\n';
    else
        std::filesystem::remove_all(m_folder);
}

auto Cluster::settingsPath(const ClusterProcess &process) const -> std::string
{
    return (m_folder / (process.id + ".json")).string();
}

auto Cluster::peerAddress(const ClusterProcess &from, const ClusterProcess &to) const -> std::string
{
    if (from.zone == to.zone)
        return addressOf(to.peers);
    const auto called = int(&to - m_processes.data());
    return addressOf(m_relays[from.zone * size() + called]->port());
}

auto Cluster::writeSettings(const ClusterProcess &process) const -> void
{
    auto peers = Utils::Json::array();
    for (const auto &peer : m_processes) {
        peers.push_back({{"id", peer.id},
                         {"zone", "z" + std::to_string(peer.zone)},
                         {"address", peerAddress(process, peer)},
                         {"voter", peer.voter}});
    }
    Utils::Json settings{
        {"id", process.id},
        {"zone", "z" + std::to_string(process.zone)},
        {"peers", peers},
        {"listen",
         {{"callers", addressOf(process.callers)},
          {"endpoints", addressOf(process.endpoints)},
          {"operators", addressOf(process.operators)},
          {"peers", addressOf(process.peers)}}},
        {"operators", {{{"name", "tester"}, {"token_sha256", Utils::sha256Hex(token)}}}},
        {"log", {{"file", (m_folder / (process.id + ".log")).string()}}},
        {"timing", {{"lame_duck_ms", 100}}}};
    if (process.voter)
        settings["data_folder"] = (m_folder / process.id).string();
    std::ofstream(settingsPath(process)) << settings.dump();
}

auto Cluster::start(int process) -> void
{
    auto &started = m_processes[process];
    std::string binary = TREFOILSHELF_BINARY;
    std::string command = "serve";
    std::string option = "--settings";
    auto path = settingsPath(started);
    char *arguments[] = {binary.data(), command.data(), option.data(), path.data(), nullptr};
    ::posix_spawn(&started.pid, binary.c_str(), nullptr, nullptr, arguments, environ);
}

auto Cluster::stop(int process, int signal) -> int
{
    auto &stopped = m_processes[process];
    if (stopped.pid <= 0)
        return 0;
    ::kill(stopped.pid, signal);
    auto status = 0;
    ::waitpid(stopped.pid, &status, 0);
    stopped.pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

auto Cluster::cutFrom(int zone) -> void
{
    for (auto called = 0; called < size(); ++called)
        m_relays[zone * size() + called]->cut();
}

auto Cluster::cutTo(int zone) -> void
{
    for (auto from = 0; from < zones; ++from) {
        for (const auto &process : m_processes) {
            if (process.zone == zone)
                m_relays[from * size() + int(&process - m_processes.data())]->cut();
        }
    }
}

auto Cluster::heal() -> void
{
    for (const auto &relay : m_relays)
        relay->heal();
}

auto Cluster::read(int process, const std::string &path) const -> Utils::Json
{
    auto client = operatorClient(m_processes[process].operators);
    const auto result = client.Get(path);
    if (!result || result->status != statusOk)
        return nullptr;
    const auto json = Utils::parseJsonText(result->body, false);
    return json ? json.value() : Utils::Json();
}

auto Cluster::leader(int asked) const -> int
{
    const auto status = read(asked, "/v1/status");
    const auto id = status.is_object() ? status.value("leader", "") : "";
    for (auto index = 0; index < size(); ++index) {
        if (m_processes[index].id == id && m_processes[index].pid > 0)
            return index;
    }
    return -1;
}

auto Cluster::leader() const -> int
{
    for (auto index = 0; index < size(); ++index) {
        if (m_processes[index].pid > 0 && leader(index) == index)
            return index;
    }
    return -1;
}

auto Cluster::putContract(int process, int maxSlots) const -> std::int64_t
{
    const Utils::Json contract{
        {"customer", "camara"},
        {"services",
         {{{"service", "dispatch"},
           {"pool", "dispatch"},
           {"guaranteed_slots", 8},
           {"max_slots", maxSlots}}}},
        {"disruption",
         {{"max_unavailable_hosts", 1}, {"budget_host_s", 36'000}, {"window_s", 2'419'200}}}};
    auto client = operatorClient(m_processes[process].operators);
    const auto result = client.Put(
        "/v1/contracts/camara?accept_warnings=true", contract.dump(), "application/json");
    if (!result || result->status != statusOk)
        return 0;
    const auto json = Utils::parseJsonText(result->body, false);
    return json ? json.value().value("revision", std::int64_t{0}) : 0;
}

auto Cluster::contractRevision(int process) const -> std::int64_t
{
    const auto contract = read(process, "/v1/contracts/camara");
    return contract.is_object() ? contract.value("revision", std::int64_t{0}) : -1;
}
