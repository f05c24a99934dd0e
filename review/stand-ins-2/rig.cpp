#include "rig.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <csignal>
#include <fcntl.h>
#include <iostream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Rig {
namespace {

constexpr std::int64_t longestHoldMs = 6000; // max_hold_ms
constexpr std::int64_t stopMs = 400;         // stop_ms
constexpr std::int64_t upkeepMs = 2000;      // upkeep_s
constexpr Milliseconds heartbeat{1500};      // heartbeat_ms
constexpr Milliseconds clientPatience{3000}; // Deadline-Ms of the small sites
constexpr int firstLinkPort = 7060;
constexpr int servicePort = 8620;
constexpr std::size_t relayBytes = 16 * 1024;
constexpr std::array<const char *, 3> zones{"hobart-a", "hobart-b", "kingston"};

auto ignoring(boost::system::error_code &error)
{
    return asio::redirect_error(AsyncNet::useAwaitable, error);
}

auto reply(int status, const Json &body) -> AsyncNet::HttpResponse
{
    AsyncNet::HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
}

// A channel on which nothing is answered any more.
auto silence() -> Task<void>
{
    for (;;)
        co_await AsyncNet::pause(Milliseconds(1000));
}

auto connections(asio::io_context &loop)
{
    return std::make_shared<AsyncNet::ConnectionPool>(loop, 64);
}

} // namespace

auto Context::nowMs() const -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - began)
        .count();
}

auto Context::record(const std::string &line) -> void
{
    recordFile << nowMs() << " ms  " << line << std::endl;
}

// --- Relay

Relay::Relay(Context &context, std::string address, std::string target)
    : m_context(context)
    , m_address(std::move(address))
    , m_target(std::move(target))
    , m_acceptor(context.loop)
{}

auto Relay::start() -> bool
{
    if (!AsyncNet::listenOn(m_acceptor, m_address))
        return false;
    AsyncNet::start(m_context.loop, "relay", accept(), shared_from_this());
    return true;
}

auto Relay::silenceOpenChannels() -> int
{
    auto count = 0;
    for (const auto &pair : m_pairs) {
        if (pair->silent || pair->openEnds < 2)
            continue;
        pair->silent = true;
        ++count;
    }
    return count;
}

auto Relay::port() const -> int
{
    boost::system::error_code error;
    return m_acceptor.local_endpoint(error).port();
}

auto Relay::reset(Pair &pair) -> void
{
    boost::system::error_code error;
    for (auto *socket : {&pair.caller, &pair.target}) {
        socket->set_option(AsyncNet::TcpSocket::linger(true, 0), error);
        socket->close(error);
    }
}

auto Relay::resetOpenChannels() -> void
{
    for (const auto &pair : m_pairs)
        reset(*pair);
    m_pairs.clear();
}

auto Relay::holdRequest(std::function<bool(const std::string &)> chosen) -> void
{
    m_chosen = std::move(chosen);
}

auto Relay::keepUnanswered(std::function<bool(const std::string &)> chosen) -> void
{
    m_unanswered = std::move(chosen);
}

auto Relay::deliver(std::string request) -> Task<void>
{
    const auto self = shared_from_this();
    AsyncNet::TcpSocket socket(m_context.loop);
    boost::system::error_code error;
    co_await socket.async_connect(AsyncNet::parseTcpAddress(m_target).value(), ignoring(error));
    if (error)
        co_return;
    co_await asio::async_write(socket, asio::buffer(request), ignoring(error));
    std::array<char, relayBytes> buffer{};
    const auto count = co_await socket.async_read_some(asio::buffer(buffer), ignoring(error));
    const std::string response(buffer.data(), count);
    m_context.record("the late order is carried out: " + response.substr(0, response.find('\r')));
}

auto Relay::accept() -> Task<void>
{
    for (;;) {
        boost::system::error_code error;
        auto socket = co_await m_acceptor.async_accept(ignoring(error));
        if (error)
            co_return;
        auto pair = std::make_shared<Pair>(std::move(socket), m_context.loop);
        m_pairs.push_back(pair);
        AsyncNet::start(m_context.loop, "relay channel", serve(pair), shared_from_this());
    }
}

