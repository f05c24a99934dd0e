// Measures the CPU time, traffic and memory that one process of the real binary needs for
// announcements.
// Usage: bench_capacity PATH-TO-TREFOILSHELF. Prints CSV lines; takes about 30 s.

#include "childprocess.h"

#include <httplib.h>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <iostream>

namespace {

using Utils::Json;

constexpr auto idleTime = std::chrono::seconds(5);

/*! \brief One process of the product. */
class Process : public ChildProcess
{
public:
    Process(const std::string &binary, const BenchmarkFolder &folder, int endpointConnections)
        : ChildProcess({binary, "serve", "--settings", folder.writeSettings(endpointConnections)},
                       folder.path("log"))
    {}
};

/*! \brief A worker with a persistent connection to the listener for endpoints. */
class Worker
{
public:
    Worker(int number, int port, std::int64_t sequence = 0)
        : m_number(number)
        , m_sequence(sequence)
        , m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(std::uint16_t(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0)
            std::perror("connect");
    }
    ~Worker() { ::close(m_socket); }
    Worker(const Worker &) = delete;
    auto operator=(const Worker &) -> Worker & = delete;

    /*! \brief Sends one announcement and returns the bytes sent and received; 0 if it failed. */
    auto announce() -> std::size_t
    {
        const auto name = std::to_string(m_number);
        const Json body{{"service", "dispatch"},
                        {"address", "127.0.0.1:9"},
                        {"host", "host-" + name},
                        {"rack", "rack-" + std::to_string(m_number / hostsPerRack)},
                        {"zone", "z1"},
                        {"slots", 8},
                        {"connections", 64},
                        {"incarnation", 1},
                        {"sequence", ++m_sequence},
                        {"state", "serving"},
                        {"in_flight", 0}};
        const auto text = body.dump();
        const auto request =
            "POST /v1/endpoints/endpoint-" + name
            + "/announce HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(text.size()) + "\r\n\r\n" + text;
        if (::send(m_socket, request.data(), request.size(), MSG_NOSIGNAL)
            != ssize_t(request.size())) {
            return 0;
        }
        const auto answer = readResponse();
        return answer.starts_with("HTTP/1.1 200") ? request.size() + answer.size() : 0;
    }

private:
    static constexpr auto hostsPerRack = 4;

    auto readResponse() const -> std::string
    {
        std::string answer;
        std::array<char, 4096> buffer{};
        while (!isComplete(answer)) {
            const auto count = ::recv(m_socket, buffer.data(), buffer.size(), 0);
            if (count <= 0)
                return {};
            answer.append(buffer.data(), std::size_t(count));
        }
        return answer;
    }
    static auto isComplete(const std::string &answer) -> bool
    {
        constexpr std::string_view lengthHeader = "Content-Length: ";
        const auto end = answer.find("\r\n\r\n");
        const auto length = answer.find(lengthHeader);
        if (end == std::string::npos || length == std::string::npos)
            return false;
        const auto body = std::stoul(answer.substr(length + lengthHeader.size()));
        return answer.size() >= end + 4 + body;
    }

