// Compares the entry path of the real binary with a bare forwarder of the HTTP library.
// Usage: bench_entry PATH-TO-TREFOILSHELF. Prints ratios and CSV lines; takes about 30 s.

#include "childprocess.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <iostream>

namespace {

using Clock = std::chrono::steady_clock;
using Utils::Json;

constexpr auto connections = 64;
constexpr auto rounds = 3;
constexpr auto warmUp = std::chrono::milliseconds(500);
constexpr auto roundTime = std::chrono::seconds(2);
constexpr auto statusOk = 200;
constexpr auto requestPath = "/v1/services/dispatch/trip";

/*! \brief Throughput and latency of one load run. */
struct LoadResult
{
    double perSecond = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    std::int64_t failed = 0;
};

enum class Load { Idempotent, Claimed };

auto makeRequest(Load load, const std::string &key) -> httplib::Request
{
    httplib::Request request;
    request.path = requestPath;
    request.method = load == Load::Idempotent ? "GET" : "POST";
    request.set_header("Trefoilshelf-Customer", "bench");
    if (load == Load::Claimed) {
        request.set_header("Idempotency-Key", key);
        request.body = "charge";
    }
    return request;
}

/*! \brief A caller that sends requests one after the other over a persistent connection. */
class Caller
{
public:
    Caller(int port, Load load, std::string name)
        : m_client("127.0.0.1", port)
        , m_load(load)
        , m_name(std::move(name))
    {
        m_client.set_keep_alive(true);
        m_client.set_tcp_nodelay(true);
    }

    auto run(Clock::time_point measureFrom, Clock::time_point until) -> void
    {
        for (std::int64_t number = 0; Clock::now() < until; ++number) {
            const auto start = Clock::now();
            const auto result =
                m_client.send(makeRequest(m_load, m_name + '-' + std::to_string(number)));
            if (start < measureFrom)
                continue;
            if (result && result->status == statusOk)
                m_latencies.push_back(Clock::now() - start);
            else
                addFailure(result);
        }
    }
    auto latencies() const -> const std::vector<Clock::duration> & { return m_latencies; }
    auto failed() const -> std::int64_t { return m_failed; }

private:
    auto addFailure(const httplib::Result &result) -> void
    {
        if (m_failed++ == 0)
            std::cerr << "first failure of a caller: "
                      << (result ? result->body : httplib::to_string(result.error())) << std::endl;
    }

