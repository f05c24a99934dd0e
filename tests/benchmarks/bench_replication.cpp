// Measures, with 9 processes, the time from a put until all processes have applied it, fail-over
// times, and messages and bytes per second.

#include "replication/observerlog.h"
#include "replication/replicalog.h"
#include "utils/stopsignal.h"
#include "utils/taskarena.h"
#include "wire/peerserver.h"

#include <thrift/transport/TSocket.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <map>

namespace {

using namespace Replication;
using SteadyClock = std::chrono::steady_clock;

constexpr int voters = 3;
constexpr int processes = 9;
constexpr int threadLimit = 512;
constexpr int puts = 200;
constexpr int failOvers = 5;
constexpr auto trafficTime = std::chrono::seconds(3);
constexpr Utils::Milliseconds submitTimeout{5000};

constexpr int noProcess = -1;

auto nameOf(int number) -> std::string
{
    return std::string(1, 'p').append(std::to_string(number));
}

auto zoneOf(int number) -> std::string
{
    return std::string(1, 'z').append(std::to_string(number % 3));
}

// State shared by the client sockets of all processes: traffic counters, and the number of the
// process that is cut off.
struct Network
{
    std::atomic<int> cutOff = noProcess;
    std::atomic<std::uint64_t> bytes = 0;
    std::atomic<std::uint64_t> messages = 0;
};

// Client socket that counts its traffic. Each write sends one whole frame.
class CountingSocket final : public apache::thrift::transport::TSocket
{
public:
    CountingSocket(Network &network, int self, int peer, const Utils::Address &address)
        : TSocket(address.host, address.port)
        , m_network(network)
        , m_self(self)
        , m_peer(peer)
    {}
    auto open() -> void override
    {
        checkLink();
        TSocket::open();
    }
    auto read(std::uint8_t *buffer, std::uint32_t length) -> std::uint32_t override
    {
        checkLink();
        const auto received = TSocket::read(buffer, length);
        m_network.bytes += received;
        return received;
    }
    auto write(const std::uint8_t *buffer, std::uint32_t length) -> void override
    {
        checkLink();
        TSocket::write(buffer, length);
        m_network.bytes += length;
        m_network.messages += 2; // One for the request and one for its reply.
    }

private:
    auto checkLink() const -> void
    {
        using apache::thrift::transport::TTransportException;
        const auto cutOff = m_network.cutOff.load();
        if (cutOff != noProcess && (cutOff == m_self || cutOff == m_peer))
            throw TTransportException(TTransportException::TIMED_OUT, "the link is cut");
    }

    Network &m_network;
    int m_self;
    int m_peer;
};

class CountingSockets final : public Wire::SocketFactory
{
public:
    CountingSockets(Network &network, int self)
        : m_network(network)
        , m_self(self)
    {}
    auto make(const std::string &peerId, const Utils::Address &address)
        -> std::shared_ptr<apache::thrift::transport::TSocket> override
    {
        return std::make_shared<CountingSocket>(
            m_network, m_self, std::stoi(peerId.substr(1)), address);
    }

private:
    Network &m_network;
    int m_self;
};

class CountingMachine final : public StateMachine
{
public:
    auto apply(const Entry &entry) -> std::string override
    {
        revision = entry.revision;
        return {};
    }
    auto snapshot() const -> std::string override { return {}; }
    auto restore(std::string_view, Revision restored) -> Utils::Result<void> override
    {
        revision = restored;
        return Utils::success();
    }
    std::atomic<Revision> revision = 0;
};

struct Process
{
    std::unique_ptr<CountingSockets> sockets;
    CountingMachine machine;
    std::unique_ptr<Wire::PeerServer> server;
    std::unique_ptr<ReplicatedLog> log;
};

class Cluster
{
public:
    Cluster()
    {
        std::string pattern = "bench_replication.XXXXXX";
        m_folder = std::filesystem::absolute(::mkdtemp(pattern.data()));
        for (auto number = 0; number < processes; ++number) {
            Wire::PeerServer server({"127.0.0.1:0", 1});
            if (!server.start())
                std::abort();
            m_addresses.push_back("127.0.0.1:" + std::to_string(server.port()));
        }
        for (auto number = 0; number < processes; ++number)
            start(number);
    }
    ~Cluster()
    {
        for (auto number = processes - 1; number >= 0; --number)
            stop(number);
        std::filesystem::remove_all(m_folder);
    }
    Cluster(const Cluster &) = delete;
    auto operator=(const Cluster &) -> Cluster & = delete;