    int m_number;
    std::int64_t m_sequence;
    int m_socket;
};

auto print(const std::string &quantity, int parameter, double value, const std::string &unit)
    -> void
{
    std::cout << "csv,bench_capacity," << quantity << ',' << parameter << ',' << value << ','
              << unit << std::endl;
}

auto putContract(int operatorsPort) -> bool
{
    const Json contract{{"customer", "bench"},
                        {"services",
                         {{{"service", "dispatch"},
                           {"pool", "dispatch"},
                           {"guaranteed_slots", 1},
                           {"max_slots", 64}}}},
                        {"disruption",
                         {{"max_unavailable_hosts", 100},
                          {"budget_host_s", 100'000'000},
                          {"window_s", 2'419'200}}}};
    httplib::Client client("127.0.0.1", operatorsPort);
    const auto result =
        client.Put("/v1/contracts/bench?accept_warnings=true", contract.dump(), "application/json");
    constexpr auto statusOk = 200;
    return result && result->status == statusOk;
}

auto cpuPercent(const Process &process, std::chrono::seconds duration) -> double
{
    const auto before = process.cpuSeconds();
    std::this_thread::sleep_for(duration);
    return (process.cpuSeconds() - before) / double(duration.count()) * 100;
}

auto measureWorkers(const Process &process, int port, int workers) -> bool
{
    constexpr auto rounds = 10;
    const auto residentBefore = process.residentKilobytes();
    std::vector<std::unique_ptr<Worker>> connections;
    std::size_t bytes = 0;
    for (auto number = 0; number < workers; ++number) {
        auto &worker = *connections.emplace_back(std::make_unique<Worker>(number, port));
        if (worker.announce() == 0)
            return false;
    }
    const auto cpuBefore = process.cpuSeconds();
    for (auto round = 0; round < rounds; ++round) {
        for (const auto &worker : connections)
            bytes += worker->announce();
    }
    const auto announcements = double(rounds * workers);
    print("announcement_cpu",
          workers,
          (process.cpuSeconds() - cpuBefore) / announcements * 1e6,
          "us");
    print("announcement_bytes", workers, double(bytes) / announcements, "B");
    print("resident_per_worker",
          workers,
          (process.residentKilobytes() - residentBefore) / workers,
          "kB");
    print("resident", workers, process.residentKilobytes(), "kB");
    print("idle_kept_connections_cpu", workers, cpuPercent(process, idleTime), "percent");
    return true;
}

// Measures announcements that each open a new connection.
auto measureFreshConnections(const Process &process, int port, int workers) -> bool
{
    constexpr auto rounds = 5;
    for (auto number = 0; number < workers; ++number) {
        if (Worker(number, port).announce() == 0)
            return false;
    }
    const auto cpuBefore = process.cpuSeconds();
    for (auto round = 1; round <= rounds; ++round) {
        for (auto number = 0; number < workers; ++number) {
            if (Worker(number, port, round).announce() == 0)
                return false;
        }
    }
    const auto announcements = double(rounds * workers);
    print("fresh_announcement_cpu",
          workers,
          (process.cpuSeconds() - cpuBefore) / announcements * 1e6,
          "us");
    print("fresh_resident", workers, process.residentKilobytes(), "kB");
    return true;
}

using Measurement = auto(*)(const Process &, int, int) -> bool;

auto runMeasurement(const std::string &binary, int connections, int workers, Measurement measure)
    -> bool
{
    const BenchmarkFolder folder;
    const Process process(binary, folder, connections);
    const auto operatorsPort = process.port("operators");
    const auto endpointsPort = process.port("endpoints");
    if (operatorsPort == 0 || endpointsPort == 0 || !putContract(operatorsPort)) {
        std::cerr << "the process did not start or did not accept the contract\n";
        return false;
    }
    print("idle_cpu", 0, cpuPercent(process, std::chrono::seconds(2)), "percent");
    print("idle_resident", 0, process.residentKilobytes(), "kB");
    if (measure(process, endpointsPort, workers))
        return true;
    std::cerr << "an announcement failed\n";
    return false;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc != 2) {
        std::cerr << "usage: bench_capacity PATH-TO-TREFOILSHELF\n";
        return 2;
    }
    constexpr auto keptSlots = 1024;
    constexpr auto freshSlots = 64;
    constexpr auto workersOfOneProcess = 700;
    for (const auto workers : {100, 400, workersOfOneProcess}) {
        if (!runMeasurement(argv[1], keptSlots, workers, &measureWorkers))
            return 1;
    }
    for (const auto workers : {workersOfOneProcess, 4 * workersOfOneProcess}) {
        if (!runMeasurement(argv[1], freshSlots, workers, &measureFreshConnections))
            return 1;
    }
    return 0;
}