    httplib::Client m_client;
    Load m_load;
    std::string m_name;
    std::vector<Clock::duration> m_latencies;
    std::int64_t m_failed = 0;
};

auto milliseconds(Clock::duration duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

auto runLoad(int port, Load load) -> LoadResult
{
    static std::atomic<int> runs = 0;
    const auto run = std::to_string(++runs);
    std::vector<std::unique_ptr<Caller>> callers;
    for (auto number = 0; number < connections; ++number)
        callers.push_back(std::make_unique<Caller>(port, load, run + '-' + std::to_string(number)));
    const auto measureFrom = Clock::now() + warmUp;
    std::vector<std::jthread> threads;
    for (const auto &caller : callers)
        threads.emplace_back([&] { caller->run(measureFrom, measureFrom + roundTime); });
    threads.clear();
    LoadResult result;
    std::vector<Clock::duration> all;
    for (const auto &caller : callers) {
        all.insert(all.end(), caller->latencies().begin(), caller->latencies().end());
        result.failed += caller->failed();
    }
    if (all.empty())
        return result;
    std::sort(all.begin(), all.end());
    result.perSecond = double(all.size()) / double(roundTime.count());
    result.p50Ms = milliseconds(all[all.size() / 2]);
    result.p99Ms = milliseconds(all[all.size() * 99 / 100]);
    return result;
}

auto median(std::vector<LoadResult> results, double LoadResult::*field) -> double
{
    std::sort(results.begin(), results.end(), [&](const auto &left, const auto &right) {
        return left.*field < right.*field;
    });
    return results[results.size() / 2].*field;
}

auto medianOf(const std::vector<LoadResult> &results) -> LoadResult
{
    LoadResult result{median(results, &LoadResult::perSecond),
                      median(results, &LoadResult::p50Ms),
                      median(results, &LoadResult::p99Ms),
                      0};
    for (const auto &one : results)
        result.failed += one.failed;
    return result;
}

auto print(const std::string &name, const LoadResult &result) -> void
{
    std::cout << name << ": " << result.perSecond << " requests/s, p50 " << result.p50Ms
              << " ms, p99 " << result.p99Ms << " ms, failed " << result.failed << '\n'
              << "csv,bench_entry,throughput," << name << ',' << result.perSecond << ",1/s\n"
              << "csv,bench_entry,p50," << name << ',' << result.p50Ms << ",ms\n"
              << "csv,bench_entry,p99," << name << ',' << result.p99Ms << ",ms\n"
              << "csv,bench_entry,failed," << name << ',' << result.failed << ",requests\n";
}

auto printRatio(const std::string &name, double value) -> void
{
    std::cout << name << ": " << value << '\n'
              << "csv,bench_entry,ratio," << name << ',' << value << ",ratio\n";
}

// Baseline: a forwarder with one thread and one persistent upstream connection per connection.
auto runForwarder(int endpointPort) -> int
{
    httplib::Server server;
    server.new_task_queue = [] { return new httplib::ThreadPool(connections + 8); };
    server.set_keep_alive_max_count(1'000'000);
    server.set_tcp_nodelay(true);
    const auto forward = [endpointPort](const httplib::Request &request,
                                        httplib::Response &response) {
        thread_local std::unique_ptr<httplib::Client> client;
        if (!client) {
            client = std::make_unique<httplib::Client>("127.0.0.1", endpointPort);
            client->set_keep_alive(true);
            client->set_tcp_nodelay(true);
        }
        const auto result = client->Get(request.path);
        constexpr auto badGateway = 502;
        response.status = result ? result->status : badGateway;
        if (result)
            response.set_content(result->body, result->get_header_value("Content-Type"));
    };
    server.Get(".*", forward);
    const auto port = server.bind_to_any_port("127.0.0.1");
    std::cerr << Json{{"listener", "forwarder"}, {"port", port}}.dump() << std::endl;
    return server.listen_after_bind() ? 0 : 1;
}

auto putContract(int operatorsPort) -> bool
{
    const Json contract{
        {"customer", "bench"},
        {"services",
         {{{"service", "dispatch"},
           {"pool", "dispatch"},
           {"guaranteed_slots", connections},
           {"max_slots", 4 * connections}}}},
        {"disruption",
         {{"max_unavailable_hosts", 1}, {"budget_host_s", 1'000'000}, {"window_s", 2'419'200}}}};
    httplib::Client client("127.0.0.1", operatorsPort);
    const auto result =
        client.Put("/v1/contracts/bench?accept_warnings=true", contract.dump(), "application/json");
    return result && result->status == statusOk;
}

auto waitUntilServed(int port) -> bool
{
    constexpr auto limit = std::chrono::seconds(20);
    constexpr auto pollInterval = std::chrono::milliseconds(50);
    const auto deadline = Clock::now() + limit;
    while (Clock::now() < deadline) {
        httplib::Client client("127.0.0.1", port);
        const auto result = client.send(makeRequest(Load::Idempotent, {}));
        if (result && result->status == statusOk)
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

auto endpointArguments(const std::string &binary, const std::string &id, int announcePort)
    -> std::vector<std::string>
{
    return {binary,
            "fake-endpoint",
            "--id",
            id,
            "--host",
            "host-" + id,
            "--slots",
            std::to_string(2 * connections),
            "--announce-to",
            "127.0.0.1:" + std::to_string(announcePort)};
}

auto runComparison(const std::string &self, const std::string &binary) -> int
{
    const BenchmarkFolder folder;
    const ChildProcess entry({binary, "serve", "--settings", folder.writeSettings(connections)},
                             folder.path("entry"));
    const auto callersPort = entry.port("callers");
    const auto idleKilobytes = entry.residentKilobytes();
    if (callersPort == 0 || !putContract(entry.port("operators")))
        return 1;
    const ChildProcess endpoint(endpointArguments(binary, "one", entry.port("endpoints")),
                                folder.path("endpoint"));
    // Nothing listens on port 1: the endpoint behind the forwarder needs no announcements.
    const ChildProcess bareEndpoint(endpointArguments(binary, "two", 1), folder.path("bare"));
    const ChildProcess forwarder(
        {self, "--forwarder", std::to_string(bareEndpoint.port("endpoint"))},
        folder.path("forwarder"));
    const auto forwarderPort = forwarder.port("forwarder");
    if (!waitUntilServed(callersPort) || !waitUntilServed(forwarderPort))
        return 1;
    std::vector<LoadResult> entryResults;
    std::vector<LoadResult> forwarderResults;
    std::vector<LoadResult> claimedResults;
    for (auto round = 0; round < rounds; ++round) {
        entryResults.push_back(runLoad(callersPort, Load::Idempotent));
        forwarderResults.push_back(runLoad(forwarderPort, Load::Idempotent));
        claimedResults.push_back(runLoad(callersPort, Load::Claimed));
    }
    const auto entryResult = medianOf(entryResults);
    const auto forwarderResult = medianOf(forwarderResults);
    const auto claimedResult = medianOf(claimedResults);
    print("entry", entryResult);
    print("forwarder", forwarderResult);
    print("claimed", claimedResult);
    printRatio("entry/forwarder throughput", entryResult.perSecond / forwarderResult.perSecond);
    printRatio("entry/forwarder p50", entryResult.p50Ms / forwarderResult.p50Ms);
    printRatio("entry/forwarder p99", entryResult.p99Ms / forwarderResult.p99Ms);
    printRatio("claimed/idempotent throughput", claimedResult.perSecond / entryResult.perSecond);
    std::cout << "csv,bench_entry,idle_resident,," << idleKilobytes << ",kB\n";
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc == 3 && std::string_view(argv[1]) == "--forwarder")
        return runForwarder(std::stoi(argv[2]));
    if (argc != 2) {
        std::cerr << "usage: bench_entry PATH-TO-TREFOILSHELF\n";
        return 2;
    }
    const auto status = runComparison(argv[0], argv[1]);
    if (status != 0)
        std::cerr << "a process did not start or did not serve requests\n";
    return status;
}
