#include "standins.h"

namespace Review {
namespace {

constexpr int linkPort = 7060;
constexpr int controlPort = 8623;
constexpr int frontPort = 8624;
constexpr int readyPort = 8622;
constexpr int metricsPort = 9100;
constexpr int workerPort = 8080;
constexpr int machinesPort = 8621;
constexpr int threadsPerServer = 10;
constexpr int tickMs = 5;
constexpr auto binary = "target/src/app/trefoilshelf";

auto prepare(httplib::Server &server) -> void
{
    server.new_task_queue = [] { return new httplib::ThreadPool(threadsPerServer); };
    server.set_keep_alive_max_count(1'000'000);
    server.set_keep_alive_timeout(60);
    server.set_tcp_nodelay(true);
}

} // namespace

SystemProcess::SystemProcess(std::string role, Json settings, std::filesystem::path folder)
    : m_role(std::move(role))
    , m_settings(std::move(settings))
    , m_folder(std::move(folder))
{
    std::filesystem::create_directories(m_folder);
    if (m_role == "control")
        m_settings["data_folder"] = (m_folder / "data").string();
}

auto SystemProcess::start() -> void
{
    const auto settings = (m_folder / "settings.json").string();
    std::ofstream(settings) << m_settings.dump();
    m_settings["first_start"] = false;
    const auto log = (m_folder / "log").string();
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::setenv("TREFOILSHELF_CONFIG", settings.c_str(), 1);
    ::execl(binary, binary, m_role.c_str(), nullptr);
    ::_exit(127);
}

auto SystemProcess::sendSignal(int signal) -> void
{
    if (m_pid > 0)
        ::kill(m_pid, signal);
}

auto SystemProcess::kill() -> void
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    auto status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = 0;
}

Worker::Worker(Scene &scene, std::string id, std::string machine, std::string ip, std::string service)
    : m_scene(scene)
    , m_id(std::move(id))
    , m_machine(std::move(machine))
    , m_ip(std::move(ip))
    , m_service(std::move(service))
{
    prepare(m_server);
}

Worker::~Worker()
{
    end();
    m_server.stop();
    for (auto &thread : m_threads)
        thread.join();
}

auto Worker::start() -> void
{
    for (const auto *path : {"run-start", "run-stop", "hold", "pace"}) {
        m_server.Post(std::string("/trefoilshelf/") + path,
                      [this, path](const httplib::Request &request, httplib::Response &response) {
                          handle(path, request, response);
                      });
    }
    m_server.Get("/health", [](const httplib::Request &, httplib::Response &) {});
    if (!m_server.bind_to_port(m_ip.c_str(), workerPort))
        throw std::runtime_error("a worker cannot listen");
    m_threads.emplace_back([this] { m_server.listen_after_bind(); });
    m_threads.emplace_back([this] { beat(); });
    m_threads.emplace_back([this] { work(); });
}

auto Worker::end() -> void
{
    {
        const std::scoped_lock lock(m_mutex);
        if (!std::exchange(m_alive, false))
            return;
        for (const auto &[task, run] : m_runs)
            m_scene.ended(m_id, task, run.number, "(with its machine)");
        m_runs.clear();
    }
    m_changed.notify_all();
    m_server.stop();
}

auto Worker::runningTasks() -> std::vector<std::string>
{
    const std::scoped_lock lock(m_mutex);
    std::vector<std::string> tasks;
    for (const auto &[task, run] : m_runs)
        tasks.push_back(task);
    return tasks;
}

auto Worker::clockMs() const -> std::int64_t
{
    return 1000
           + std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_began).count();
}

