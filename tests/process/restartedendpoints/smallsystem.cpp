#include "smallsystem.h"

#include <gtest/gtest.h>
#include <unistd.h>

namespace {

using AsyncNet::Task;
using Utils::Milliseconds;

constexpr int controlCount = 3;
constexpr int networkCount = 250; // Tests that run at the same time use different networks.
constexpr int firstLinkPort = 7400;
constexpr int servicePort = 7500;
constexpr int secondPort = 7501;
constexpr Milliseconds callTimeout{1500};
constexpr Milliseconds retryPause{100};
constexpr std::int64_t repeatMs = 20'000;
constexpr std::size_t connections = 128;

constexpr auto configuration = R"({"version": 1, "limits": {},
    "routes": [{"name": "r", "host": "restarts.example", "path_prefix": "/jobs/", "timeout_ms": 3000,
        "slo_ms": 600, "service": "work", "max_attempts": 4, "stretch": 1.6}],
    "services": [{"name": "work", "rejects_overload": true, "spare": false}]})";

} // namespace

SmallSystem::SmallSystem(Soak::SoakContext &context)
    : m_context(context)
    , m_hosts(context.loop, "hosts", [](const AsyncNet::HttpRequest &) { return serveHosts(); })
    , m_client(
          context.loop, 64, std::make_shared<AsyncNet::ConnectionPool>(context.loop, connections))
    , m_network("127." + std::to_string(1 + ::getpid() % networkCount) + '.'
                + std::to_string(::getpid() / networkCount % networkCount) + '.')
    , m_folder(std::filesystem::path(testing::TempDir())
               / ("trefoilshelf-restarts-" + std::to_string(::getpid())))
{}

SmallSystem::~SmallSystem()
{
    for (const auto &process : m_processes)
        process->kill();
    if (!testing::Test::HasFailure())
        std::filesystem::remove_all(m_folder);
}

auto SmallSystem::start() -> void
{
    ASSERT_TRUE(m_hosts.start("127.0.0.1:0"));
    std::filesystem::remove_all(m_folder);
    for (int index = 0; index < controlCount; ++index)
        add("control", index);
    add("entry", 0);
    for (const auto &process : m_processes)
        process->start();
}

auto SmallSystem::add(const std::string &role, int index) -> void
{
    const auto ip = m_network + std::to_string(m_processes.size() + 1);
    const auto service = ':' + std::to_string(servicePort);
    const auto second = ip + ':' + std::to_string(secondPort);
    const auto isControl = role == "control";
    auto seeds = Utils::Json::array();
    for (int seed = 1; seed <= controlCount; ++seed)
        seeds.push_back(m_network + std::to_string(seed) + service);
    const Utils::Json listen{{isControl ? "control" : "callers", ip + service},
                             {isControl ? "metrics" : "readiness", second}};
    const Utils::Json settings{{"id", role + '-' + std::to_string(index)},
                               {"zone", "z" + std::to_string(index + 1)},
                               {"ip", ip},
                               {"listen_ip", ip},
                               {"seeds", seeds},
                               {"first_start", true},
                               {"first_link_port", firstLinkPort},
                               {"listen", listen},
                               {"tolerated_losses", 1},
                               {"hosts_address", "127.0.0.1:" + std::to_string(m_hosts.port())}};
    m_processes.push_back(std::make_unique<Soak::SystemProcess>(
        role, settings, m_folder / settings["id"].get<std::string>()));
    (isControl ? m_controls : m_entries).push_back(ip + service);
}

auto SmallSystem::serveHosts() -> Task<AsyncNet::HttpResponse>
{
    auto hosts = Utils::Json::array();
    for (int number = 0; number < endpoints; ++number) {
        const auto digits = std::to_string(number);
        hosts.push_back({{"machine", "host-" + digits},
                         {"pool", "work"},
                         {"state", "up"},
                         {"id", "i-" + digits}});
    }
    AsyncNet::HttpResponse response;
    response.body = Utils::Json{{"machines", hosts}, {"next_token", ""}}.dump();
    co_return response;
}

auto SmallSystem::call(std::string address,
                       std::string method,
                       std::string target,
                       std::string body) -> Task<int>
{
    AsyncNet::HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.host = "restarts.example";
    request.body = std::move(body);
    const auto answer =
        co_await m_client.call(std::move(address), std::move(request), callTimeout, false);
    co_return answer ? answer.value().status : 0;
}

auto SmallSystem::repeat(std::vector<std::string> addresses,
                         std::string method,
                         std::string target,
                         std::string body) -> Task<bool>
{
    const auto endMs = m_context.nowMs() + repeatMs;
    for (std::size_t index = 0; m_context.nowMs() < endMs; ++index) {
        const auto status =
            co_await call(addresses[index % addresses.size()], method, target, body);
        if (status == 200)
            co_return true;
        co_await AsyncNet::pause(retryPause);
    }
    co_return false;
}

auto SmallSystem::configure() -> Task<bool>
{
    co_return co_await repeat(m_controls, "PUT", "/trefoilshelf/config", configuration);
}

auto SmallSystem::submit(std::string id, Utils::Json job) -> Task<bool>
{
    auto body = job.dump();
    co_return co_await repeat(m_entries, "POST", "/jobs/" + id, std::move(body));
}

// The leader alone answers reads of the configuration; others redirect them.
auto SmallSystem::killLeader(Milliseconds pause) -> Task<void>
{
    for (std::size_t index = 0; index < m_controls.size(); ++index) {
        const auto status =
            co_await call(m_controls[index], "GET", "/trefoilshelf/config", std::string());
        if (status != 200)
            continue;
        m_processes[index]->kill();
        m_context.trace("kills the leader " + m_processes[index]->id());
        co_await AsyncNet::pause(pause);
        m_processes[index]->start();
        co_return;
    }
}