auto Relay::serve(std::shared_ptr<Pair> pair) -> Task<void>
{
    boost::system::error_code error;
    co_await pair->target.async_connect(AsyncNet::parseTcpAddress(m_target).value(),
                                        ignoring(error));
    if (error) {
        // A port without a listener resets the channel.
        pair->openEnds = 0;
        pair->caller.set_option(AsyncNet::TcpSocket::linger(true, 0), error);
        pair->caller.close(error);
        co_return;
    }
    pair->caller.set_option(asio::ip::tcp::no_delay(true), error);
    pair->target.set_option(asio::ip::tcp::no_delay(true), error);
    AsyncNet::start(m_context.loop, "relay answers", pump(pair, false), shared_from_this());
    co_await pump(pair, true);
}

// Forwards bytes and the end of the stream. A silent channel forwards neither.
auto Relay::pump(std::shared_ptr<Pair> pair, bool requests) -> Task<void>
{
    auto &from = requests ? pair->caller : pair->target;
    auto &to = requests ? pair->target : pair->caller;
    std::array<char, relayBytes> buffer{};
    boost::system::error_code error;
    for (;;) {
        const auto count =
            co_await from.async_read_some(asio::buffer(buffer), ignoring(error));
        if (error)
            break;
        const std::string bytes(buffer.data(), count);
        if (requests && pair->requests++ > 0 && m_chosen && m_held.empty() && m_chosen(bytes)) {
            m_held = bytes;
            reset(*pair);
            break;
        }
        if (requests && m_unanswered && m_unanswered(bytes)) {
            m_kept.push_back(bytes);
            pair->silent = true;
        }
        if (!pair->silent)
            co_await asio::async_write(to, asio::buffer(buffer, count), ignoring(error));
        if (error)
            break;
    }
    --pair->openEnds;
    if (!pair->silent)
        to.shutdown(AsyncNet::TcpSocket::shutdown_send, error);
}

// --- Process

Process::Process(Context &context, std::string role, Json settings, std::filesystem::path folder)
    : m_context(context)
    , m_role(std::move(role))
    , m_settings(std::move(settings))
    , m_folder(std::move(folder))
{
    std::filesystem::create_directories(m_folder);
    if (m_role == "control")
        m_settings["data_folder"] = (m_folder / "data").string();
}

Process::~Process()
{
    kill();
}

auto Process::start() -> void
{
    const auto settings = (m_folder / "settings.json").string();
    std::ofstream(settings) << m_settings.dump();
    m_settings["first_start"] = false;
    const auto log = (m_folder / "log").string();
    m_context.record("starts " + id());
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with this program.
    const auto output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::setenv("TREFOILSHELF_CONFIG", settings.c_str(), 1);
    // The words of "run" in the deploy file.
    ::execl("target/src/app/trefoilshelf", "target/src/app/trefoilshelf", m_role.c_str(), nullptr);
    ::_exit(127);
}

auto Process::signal(int number) -> void
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

auto Process::kill() -> void
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    auto status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = 0;
}

// --- OrderListener

OrderListener::OrderListener(Context &context, Handler handler)
    : m_context(context)
    , m_handler(std::move(handler))
    , m_acceptor(context.loop)
{}

auto OrderListener::start() -> bool
{
    if (!AsyncNet::listenOn(m_acceptor, "127.0.0.1:0"))
        return false;
    AsyncNet::start(m_context.loop, "orders", accept(), shared_from_this());
    return true;
}

auto OrderListener::stop() -> void
{
    boost::system::error_code error;
    m_stopped = true;
    m_acceptor.close(error);
    for (const auto &socket : m_sockets) {
        socket->set_option(AsyncNet::TcpSocket::linger(true, 0), error);
        socket->close(error);
    }
    m_sockets.clear();
}

auto OrderListener::port() const -> int
{
    boost::system::error_code error;
    return m_acceptor.local_endpoint(error).port();
}

auto OrderListener::accept() -> Task<void>
{
    for (;;) {
        boost::system::error_code error;
        auto accepted = co_await m_acceptor.async_accept(ignoring(error));
        if (error || m_stopped)
            co_return;
        accepted.set_option(asio::ip::tcp::no_delay(true), error);
        m_sockets.push_back(std::make_shared<AsyncNet::TcpSocket>(std::move(accepted)));
        AsyncNet::start(m_context.loop, "order channel", serve(m_sockets.back()), shared_from_this());
    }
}