auto Worker::answer(httplib::Response &response, int status, Json body) const -> void
{
    body["clock_ms"] = clockMs();
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

auto Worker::handle(const std::string &path,
                    const httplib::Request &request,
                    httplib::Response &response) -> void
{
    const auto body = Json::parse(request.body, nullptr, false);
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_alive) {
            response.status = 503;
            return;
        }
        if (request.has_header("Expect-Instance")
            && request.get_header_value("Expect-Instance") != m_id) {
            response.status = 421;
            return;
        }
        if (!body.is_object())
            return answer(response, 400, Json::object());
        const auto fence = body.value("fence_token", std::int64_t(0));
        if (fence < m_fence)
            return answer(response, 409, {{"reason", "fence"}});
        m_fence = fence;
    }
    if (path == "run-start")
        return startRun(body, response);
    if (path == "run-stop")
        return stopRun(body, response);
    if (path == "hold")
        return hold(body, response);
    answer(response, 200, Json::object());
}

auto Worker::extendLease(const Json &body) -> void
{
    const auto until = body.value("until_ms", std::int64_t(0));
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(until, clockMs() + maxHoldMs));
}

auto Worker::startRun(const Json &body, httplib::Response &response) -> void
{
    const auto task = body.value("task", std::string());
    const auto number = body.value("run", std::int64_t(0));
    const std::scoped_lock lock(m_mutex);
    if (body.value("until_ms", std::int64_t(0)) <= clockMs())
        return answer(response, 409, {{"reason", "late"}});
    extendLease(body);
    const auto known = m_runs.find(task);
    if (known != m_runs.end() && known->second.number == number)
        return answer(response, 200, Json::object());
    if (known != m_runs.end() || number <= m_highestRun[task])
        return answer(response, 409, {{"reason", "old"}});
    const StartInfo info{m_id, task, number, m_scene.recorder.nowMs()};
    const auto ending = m_scene.ending ? m_scene.ending(info) : Ending{500, "done"};
    Run run;
    run.number = number;
    run.how = ending.how;
    run.startedMs = info.atMs;
    run.gang = m_scene.gangSize > 0;
    run.endsMs = run.gang ? ending.afterMs : info.atMs + ending.afterMs;
    m_runs[task] = run;
    m_scene.started(info);
    if (run.gang)
        m_scene.gangStarted(task, number);
    answer(response, 200, Json::object());
}

auto Worker::stopRun(const Json &body, httplib::Response &response) -> void
{
    const auto task = body.value("task", std::string());
    const auto number = body.value("run", std::int64_t(0));
    const std::scoped_lock lock(m_mutex);
    m_highestRun[task] = std::max(m_highestRun[task], number);
    const auto known = m_runs.find(task);
    if (known != m_runs.end() && known->second.number <= number && known->second.stopsMs == 0)
        known->second.stopsMs = m_scene.recorder.nowMs() + stopMs / 2;
    answer(response, 200, Json::object());
}