    auto start(int number) -> void
    {
        auto &process = m_processes[number];
        process.machine.revision = 0;
        ReplicaOptions options;
        options.processId = nameOf(number);
        options.zone = zoneOf(number);
        options.dataFolder = m_folder + '/' + options.processId;
        options.seed = std::uint64_t(number);
        process.sockets = std::make_unique<CountingSockets>(network, number);
        options.sockets = process.sockets.get();
        for (auto voter = 0; voter < voters; ++voter) {
            options.voters.push_back(
                {nameOf(voter), zoneOf(voter), m_addresses[std::size_t(voter)]});
        }
        process.server = std::make_unique<Wire::PeerServer>(
            Wire::PeerServerOptions{m_addresses[std::size_t(number)], 48});
        if (number < voters)
            serve<ReplicaLog>(process, options);
        else
            serve<ObserverLog>(process, options);
    }
    auto stop(int number) -> void
    {
        auto &process = m_processes[number];
        if (!process.log)
            return;
        process.log->stop();
        process.server->stop();
        process.log.reset();
    }
    auto leader() -> int
    {
        for (;;) {
            for (auto number = 0; number < voters; ++number) {
                const auto &log = m_processes[number].log;
                if (log && log->status().role == Role::Leader && log->status().ready)
                    return number;
            }
            m_pauseSignal.waitFor(Utils::Milliseconds(1));
        }
    }
    auto put(int number) -> Revision
    {
        for (;;) {
            if (const auto reply = m_processes[number].log->submit("change", submitTimeout))
                return reply.value().revision;
        }
    }
    auto waitForAll(Revision revision) -> void
    {
        for (auto &[number, process] : m_processes) {
            while (process.log && process.machine.revision < revision)
                std::this_thread::yield();
        }
    }
    auto pause(std::chrono::milliseconds time) -> void { m_pauseSignal.waitFor(time); }

    Network network;

private:
    template <typename Log>
    auto serve(Process &process, const ReplicaOptions &options) -> void
    {
        auto log = std::make_unique<Log>(options, process.machine, m_clock);
        process.server->addService(serviceName, log->processor());
        process.log = std::move(log);
        if (!process.server->start() || !process.log->start())
            std::abort();
    }

    Utils::SystemClock m_clock;
    Utils::StopSignal m_pauseSignal;
    std::string m_folder;
    std::vector<std::string> m_addresses;
    std::map<int, Process> m_processes;
};

auto printTimes(const char *name, std::vector<double> milliseconds) -> void
{
    std::ranges::sort(milliseconds);
    const auto count = milliseconds.size();
    std::printf("%s,%zu,%.2f,%.2f,%.2f\n",
                name,
                count,
                milliseconds[count / 2],
                milliseconds[std::min(count - 1, count * 99 / 100)],
                milliseconds.back());
}

auto millisecondsSince(SteadyClock::time_point start) -> double
{
    return std::chrono::duration<double, std::milli>(SteadyClock::now() - start).count();
}

auto measurePuts(Cluster &cluster) -> void
{
    std::vector<double> times;
    for (auto number = 0; number < puts; ++number) {
        const auto start = SteadyClock::now();
        cluster.waitForAll(cluster.put(number % processes));
        times.push_back(millisecondsSince(start));
    }
    printTimes("put_to_applied_on_9_ms", std::move(times));
}

auto measureTraffic(Cluster &cluster, int changesPerSecond) -> void
{
    auto &traffic = cluster.network;
    const auto bytes = traffic.bytes.load();
    const auto messages = traffic.messages.load();
    const auto start = SteadyClock::now();
    auto changes = 0;
    while (SteadyClock::now() - start < trafficTime) {
        if (changesPerSecond == 0) {
            cluster.pause(std::chrono::milliseconds(100));
            continue;
        }
        cluster.put(changes++ % processes);
        cluster.pause(std::chrono::milliseconds(1000 / changesPerSecond));
    }
    const auto seconds = millisecondsSince(start) / 1000;
    std::printf("%.1f,%.0f,%.1f\n",
                changes / seconds,
                double(traffic.bytes - bytes) / seconds / processes,
                double(traffic.messages - messages) / seconds / processes);
}

auto measureFailOvers(Cluster &cluster) -> void
{
    std::vector<double> times;
    for (auto round = 0; round < failOvers; ++round) {
        const auto leader = cluster.leader();
        const auto start = SteadyClock::now();
        cluster.stop(leader);
        cluster.put(processes - 1);
        times.push_back(millisecondsSince(start));
        cluster.start(leader);
        cluster.waitForAll(cluster.put(processes - 1));
    }
    printTimes("planned_stop_to_next_commit_ms", std::move(times));
}

auto measureCuts(Cluster &cluster) -> void
{
    std::vector<double> times;
    for (auto round = 0; round < failOvers; ++round) {
        const auto start = SteadyClock::now();
        cluster.network.cutOff = cluster.leader();
        cluster.put(processes - 1);
        times.push_back(millisecondsSince(start));
        cluster.network.cutOff = noProcess;
        cluster.waitForAll(cluster.put(processes - 1));
    }
    printTimes("leader_cut_off_to_next_commit_ms", std::move(times));
}

} // namespace

auto main() -> int
{
    const Utils::ThreadLimit threads(threadLimit);
    Cluster cluster;
    cluster.leader();
    cluster.waitForAll(cluster.put(processes - 1));
    std::printf("measure,count,p50,p99,max\n");
    measurePuts(cluster);
    measureFailOvers(cluster);
    measureCuts(cluster);
    std::printf("changes_per_s,bytes_per_s_per_process,messages_per_s_per_process\n");
    for (const auto rate : {0, 5, 20, 50})
        measureTraffic(cluster, rate);
    return 0;
}