auto OrderListener::serve(Socket socket) -> Task<void>
{
    namespace http = boost::beast::http;
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (!m_stopped) {
        http::request<http::string_body> request;
        co_await http::async_read(*socket, buffer, request, ignoring(error));
        if (error)
            break;
        const auto text = [](boost::beast::string_view view) {
            return std::string(view.data(), view.size());
        };
        Order order{text(request.target()), text(request["Expect-Instance"]), request.body()};
        const auto answer = co_await m_handler(std::move(order));
        http::response<http::string_body> response(http::status(answer.status), 11);
        response.set(http::field::content_type, "application/json");
        response.body() = answer.body;
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        co_await http::async_write(*socket, response, ignoring(error));
        if (error || !request.keep_alive())
            break;
    }
    socket->close(error);
}

// --- Worker

Worker::Worker(Context &context, Options options, std::function<RunPlan(const std::string &)> plan)
    : m_context(context)
    , m_options(std::move(options))
    , m_plan(std::move(plan))
    , m_listener(std::make_shared<OrderListener>(
          context, [this](Order order) { return handle(std::move(order)); }))
    , m_client(context.loop, 1, connections(context.loop))
    , m_ended(context.loop)
    , m_bornMs(std::chrono::duration_cast<Milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count())
    , m_startedMs(context.nowMs())
{}

auto Worker::start() -> bool
{
    if (!m_listener->start())
        return false;
    m_address = m_options.address.empty() ? listensOn() : m_options.address;
    m_context.record("worker " + m_options.id + " starts on machine " + m_options.machine);
    AsyncNet::start(m_context.loop, "worker", work(), shared_from_this());
    AsyncNet::start(m_context.loop, "heartbeats", announce(), shared_from_this());
    return true;
}

auto Worker::crashDark() -> void
{
    m_up = false;
    m_runs.clear();
    m_context.record("worker " + m_options.id + " crashes without a word, for good");
}

auto Worker::crash() -> void
{
    m_up = false;
    m_runs.clear();
    m_listener->stop();
    m_context.record("worker " + m_options.id + " crashes");
}

auto Worker::listensOn() const -> std::string
{
    return "127.0.0.1:" + std::to_string(m_listener->port());
}

auto Worker::setCut(bool cut) -> void
{
    m_cut = cut;
    m_context.record("worker " + m_options.id
                     + (cut ? " is cut off and runs on" : " is reachable again"));
}

auto Worker::setDraining() -> void
{
    m_draining = true;
    m_context.record("worker " + m_options.id + " begins to drain");
}

auto Worker::leave() -> Task<void>
{
    const auto self = shared_from_this();
    AsyncNet::HttpRequest request;
    request.method = "DELETE";
    request.target = "/trefoilshelf/instances/" + m_options.id;
    request.body = Json{{"born", m_bornMs}}.dump();
    co_await m_client.call(m_preferred, std::move(request), Milliseconds(1000));
    m_up = false;
    m_runs.clear();
    m_listener->stop();
    m_context.record("worker " + m_options.id + " has deregistered and ends");
}

auto Worker::nowMs() const -> std::int64_t
{
    return m_context.nowMs() - m_startedMs + 1;
}

auto Worker::handle(Order order) -> Task<AsyncNet::HttpResponse>
{
    const auto self = shared_from_this();
    const auto reachable = [this] { return m_up && !m_cut; };
    if (!reachable())
        co_await silence(); // What arrives during a cut is lost.
    // Another lifetime is meant.
    if (!order.instance.empty() && order.instance != m_options.id)
        co_return reply(421, {{"clock_ms", nowMs()}});
    auto body = Json::parse(order.body, nullptr, false);
    if (!body.is_object())
        co_return reply(400, Json::object());
    const auto token = body.value("fence_token", std::int64_t(0));
    if (token < m_token)
        co_return reply(409, {{"reason", "fence"}, {"clock_ms", nowMs()}});
    m_token = token;
    endDueRuns();
    auto response = AsyncNet::plainResponse(404);
    if (order.target == "/trefoilshelf/hold")
        response = co_await hold(std::move(body));
    else if (order.target == "/trefoilshelf/run-start")
        response = startRun(body);
    else if (order.target == "/trefoilshelf/run-stop")
        response = stopRun(body);
    else if (order.target == "/trefoilshelf/pace")
        response = reply(200, {{"clock_ms", nowMs()}});
    if (!reachable())
        co_await silence(); // So is what it answers.
    co_return response;
}