auto Worker::hold(const Json &body, httplib::Response &response) -> void
{
    if (m_scene.keepsPoll && m_scene.keepsPoll(m_id, body)) {
        sleepMs(12'000); // The caller has given the call up long before.
        response.status = 503;
        return;
    }
    std::unique_lock lock(m_mutex);
    extendLease(body);
    forgetEnds(body);
    const auto wait = std::min<std::int64_t>(body.value("wait_ms", std::int64_t(0)), 2000);
    m_changed.wait_for(lock, std::chrono::milliseconds(wait), [this] {
        return !m_unseenEnds.empty() || !m_alive;
    });
    if (!m_alive) {
        response.status = 503;
        return;
    }
    auto running = Json::array();
    for (const auto &[task, run] : m_runs)
        running.push_back({task, run.number, "", 100, 0});
    auto ended = Json::array();
    for (const auto &end : m_unseenEnds) {
        if (ended.size() < 500)
            ended.push_back({end.number, end.task, end.run, end.how, ""});
    }
    answer(response, 200, {{"born", m_bornMs}, {"running_count", running}, {"ended", ended}});
}

auto Worker::forgetEnds(const Json &body) -> void
{
    const auto lastSeen = body.value("last_seen", std::int64_t(0));
    while (!m_unseenEnds.empty() && m_unseenEnds.front().number <= lastSeen) {
        const auto &end = m_unseenEnds.front();
        m_scene.seen(m_id, end.task, end.run, end.how);
        m_unseenEnds.erase(m_unseenEnds.begin());
    }
}

auto Worker::carryOutLate(const Json &poll) -> void
{
    const std::scoped_lock lock(m_mutex);
    const auto fence = poll.value("fence_token", std::int64_t(0));
    if (!m_alive || fence < m_fence)
        return;
    m_fence = fence;
    m_scene.recorder.write("worker " + m_id + ": carries out a late hold " + poll.dump());
    extendLease(poll);
    forgetEnds(poll);
}

auto Worker::endRun(const std::string &task, const std::string &how) -> void
{
    const auto number = m_runs[task].number;
    m_runs.erase(task);
    m_highestRun[task] = std::max(m_highestRun[task], number);
    m_unseenEnds.push_back({++m_ends, task, number, how});
    m_scene.ended(m_id, task, number, how);
    m_changed.notify_all();
}

auto Worker::work() -> void
{
    for (;;) {
        {
            const std::scoped_lock lock(m_mutex);
            if (!m_alive)
                return;
            const auto now = m_scene.recorder.nowMs();
            const auto lapsed = clockMs() >= m_leaseEndMs;
            if (lapsed && !m_lapsed) {
                ++m_scene.lapses;
                m_scene.recorder.write("worker " + m_id + ": its lease lapses");
            }
            m_lapsed = lapsed;
            const auto runs = m_runs;
            for (const auto &[task, run] : runs) {
                if (lapsed) {
                    endRun(task, "lapsed");
                    continue;
                }
                auto endsMs = run.endsMs;
                if (run.gang) {
                    const auto [completeMs, endedMs] = m_scene.gangTimes(task, run.number);
                    if (completeMs < 0) {
                        if (now - run.startedMs >= gangTimeoutMs)
                            endRun(task, "alone");
                        else if (run.stopsMs > 0 && now >= run.stopsMs)
                            endRun(task, "stopped");
                        continue;
                    }
                    endsMs = completeMs + run.endsMs;
                    if (now < endsMs && endedMs >= 0) {
                        endRun(task, "broken");
                        continue;
                    }
                }
                if (now >= endsMs)
                    endRun(task, run.how);
                else if (run.stopsMs > 0 && now >= run.stopsMs)
                    endRun(task, "stopped");
            }
        }
        sleepMs(tickMs);
    }
}

auto Worker::beat() -> void
{
    auto control = std::size_t(std::hash<std::string>()(m_id));
    for (;;) {
        Json body;
        {
            const std::scoped_lock lock(m_mutex);
            if (!m_alive)
                return;
            body = {{"service", m_service},
                    {"address", m_ip + ':' + std::to_string(workerPort)},
                    {"zone", "z1"},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", "ready"},
                    {"cold_left_ms", 0},
                    {"capacity", {{"cpu", 16000}, {"mem_mb", 64000}, {"gpu", 0}}},
                    {"labels", {"a", "r1"}},
                    {"clock_ms", clockMs()},
                    {"born", m_bornMs},
                    {"seq_no", ++m_sequence}};
        }
        auto address = m_scene.controlAddresses[control++ % m_scene.controlAddresses.size()];
        auto acknowledged = false;
        for (auto redirects = 0; redirects < 3; ++redirects) {
            httplib::Client client(address);
            client.set_connection_timeout(std::chrono::milliseconds(500));
            client.set_read_timeout(std::chrono::milliseconds(1000));
            const auto reply =
                client.Put("/trefoilshelf/instances/" + m_id, body.dump(), "application/json");
            acknowledged = reply && reply->status == 200;
            if (!reply || reply->status != 307)
                break;
            const auto location = reply->get_header_value("Location");
            address = location.substr(7, location.find('/', 7) - 7);
        }
        if (acknowledged)
            m_scene.recorder.write("worker " + m_id + ": its ping is acknowledged");
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock,
                           std::chrono::milliseconds(acknowledged ? heartbeatMs : 150),
                           [this] { return !m_alive; });
    }
}

Machines::Machines(Scene &scene)
    : m_scene(scene)
{
    prepare(m_server);
    m_server.new_task_queue = [] { return new httplib::ThreadPool(32); };
}

Machines::~Machines()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
    }
    m_server.stop();
    for (std::size_t index = 0; index < m_threads.size(); ++index)
        m_threads[index].join();
}

auto Machines::start() -> void
{
    m_server.Get("/trefoilshelf/machines",
                 [this](const httplib::Request &, httplib::Response &response) { list(response); });
    m_server.Post("/trefoilshelf/machine-upkeep",
                  [this](const httplib::Request &request, httplib::Response &response) {
                      upkeep(request, response);
                  });
    m_server.Post("/trefoilshelf/machine-move",
                  [](const httplib::Request &, httplib::Response &response) {
                      response.status = 400; // The pool of these machines is the only one.
                  });
    if (!m_server.bind_to_port((m_scene.m_network + "200").c_str(), machinesPort))
        throw std::runtime_error("the platform cannot listen");
    m_threads.emplace_back([this] { m_server.listen_after_bind(); });
}

auto Machines::add(const std::string &machine, const std::shared_ptr<Worker> &worker) -> void
{
    const std::scoped_lock lock(m_mutex);
    m_machines[machine].worker = worker;
}

auto Machines::list(httplib::Response &response) -> void
{
    const std::scoped_lock lock(m_mutex);
    auto rows = Json::array();
    for (const auto &[name, machine] : m_machines) {
        const auto foreign = foreignEntry ? foreignEntry(name) : Json();
        if (!foreign.is_null()) {
            m_scene.recorder.write("platform: lists " + foreign.dump());
            rows.push_back(foreign);
            continue;
        }
        rows.push_back({{"machine", name},
                        {"pool", "huvo11a"},
                        {"state", machine.state},
                        {"zone", "z1"},
                        {"labels", {"a", "r1"}},
                        {"capacity", {{"cpu", 16000}, {"mem_mb", 64000}, {"gpu", 0}}},
                        {"id", machine.state == "up" ? machine.worker->id() : std::string()}});
    }
    response.set_content(Json{{"machines", rows}, {"next_token", ""}}.dump(), "application/json");
}

auto Machines::carryOut(const std::string &name, std::int64_t wave, std::int64_t fence)
    -> std::pair<int, std::string>
{
    std::shared_ptr<Worker> old;
    std::set<std::string> down;
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_machines.find(name);
        if (found == m_machines.end())
            return {400, {}};
        auto &machine = found->second;
        if (fence < machine.fence)
            return {409, "fence"};
        machine.fence = fence;
        if (machine.maintainedFor.contains(wave))
            return {200, {}};
        if (machine.state != "up" || m_stopping)
            return {409, "busy"};
        for (const auto &[other, item] : m_machines) {
            if (item.state == "upkeep")
                down.insert(other);
        }
        machine.state = "upkeep";
        machine.maintainedFor.insert(wave);
        old = machine.worker;
    }
    ++upkeeps;
    if (upkeepBegins)
        upkeepBegins(name, down);
    old->end();
    const std::scoped_lock lock(m_threadsMutex);
    m_threads.emplace_back([this, name, old] {
        sleepMs(upkeepMs);
        const auto fresh = m_scene.freshWorker(name, "huvo11a");
        const std::scoped_lock inner(m_mutex);
        m_machines[name].worker = fresh;
        m_machines[name].state = "up";
        m_scene.recorder.write("platform: upkeep of " + name + " is over, its worker is "
                               + fresh->id());
    });
    return {200, {}};
}