auto Worker::startRun(const Json &body) -> AsyncNet::HttpResponse
{
    const auto now = nowMs();
    const auto refuse = [now](std::string_view reason) {
        return reply(409, {{"reason", reason}, {"clock_ms", now}});
    };
    const auto task = body.value("task", std::string());
    const auto run = body.value("run", std::int64_t(0));
    const auto until = body.value("until_ms", std::int64_t(0));
    if (until <= now)
        return refuse("late");
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(until, now + longestHoldMs));
    if (const auto known = m_runs.find(task); known != m_runs.end())
        return known->second.number == run ? reply(200, {{"clock_ms", now}}) : refuse("old");
    if (run <= m_highest[task])
        return refuse("old");
    const auto plan = m_plan(task);
    m_runs[task] = {run, now + plan.lastsMs, 0, plan.fails};
    ++startsOf[task];
    lastStartMsOf[task] = m_context.nowMs();
    m_context.record("worker " + m_options.id + " starts " + task + " run " + std::to_string(run));
    return reply(200, {{"clock_ms", now}});
}

auto Worker::stopRun(const Json &body) -> AsyncNet::HttpResponse
{
    const auto task = body.value("task", std::string());
    const auto run = body.value("run", std::int64_t(0));
    m_highest[task] = std::max(m_highest[task], run);
    const auto known = m_runs.find(task);
    if (known != m_runs.end() && known->second.number <= run && known->second.stopsMs == 0)
        known->second.stopsMs = nowMs() + stopMs / 2;
    return reply(200, {{"clock_ms", nowMs()}});
}

auto Worker::hold(Json body) -> Task<AsyncNet::HttpResponse>
{
    const auto until = body.value("until_ms", std::int64_t(0));
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(until, nowMs() + longestHoldMs));
    const auto seen = body.value("last_seen", std::int64_t(0));
    while (!m_unseen.empty() && m_unseen.front().number <= seen) {
        const auto &end = m_unseen.front();
        if (end.how == "done") {
            doneNotedMsOf.try_emplace(end.task, m_context.nowMs());
            m_context.record("the end of " + end.task + " run " + std::to_string(end.run)
                             + " done at " + m_options.id + " is taken note of");
        }
        m_unseen.pop_front();
    }
    const auto wait = Milliseconds(body.value("wait_ms", std::int64_t(0)));
    if (m_unseen.empty() && wait.count() > 0)
        co_await m_ended.waitFor(wait);
    co_return lists();
}

auto Worker::lists() const -> AsyncNet::HttpResponse
{
    auto running = Json::array();
    for (const auto &[task, run] : m_runs)
        running.push_back({task, run.number, "", 100, 100});
    auto ended = Json::array();
    for (const auto &end : m_unseen) {
        if (ended.size() == 500)
            break;
        ended.push_back({end.number, end.task, end.run, end.how, ""});
    }
    return reply(200,
                 {{"clock_ms", nowMs()},
                  {"born", m_bornMs},
                  {"running_count", running},
                  {"ended", ended}});
}

auto Worker::endRun(const std::string &task, const std::string &how) -> void
{
    const auto number = m_runs.at(task).number;
    m_runs.erase(task);
    m_highest[task] = std::max(m_highest[task], number);
    m_unseen.push_back({++m_ends, task, number, how});
    if (how == "failed")
        ++failedRunsOf[task];
    m_context.record("worker " + m_options.id + " ends " + task + " run " + std::to_string(number)
                     + " " + how + " (end " + std::to_string(m_ends) + ")");
    m_ended.notify();
}