auto Machines::upkeep(const httplib::Request &request, httplib::Response &response) -> void
{
    const auto body = Json::parse(request.body, nullptr, false);
    const auto name = body.value("machine", std::string());
    const auto wave = body.value("wave", std::int64_t(0));
    const auto holder = request.get_header_value("Duty-Holder");
    const auto fence = std::stoll(request.get_header_value("Fence-Token"));
    const auto order = "machine-upkeep " + name + " wave " + std::to_string(wave) + " from " + holder
                       + " fence " + std::to_string(fence);
    const auto delay = late ? late(name, holder) : std::nullopt;
    if (delay) {
        m_scene.recorder.write("platform: got " + order + "; gives no answer and carries it out after "
                               + std::to_string(*delay) + " ms");
        const std::scoped_lock lock(m_threadsMutex);
        m_threads.emplace_back([this, name, wave, fence, order, wait = *delay] {
            sleepMs(wait);
            const auto [status, reason] = carryOut(name, wave, fence);
            m_scene.recorder.write("platform: carried out late: " + order + " -> "
                                   + std::to_string(status) + ' ' + reason);
        });
    }
    if (delay) {
        // The caller gets no response before it gives the call up.
        sleepMs(5000);
        response.status = 504;
        return;
    }
    const auto [status, reason] = carryOut(name, wave, fence);
    m_scene.recorder.write("platform: " + order + " -> " + std::to_string(status) + ' ' + reason);
    response.status = status;
    response.set_content(reason.empty() ? "{}" : Json{{"reason", reason}}.dump(), "application/json");
}

Scene::Scene(std::string recordFolder, int controlCount, int entryCount)
    : recorder(recordFolder + "/record.txt")
{
    std::string name = std::filesystem::temp_directory_path() / "review-XXXXXX";
    m_folder = ::mkdtemp(name.data());
    const auto pid = ::getpid();
    m_network = "127." + std::to_string(1 + pid % 250) + '.' + std::to_string(pid / 250 % 250) + '.';
    const auto withPort = [](const std::string &ip, int port) {
        return ip + ':' + std::to_string(port);
    };
    for (auto index = 1; index <= controlCount; ++index)
        controlAddresses.push_back(withPort(m_network + std::to_string(index), controlPort));
    for (auto index = 1; index <= controlCount + entryCount; ++index) {
        const auto control = index <= controlCount;
        const auto ip = m_network + std::to_string(index);
        Json listen{{"metrics", withPort(ip, metricsPort)}};
        if (control) {
            listen["control"] = withPort(ip, controlPort);
        } else {
            listen["callers"] = withPort(ip, frontPort);
            listen["readiness"] = withPort(ip, readyPort);
            entryAddresses.push_back(withPort(ip, frontPort));
            readyAddresses.push_back(withPort(ip, readyPort));
        }
        const auto number = control ? index : index - controlCount;
        const auto id = (control ? "core-" : "front-") + std::to_string(number);
        const Json settings{{"id", id},
                            {"zone", "z" + std::to_string(number)},
                            {"ip", ip},
                            {"seeds", controlAddresses},
                            {"first_start", true},
                            {"first_link_port", linkPort},
                            {"listen", listen},
                            {"open_files", 4096},
                            {"tolerated_losses", controlCount / 2},
                            {"hosts_address", withPort(m_network + "200", machinesPort)},
                            {"host_orders_per_s", 64.0},
                            {"advice_address", ""},
                            {"maximum_lease_ms", maxHoldMs},
                            {"longest_stop_ms", stopMs},
                            {"stop_grace_s", 6}};
        (control ? controls : entries)
            .push_back(std::make_unique<SystemProcess>(
                control ? "control" : "entry", settings, m_folder / id));
    }
    machines = std::make_unique<Machines>(*this);
}

auto Scene::stopProcesses() -> void
{
    for (auto &process : entries)
        process->kill();
    for (auto &process : controls)
        process->kill();
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(m_folder);
    else
        std::cerr << "logs: " << m_folder << '\n';
}

auto Scene::startProcesses() -> void
{
    machines->start();
    for (auto &process : controls)
        process->start();
    for (auto &process : entries)
        process->start();
}

auto Scene::freshWorker(const std::string &machine, const std::string &service)
    -> std::shared_ptr<Worker>
{
    const auto number = ++m_nextWorker;
    const auto ip = m_network + std::to_string(20 + number % 170);
    const auto worker = std::make_shared<Worker>(
        *this, "i-" + std::to_string(::getpid()) + "-" + std::to_string(number), machine, ip, service);
    worker->start();
    const std::scoped_lock lock(m_mutex);
    workers.push_back(worker);
    return worker;
}

auto Scene::restartWorker(const std::shared_ptr<Worker> &worker) -> std::shared_ptr<Worker>
{
    const auto fresh = std::make_shared<Worker>(
        *this, worker->id(), worker->machine(), worker->ip(), worker->service());
    fresh->start();
    machines->add(worker->machine(), fresh);
    const std::scoped_lock lock(m_mutex);
    workers.push_back(fresh);
    recorder.write("worker " + worker->id() + " starts again under its id");
    return fresh;
}

auto Scene::addWorker(const std::string &machine, const std::string &service)
    -> std::shared_ptr<Worker>
{
    const auto worker = freshWorker(machine, service);
    machines->add(machine, worker);
    return worker;
}

auto Scene::operatorCall(const std::string &method,
                         const std::string &path,
                         const std::string &body,
                         int seconds) -> Reply
{
    const auto endMs = recorder.nowMs() + seconds * 1000;
    Reply last;
    while (recorder.nowMs() < endMs) {
        auto address = controlAddresses[m_nextControl++ % controlAddresses.size()];
        for (auto redirects = 0; redirects < 3; ++redirects) {
            httplib::Client client(address);
            client.set_connection_timeout(std::chrono::milliseconds(500));
            client.set_read_timeout(std::chrono::milliseconds(1000));
            auto reply = method == "PUT"    ? client.Put(path, body, "application/json")
                         : method == "POST" ? client.Post(path, body, "application/json")
                                            : client.Get(path);
            last = reply ? Reply{reply->status, reply->body} : Reply{};
            if (!reply || reply->status != 307)
                break;
            const auto location = reply->get_header_value("Location");
            address = location.substr(7, location.find('/', 7) - 7);
        }
        if (last.status >= 200 && last.status < 500 && last.status != 307 && last.status != 408
            && last.status != 429)
            break;
        sleepMs(200);
    }
    recorder.write("operator: " + method + ' ' + path + " -> " + std::to_string(last.status));
    return last;
}

auto Scene::client(std::size_t entry,
                   const std::string &method,
                   const std::string &path,
                   const std::string &body,
                   int timeLimitMs) -> Reply
{
    httplib::Client client(entryAddresses[entry % entryAddresses.size()]);
    client.set_connection_timeout(std::chrono::milliseconds(timeLimitMs));
    client.set_read_timeout(std::chrono::milliseconds(timeLimitMs));
    const httplib::Headers headers{{"Host", clientHost},
                                   {"Deadline-Ms", std::to_string(timeLimitMs)}};
    auto reply = method == "POST"     ? client.Post(path, headers, body, "application/json")
                 : method == "DELETE" ? client.Delete(path, headers)
                                      : client.Get(path, headers);
    const auto answer = reply ? Reply{reply->status, reply->body} : Reply{};
    recorder.write("client: " + method + ' ' + path + " at front-" + std::to_string(entry + 1) + " -> "
                   + (answer.status == 0 ? std::string("no response")
                                         : std::to_string(answer.status) + ' ' + answer.body));
    return answer;
}

auto Scene::submit(const std::string &path, const std::string &body, int seconds) -> bool
{
    const auto endMs = recorder.nowMs() + seconds * 1000;
    for (std::size_t attempt = 0; recorder.nowMs() < endMs; ++attempt) {
        const auto reply = client(attempt % entryAddresses.size(), "POST", path, body);
        if (reply.status >= 200 && reply.status < 300)
            return true;
        sleepMs(300);
    }
    return false;
}