auto Worker::endDueRuns() -> void
{
    const auto now = nowMs();
    const auto runs = m_runs;
    for (const auto &[task, run] : runs) {
        if (now >= m_leaseEndMs)
            endRun(task, "lapsed");
        else if (now >= run.endsMs)
            endRun(task, run.fails ? "failed" : "done");
        else if (run.stopsMs > 0 && now >= run.stopsMs)
            endRun(task, "stopped");
    }
}

auto Worker::work() -> Task<void>
{
    while (m_up) {
        endDueRuns();
        co_await AsyncNet::pause(Milliseconds(5));
    }
}

auto Worker::announce() -> Task<void>
{
    std::size_t next = std::hash<std::string>()(m_options.id);
    auto saidDraining = false;
    co_await AsyncNet::pause(Milliseconds(m_options.firstPingMs));
    while (m_up) {
        if (m_cut) {
            co_await AsyncNet::pause(Milliseconds(100));
            continue;
        }
        saidDraining = m_draining;
        const Json body{{"service", m_options.service},
                        {"address", m_address},
                        {"zone", zones[0]},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", m_draining ? "draining" : "ready"},
                        {"cold_left_ms", 0},
                        {"born", m_bornMs},
                        {"capacity", {{"cpu", m_options.cpu}, {"mem_mb", 65'536}, {"gpu", 0}}},
                        {"labels", {"a", m_options.rack}},
                        {"clock_ms", nowMs()},
                        {"seq_no", ++m_sequence}};
        auto address = m_preferred;
        if (address.empty())
            address = m_options.controls[next++ % m_options.controls.size()];
        AsyncNet::HttpRequest request;
        request.method = "PUT";
        request.target = "/trefoilshelf/instances/" + m_options.id;
        request.body = body.dump();
        const auto answer =
            co_await m_client.call(address, std::move(request), Milliseconds(1000), false);
        const auto acknowledged = m_up && !m_cut && answer && answer.value().status / 100 == 2;
        if (acknowledged) {
            const auto named = Json::parse(answer.value().body, nullptr, false);
            if (named.is_object() && named.contains("heartbeat_addr"))
                m_preferred = named["heartbeat_addr"].get<std::string>();
        }
        if (acknowledged && saidDraining && m_drainingAcknowledgedMs == 0) {
            m_drainingAcknowledgedMs = m_context.nowMs();
            m_context.record("the drain of worker " + m_options.id + " is acknowledged");
        }
        if (!acknowledged) {
            m_preferred.clear();
            co_await AsyncNet::pause(Milliseconds(100));
            continue;
        }
        for (Milliseconds waited{0}; waited < heartbeat && m_up && !m_cut; waited += Milliseconds(10)) {
            if (m_draining && !saidDraining)
                break;
            co_await AsyncNet::pause(Milliseconds(10));
        }
    }
}

// --- Machines

Machines::Machines(Context &context)
    : m_context(context)
    , m_listener(context.loop, "machines", [this](AsyncNet::HttpRequest request) {
        return handle(std::move(request));
    })
{}

auto Machines::start() -> bool
{
    return bool(m_listener.start("127.0.0.1:0"));
}

auto Machines::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(m_listener.port());
}

auto Machines::handle(AsyncNet::HttpRequest request) -> Task<AsyncNet::HttpResponse>
{
    for (auto &[name, machine] : all) {
        if (machine.state == "upkeep" && m_context.nowMs() >= machine.backMs) {
            machine.state = "up";
            if (isBack)
                isBack(name);
        }
    }
    if (request.method == "GET") {
        auto rows = Json::array();
        for (const auto &[name, machine] : all)
            rows.push_back({{"machine", name},
                            {"pool", machine.pool},
                            {"state", machine.listedAs.empty() ? machine.state : machine.listedAs},
                            {"zone", zones[0]},
                            {"labels", {"a", "r1"}},
                            {"capacity", {{"cpu", 32'000}, {"mem_mb", 65'536}, {"gpu", 0}}},
                            {"id", machine.endpoint}});
        co_return reply(200, {{"machines", rows}, {"next_token", ""}});
    }
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        co_return reply(400, Json::object());
    const auto name = body.value("machine", std::string());
    const auto found = all.find(name);
    if (found == all.end())
        co_return reply(400, Json::object());
    auto &machine = found->second;
    if (request.target == "/trefoilshelf/machine-upkeep") {
        const auto wave = body.value("wave", std::int64_t(0));
        if (machine.upkeeps.contains(wave))
            co_return reply(200, Json::object());
        if (machine.state != "up")
            co_return reply(409, {{"reason", "busy"}});
        machine.upkeeps.insert(wave);
        machine.state = "upkeep";
        machine.backMs = m_context.nowMs() + upkeepMs;
        m_context.record("the upkeep of machine " + name + " begins for wave "
                         + std::to_string(wave));
        if (upkeepBegins)
            upkeepBegins(name);
        co_return reply(200, Json::object());
    }
    // Cases have no machines to spare, so that moves are refused.
    co_return reply(409, {{"reason", "busy"}});
}

// --- Deployment

Deployment::Deployment(Context &context, Machines &machines, std::filesystem::path folder)
    : m_context(context)
    , m_machines(machines)
    , m_folder(std::move(folder))
    , m_client(context.loop, 64, connections(context.loop))
{}

Deployment::~Deployment() = default;

// Processes listen on 127.N.M.x; other core machines and callers reach core machines through relays on
// 127.N.M+1.x.
auto Deployment::add(const std::string &role, int index, int controls) -> bool
{
    const auto number = std::to_string(m_controls.size() + m_entries.size() + 1);
    const auto own = m_network + std::to_string(m_subnet) + '.' + number;
    const auto reached = m_network + std::to_string(m_subnet + 1) + '.' + number;
    const auto service = ':' + std::to_string(servicePort);
    const auto control = role == "control";
    Json listen{{"metrics", own + ":9100"}};
    if (control) {
        listen["control"] = own + service;
    } else {
        listen["callers"] = own + service;
        listen["readiness"] = own + ':' + std::to_string(servicePort + 1);
    }
    auto seeds = Json::array();
    for (int seed = 1; seed <= controls; ++seed)
        seeds.push_back(m_network + std::to_string(m_subnet + 1) + '.' + std::to_string(seed)
                        + service);
    const Json settings{{"id", role + '-' + std::to_string(index)},
                        {"zone", zones[std::size_t(index) % zones.size()]},
                        {"ip", control ? reached : own},
                        {"listen_ip", own},
                        {"seeds", seeds},
                        {"first_start", true},
                        {"first_link_port", firstLinkPort},
                        {"listen", listen},
                        {"open_files", control ? 4096 : 4100},
                        {"tolerated_losses", 1},
                        {"hosts_address", m_machines.address()},
                        {"host_orders_per_s", 64.0},
                        {"advice_address", ""},
                        {"maximum_lease_ms", longestHoldMs},
                        {"longest_stop_ms", stopMs},
                        {"stop_grace_s", 6}};
    auto process = std::make_unique<Process>(
        m_context, role, settings, m_folder / settings["id"].get<std::string>());
    if (!control) {
        m_entryAddresses.push_back(own + service);
        m_entries.push_back(std::move(process));
        return true;
    }
    m_controls.push_back(std::move(process));
    m_controlAddresses.push_back(reached + service);
    for (const auto port : {servicePort, firstLinkPort, firstLinkPort + 1}) {
        const auto suffix = ':' + std::to_string(port);
        auto relay = std::make_shared<Relay>(m_context, reached + suffix, own + suffix);
        if (!relay->start())
            return false;
        m_relays.push_back(relay);
        if (port == firstLinkPort)
            m_coreRelays.push_back(relay);
    }
    return true;
}

auto Deployment::start(int controls, int entries) -> bool
{
    m_network = "127." + std::to_string(1 + ::getpid() % 250) + '.';
    m_subnet = ::getpid() / 250 % 125 * 2;
    for (int index = 0; index < controls; ++index) {
        if (!add("control", index, controls))
            return false;
    }
    for (int index = 0; index < entries; ++index)
        add("entry", index, controls);
    for (auto &process : m_controls)
        process->start();
    for (auto &process : m_entries)
        process->start();
    return true;
}

auto Deployment::silenceCoreChannels() -> int
{
    auto count = 0;
    for (const auto &relay : m_coreRelays)
        count += relay->silenceOpenChannels();
    return count;
}

auto Deployment::callControl(AsyncNet::HttpRequest request, std::int64_t untilMs)
    -> Task<std::optional<AsyncNet::HttpResponse>>
{
    std::optional<AsyncNet::HttpResponse> last;
    auto pause = Milliseconds(100);
    for (std::size_t node = 0; m_context.nowMs() < untilMs; ++node) {
        auto address = m_controlAddresses[node % m_controlAddresses.size()];
        auto copy = request;
        const auto answer =
            co_await m_client.call(address, std::move(copy), Milliseconds(1000), false);
        if (answer)
            last = answer.value();
        if (request.method != "GET")
            m_context.record("to control: " + request.method + ' ' + request.target + " -> "
                             + (answer ? std::to_string(last->status) : "no answer"));
        // In place of a redirect the next node is tried, which may be the leader.
        if (answer && (last->status / 100 == 2 || last->status / 100 == 4))
            co_return last;
        co_await AsyncNet::pause(pause);
        pause = std::min(pause * 3 / 2, Milliseconds(800));
    }
    co_return last;
}

auto Deployment::callEntry(int entry,
                           const std::string &method,
                           const std::string &path,
                           std::string body) -> Task<std::optional<AsyncNet::HttpResponse>>
{
    AsyncNet::HttpRequest request;
    request.method = method;
    request.target = path;
    request.host = "work.example";
    request.body = std::move(body);
    const auto answer = co_await m_client.call(
        m_entryAddresses[std::size_t(entry)], std::move(request), clientPatience, false);
    co_return answer ? std::optional(answer.value()) : std::nullopt;
}

auto Deployment::submit(const std::string &path, const Json &job, std::int64_t untilMs)
    -> Task<bool>
{
    for (int attempt = 0; m_context.nowMs() < untilMs; ++attempt) {
        auto body = job.dump();
        const auto answer =
            co_await callEntry(attempt % entries(), "POST", path, std::move(body));
        const auto status = answer ? answer->status : 0;
        m_context.record("client: POST " + path + " -> "
                         + (answer ? std::to_string(status) : "no answer"));
        if (status / 100 == 2)
            co_return true;
        co_await AsyncNet::pause(Milliseconds(200));
    }
    co_return false;
}

auto Deployment::leader() -> Task<int>
{
    // The operator's read of the manifest is answered by the leader alone.
    for (int index = 0; index < controls(); ++index) {
        AsyncNet::HttpRequest request;
        request.method = "GET";
        request.target = "/trefoilshelf/config";
        const auto answer = co_await m_client.call(m_controlAddresses[std::size_t(index)],
                                                   std::move(request),
                                                   Milliseconds(1000),
                                                   false);
        if (answer && answer.value().status == 200)
            co_return index;
    }
    co_return -1;
}

namespace {

auto service(const std::string &name) -> Json
{
    return {{"name", name},
            {"health_path", "/health"},
            {"max_conns", 64},
            {"protocol", "h1"},
            {"tls", false},
            {"rejects_overload", true},
            {"spare", false}};
}

auto route(const std::string &name, const std::string &prefix, const std::string &service) -> Json
{
    return {{"name", name},
            {"host", "work.example"},
            {"path_prefix", prefix},
            {"route_type", "unsafe"},
            {"timeout_ms", 3000},
            {"slo_ms", 600},
            {"priority", 1},
            {"service", service},
            {"max_attempts", 4},
            {"stretch", 1.6}};
}

} // namespace

auto manifest(std::int64_t version) -> Json
{
    return {{"version", version},
            {"routes", {route("r-work", "/work/", "work"), route("r-desk", "/desk/", "desk")}},
            {"services", {service("work"), service("desk")}},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

auto jobOf(int count, std::int64_t cpu, std::int64_t estimateMs) -> Json
{
    return {{"spec", "(text)"},
            {"steps",
             {{{"count", count}, {"cpu", cpu}, {"mem_mb", 64}, {"est_duration_ms", estimateMs}}}}};
}

auto jobId(int number) -> std::string
{
    auto text = std::to_string(number);
    return "5c0e7a21" + std::string(8 - text.size(), '0') + text;
}

} // namespace Rig