auto Scene::waitReady(int seconds) -> bool
{
    const auto endMs = recorder.nowMs() + seconds * 1000;
    while (recorder.nowMs() < endMs) {
        auto ready = true;
        for (const auto &address : readyAddresses) {
            httplib::Client client(address);
            client.set_read_timeout(std::chrono::milliseconds(1000));
            const auto reply = client.Get("/trefoilshelf/ready");
            ready = ready && reply && reply->status == 200;
        }
        if (ready)
            return true;
        sleepMs(200);
    }
    return false;
}

auto Scene::control(const std::string &id) -> SystemProcess *
{
    for (auto &process : controls) {
        if (process->id() == id)
            return process.get();
    }
    return nullptr;
}

auto Scene::leader() -> SystemProcess *
{
    for (std::size_t index = 0; index < controls.size(); ++index) {
        httplib::Client client(controlAddresses[index]);
        client.set_read_timeout(std::chrono::milliseconds(1000));
        const auto reply = client.Get("/trefoilshelf/config");
        if (reply && reply->status == 200)
            return controls[index].get();
    }
    return nullptr;
}

auto Scene::started(const StartInfo &info) -> void
{
    const std::scoped_lock lock(m_mutex);
    m_starts.push_back(info);
    ++m_running;
    recorder.write("worker " + info.worker + ": starts " + info.task + " run "
                   + std::to_string(info.run));
}

auto Scene::ended(const std::string &worker,
                  const std::string &task,
                  std::int64_t run,
                  const std::string &how) -> void
{
    const std::scoped_lock lock(m_mutex);
    ++m_ends[how];
    --m_running;
    if (how == "done")
        m_done[task].try_emplace(run, Done{recorder.nowMs(), false});
    if (gangSize > 0) {
        auto &gang = m_gangs[stepOf(task) + '/' + std::to_string(run)];
        if (gang.endedMs < 0)
            gang.endedMs = recorder.nowMs();
    }
    recorder.write("worker " + worker + ": " + task + " run " + std::to_string(run) + " ended " + how);
}

auto Scene::seen(const std::string &worker,
                 const std::string &task,
                 std::int64_t run,
                 const std::string &how) -> void
{
    const std::scoped_lock lock(m_mutex);
    ++m_seen[how];
    if (how == "done")
        m_done[task][run].seen = true;
    recorder.write("worker " + worker + ": the end of " + task + " run " + std::to_string(run) + " ("
                   + how + ") is taken note of");
}

auto Scene::starts() -> std::vector<StartInfo>
{
    const std::scoped_lock lock(m_mutex);
    return m_starts;
}

auto Scene::running() -> int
{
    const std::scoped_lock lock(m_mutex);
    return m_running;
}

auto Scene::startsAfterDone() -> std::vector<std::string>
{
    const std::scoped_lock lock(m_mutex);
    std::vector<std::string> tasks;
    for (const auto &start : m_starts) {
        const auto done = m_done.find(start.task);
        if (done == m_done.end())
            continue;
        // Only the run whose end was taken note of counts; another one of the task may have been lost.
        const auto startsAgain = std::ranges::any_of(done->second, [&start](const auto &item) {
            return item.second.seen && start.atMs > item.second.atMs;
        });
        if (startsAgain)
            tasks.push_back(start.task);
    }
    return tasks;
}

auto Scene::countEnds(const std::string &how) -> int
{
    const std::scoped_lock lock(m_mutex);
    return m_ends[how];
}

auto Scene::countSeen(const std::string &how) -> int
{
    const std::scoped_lock lock(m_mutex);
    return m_seen[how];
}

auto Scene::gangStarted(const std::string &task, std::int64_t run) -> void
{
    const std::scoped_lock lock(m_mutex);
    auto &gang = m_gangs[stepOf(task) + '/' + std::to_string(run)];
    if (++gang.members == gangSize)
        gang.completeMs = recorder.nowMs();
}

auto Scene::gangTimes(const std::string &task, std::int64_t run)
    -> std::pair<std::int64_t, std::int64_t>
{
    const std::scoped_lock lock(m_mutex);
    const auto &gang = m_gangs[stepOf(task) + '/' + std::to_string(run)];
    return {gang.completeMs, gang.endedMs};
}

} // namespace Review
