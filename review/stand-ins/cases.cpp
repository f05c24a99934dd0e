// The cases of the review: cases NAME FOLDER. TROUBLE=0 in the environment leaves the disruption out.
#include "standins.h"

namespace Review {
namespace {

auto withTrouble() -> bool
{
    const auto *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

auto route(const std::string &name, int timeoutMs, const std::string &prefix = "/puxa400/") -> Json
{
    return {{"name", name},
            {"host", "pule25.example"},
            {"path_prefix", prefix},
            {"route_type", "unsafe"},
            {"timeout_ms", timeoutMs},
            {"slo_ms", 600},
            {"priority", 0},
            {"service", "huvo11a"},
            {"max_attempts", 4},
            {"stretch", 1.6}};
}

auto manifest(int version, const Json &routes) -> std::string
{
    return Json{{"version", version},
                {"routes", routes},
                {"services",
                 {{{"name", "huvo11a"},
                   {"health_path", "/health"},
                   {"max_conns", 64},
                   {"protocol", "h1"},
                   {"tls", false},
                   {"rejects_overload", true},
                   {"spare", false}}}},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 262144},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000}}}}
        .dump();
}

auto step(int count, int estimateMs) -> Json
{
    return {{"count", count}, {"cpu", 1000}, {"mem_mb", 256}, {"est_duration_ms", estimateMs}};
}

auto job(const Json &steps) -> std::string
{
    return Json{{"spec", "review"}, {"steps", steps}}.dump();
}

auto jobId(int number) -> std::string
{
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", unsigned(::getpid()), unsigned(number));
    return text;
}

auto stateOf(const Reply &reply) -> std::string
{
    const auto body = Json::parse(reply.body, nullptr, false);
    return reply.status == 200 && body.is_object() ? body.value("state", std::string())
                                                   : std::string();
}

auto startUp(Scene &scene, int workers, const Json &routes) -> bool
{
    scene.startProcesses();
    if (scene.operatorCall("PUT", "/trefoilshelf/config", manifest(1, routes)).status != 200)
        return false;
    for (auto index = 0; index < workers; ++index)
        scene.addWorker("m-" + std::to_string(100 + index), "huvo11a");
    if (!scene.waitReady())
        return false;
    sleepMs(2500); // The workers announce themselves and are polled.
    return true;
}

auto conclude(Scene &scene, bool broken, const std::string &why) -> int
{
    scene.recorder.write((broken ? "BROKEN: " : "HELD: ") + why);
    std::cout << (broken ? "BROKEN: " : "HELD: ") << why << '\n';
    return broken ? exitBroken : exitHeld;
}

// An upkeep order without an answer is carried out late, after another process has begun to lead.
auto upkeepOfAnEarlierLeader(Scene &scene) -> int
{
    constexpr auto machines = 24;
    constexpr auto cap = 1;
    constexpr auto lateMs = 2500;
    constexpr auto catchUpMs = 4000;
    const auto trouble = withTrouble();
    scene.ending = [](const StartInfo &) { return Ending{1600, "done"}; };
    std::mutex mutex;
    std::string broken;
    std::string doomed;
    auto lateOrders = 0;
    std::atomic<int> phase = 0;
    scene.machines->late = [&](const std::string &, const std::string &holder)
        -> std::optional<std::int64_t> {
        const std::scoped_lock lock(mutex);
        if (!trouble || phase != 1 || scene.running() < machines / 2)
            return std::nullopt;
        phase = 2;
        ++lateOrders;
        doomed = holder;
        return lateMs;
    };
    scene.machines->upkeepBegins = [&](const std::string &machine, const std::set<std::string> &down) {
        const std::scoped_lock lock(mutex);
        if (int(down.size()) >= cap && broken.empty())
            broken = "the upkeep of " + machine + " began while " + *down.begin()
                     + " was down for its upkeep of the same wave, with cap 1";
    };
    if (!startUp(scene, machines, Json::array({route("r-1", 3000)})))
        return exitCouldNotRun;
    auto names = Json::array();
    for (auto index = 0; index < machines; ++index)
        names.push_back("m-" + std::to_string(100 + index));
    const Json wave{{"wave", 1}, {"machines", names}, {"duration_s", 60}, {"cap", cap}};
    if (scene.operatorCall("POST", "/trefoilshelf/wave-start", wave.dump()).status != 200)
        return exitCouldNotRun;
    const auto endMs = scene.recorder.nowMs() + 85'000;
    // The demand rises and falls by turns: each burst keeps most of the machines busy for 1.6 s.
    std::jthread callers([&](const std::stop_token &stop) {
        for (auto number = 1; !stop.stop_requested(); ++number) {
            auto tasks = step(machines - 3, 1600);
            tasks["cpu"] = 16000;
            scene.client(0, "POST", "/puxa400/" + jobId(number), job(Json::array({tasks})));
            for (auto waited = 0; waited < 4300 && !stop.stop_requested(); waited += 50)
                sleepMs(50);
        }
    });
    auto rounds = 0;
    while (scene.recorder.nowMs() < endMs && scene.machines->upkeeps < machines) {
        if (phase == 0 && scene.machines->upkeeps >= 1 && rounds < 6) {
            ++rounds;
            phase = 1;
        }
        if (phase == 2) {
            sleepMs(300);
            std::string holder;
            {
                const std::scoped_lock lock(mutex);
                holder = doomed;
            }
            auto *leader = scene.control(holder);
            if (leader == nullptr)
                return exitCouldNotRun;
            scene.recorder.write("kill -9 " + holder);
            leader->kill();
            sleepMs(3500);
            scene.recorder.write("start " + holder);
            leader->start();
            sleepMs(catchUpMs);
            phase = 0;
        }
        const std::scoped_lock lock(mutex);
        if (!broken.empty())
            break;
        sleepMs(20);
    }
    const std::scoped_lock lock(mutex);
    if (trouble && lateOrders == 0)
        return exitCouldNotRun;
    return conclude(scene,
                    !broken.empty(),
                    broken.empty() ? "no upkeep began while cap machines were down for theirs ("
                                         + std::to_string(scene.machines->upkeeps) + " upkeeps, "
                                         + std::to_string(lateOrders) + " late orders)"
                                   : broken);
}

// The leader is killed, and until the next one asks a worker ends more tasks than it lists at once.
auto manyEnds(Scene &scene) -> int
{
    constexpr auto tasks = 1600;
    constexpr auto durationMs = 6000;
    constexpr auto spreadMs = 400;
    std::atomic<std::int64_t> firstStartMs = -1;
    std::atomic<int> drawn = 0;
    // The tasks end within spreadMs, durationMs after the first start.
    scene.ending = [&](const StartInfo &info) {
        auto none = std::int64_t(-1);
        firstStartMs.compare_exchange_strong(none, info.atMs);
        const auto endsMs = firstStartMs + durationMs + drawn++ % spreadMs;
        return Ending{std::max<std::int64_t>(100, endsMs - info.atMs), "done"};
    };
    if (!startUp(scene, 2, Json::array({route("r-1", 3000)})))
        return exitCouldNotRun;
    auto many = step(tasks, durationMs);
    many["cpu"] = 20;
    many["mem_mb"] = 16;
    const auto path = "/puxa400/" + jobId(1);
    if (!scene.submit(path, job(Json::array({many}))))
        return exitCouldNotRun;
    const auto waitEndMs = scene.recorder.nowMs() + 20'000;
    while (scene.starts().empty() && scene.recorder.nowMs() < waitEndMs)
        sleepMs(5);
    if (scene.starts().empty())
        return exitCouldNotRun;
    sleepMs(std::max<std::int64_t>(0, firstStartMs + durationMs - 200 - scene.recorder.nowMs()));
    scene.recorder.write(std::to_string(scene.running()) + " tasks run");
    SystemProcess *leader = scene.leader();
    if (leader == nullptr)
        return exitCouldNotRun;
    if (withTrouble()) {
        scene.recorder.write("kill -9 " + leader->id());
        leader->kill();
        sleepMs(3500);
        scene.recorder.write("start " + leader->id());
        leader->start();
    }
    std::string state;
    const auto endMs = scene.recorder.nowMs() + 40'000;
    while (scene.recorder.nowMs() < endMs && state != "done") {
        sleepMs(500);
        state = stateOf(scene.client(0, "GET", path));
    }
    sleepMs(3000);
    const auto again = scene.startsAfterDone();
    if (scene.countEnds("done") < tasks || scene.lapses > 0)
        return exitCouldNotRun;
    return conclude(scene,
                    !again.empty(),
                    std::to_string(again.size())
                        + " starts of tasks whose run had ended done, with that end taken note of ("
                        + std::to_string(tasks) + " tasks, " + std::to_string(scene.starts().size())
                        + " starts)");
}

// A poll without a response is carried out after the worker has started again under its id.
auto pollOfAFormerLife(Scene &scene) -> int
{
    constexpr auto lateMs = 6000;
    const auto trouble = withTrouble();
    std::atomic<bool> second = false;
    std::atomic<int> drawn = 0;
    scene.ending = [&](const StartInfo &) {
        // The tasks of the second job end one after the other, from 1 s to 5 s after their starts.
        return second ? Ending{1000 + drawn++ % 800 * 5, "done"} : Ending{300, "done"};
    };
    std::mutex mutex;
    Json kept;
    std::atomic<std::int64_t> keptMs = -1;
    scene.keepsPoll = [&](const std::string &, const Json &poll) {
        const std::scoped_lock lock(mutex);
        if (!trouble || keptMs >= 0 || poll.value("last_seen", std::int64_t(0)) < 700)
            return false;
        kept = poll;
        keptMs = scene.recorder.nowMs();
        scene.recorder.write("worker: got hold " + poll.dump() + "; gives no answer and carries it out after "
                             + std::to_string(lateMs) + " ms");
        return true;
    };
    if (!startUp(scene, 1, Json::array({route("r-1", 3000)})))
        return exitCouldNotRun;
    const auto small = [](int count) {
        auto many = step(count, 1000);
        many["cpu"] = 20;
        many["mem_mb"] = 16;
        return job(Json::array({many}));
    };
    if (!scene.submit("/puxa400/" + jobId(1), small(800)))
        return exitCouldNotRun;
    const auto worker = scene.workers.front();
    auto endMs = scene.recorder.nowMs() + 20'000;
    while (scene.recorder.nowMs() < endMs && (trouble ? keptMs < 0 : scene.countSeen("done") < 800))
        sleepMs(5);
    if (trouble && keptMs < 0)
        return exitCouldNotRun;
    auto current = worker;
    if (trouble) {
        sleepMs(100);
        scene.recorder.write("worker " + worker->id() + " crashes");
        worker->end();
        sleepMs(1000);
        current = scene.restartWorker(worker);
    }
    sleepMs(1500);
    second = true;
    const auto path = "/puxa400/" + jobId(2);
    if (!scene.submit(path, small(800)))
        return exitCouldNotRun;
    if (trouble) {
        sleepMs(std::max<std::int64_t>(0, keptMs + lateMs - scene.recorder.nowMs()));
        current->carryOutLate(kept);
    }
    std::string state;
    endMs = scene.recorder.nowMs() + 30'000;
    while (scene.recorder.nowMs() < endMs && state != "done") {
        sleepMs(500);
        state = stateOf(scene.client(0, "GET", path));
    }
    sleepMs(2000);
    const auto again = scene.startsAfterDone();
    if (scene.lapses > 0 || state.empty())
        return exitCouldNotRun;
    return conclude(scene,
                    !again.empty(),
                    std::to_string(again.size())
                        + " starts of tasks whose run had ended done, with that end taken note of; the "
                          "job is shown as "
                        + state);
}

// The leader freezes while it records a service's only worker; it commits the record after its thaw.
auto lateRecord(Scene &scene) -> int
{
    constexpr auto freezeMs = 950;
    constexpr auto finishMs = 14'000;
    const auto trouble = withTrouble();
    scene.ending = [](const StartInfo &) { return Ending{300, "done"}; };
    if (!startUp(scene, 0, Json::array({route("r-1", 3000)})))
        return exitCouldNotRun;
    std::mt19937 engine(std::random_device{}());
    std::atomic<int> number = 0;
    std::vector<std::jthread> callers;
    for (auto index = 0; index < 4; ++index) {
        callers.emplace_back([&](const std::stop_token &stop) {
            auto small = step(1, 300);
            small["cpu"] = 10;
            small["mem_mb"] = 1;
            while (!stop.stop_requested()) {
                scene.client(0, "POST", "/puxa400/" + jobId(++number), job(Json::array({small})));
                sleepMs(25);
            }
        });
    }
    sleepMs(1000);
    const auto endMs = scene.recorder.nowMs() + 75'000;
    auto rounds = 0;
    auto idle = false;
    while (!idle && scene.recorder.nowMs() < endMs) {
        auto *leader = scene.leader();
        if (leader == nullptr) {
            sleepMs(300);
            continue;
        }
        ++rounds;
        const auto worker = scene.addWorker("m-" + std::to_string(100 + rounds), "huvo11a");
        sleepMs(2 + std::int64_t(engine() % 8));
        if (trouble) {
            scene.recorder.write("SIGSTOP " + leader->id());
            leader->sendSignal(SIGSTOP);
            sleepMs(freezeMs);
            scene.recorder.write("SIGCONT " + leader->id());
            leader->sendSignal(SIGCONT);
        }
        sleepMs(4500); // Longer than contact_ms, and three announcements of the worker.
        const auto before = scene.starts().size();
        sleepMs(500);
        idle = scene.starts().size() == before;
        if (idle)
            break;
        scene.recorder.write("worker " + worker->id() + " gets tasks, and ends");
        worker->end();
        sleepMs(500);
    }
    callers.clear();
    if (!idle)
        return conclude(scene, false, "each of " + std::to_string(rounds) + " new workers got tasks");
    scene.recorder.write("the traffic ends");
    sleepMs(finishMs);
    const auto before = scene.starts().size();
    sleepMs(3500);
    const auto state = stateOf(scene.client(0, "GET", "/puxa400/" + jobId(number)));
    if (state.empty())
        return exitCouldNotRun;
    return conclude(scene,
                    scene.starts().size() == before && state == "queued",
                    "the worker of round " + std::to_string(rounds)
                        + " is acknowledged and empty; 14 s after the end of the traffic no task was started "
                          "for 3.5 s, and a job is shown as "
                        + state);
}

// For some seconds another writer's entry, with a field missing, stands for a machine of a wave.
auto foreignEntry(Scene &scene) -> int
{
    constexpr auto machines = 8;
    constexpr auto foreignMs = 2500;
    const auto trouble = withTrouble();
    std::atomic<std::int64_t> sinceMs = -1;
    std::mutex mutex;
    std::set<std::string> begun;
    scene.machines->foreignEntry = [&](const std::string &machine) -> Json {
        const auto now = scene.recorder.nowMs();
        if (!trouble || machine != "m-107" || sinceMs < 0 || now > sinceMs + foreignMs)
            return {};
        return {{"machine", machine}, {"pool", "huvo11a"}, {"zone", "z1"}, {"labels", {"a", "r1"}}};
    };
    scene.machines->upkeepBegins = [&](const std::string &machine, const std::set<std::string> &) {
        const std::scoped_lock lock(mutex);
        begun.insert(machine);
    };
    if (!startUp(scene, machines, Json::array({route("r-1", 3000)})))
        return exitCouldNotRun;
    auto names = Json::array();
    for (auto index = 0; index < machines; ++index)
        names.push_back("m-" + std::to_string(100 + index));
    const Json wave{{"wave", 1}, {"machines", names}, {"duration_s", 40}, {"cap", 1}};
    if (scene.operatorCall("POST", "/trefoilshelf/wave-start", wave.dump()).status != 200)
        return exitCouldNotRun;
    sleepMs(4000);
    sinceMs = scene.recorder.nowMs();
    const auto endMs = scene.recorder.nowMs() + 60'000;
    auto done = false;
    while (!done && scene.recorder.nowMs() < endMs) {
        sleepMs(1000);
        const auto reply = scene.operatorCall("GET", "/trefoilshelf/wave-get/1", {});
        scene.recorder.write("operator: the wave is shown as " + stateOf(reply));
        done = stateOf(reply) == "done";
    }
    if (!done)
        return exitCouldNotRun;
    sleepMs(1000);
    const std::scoped_lock lock(mutex);
    return conclude(scene,
                    int(begun.size()) < machines,
                    "the wave is said to be done, and " + std::to_string(begun.size()) + " of its "
                        + std::to_string(machines) + " machines have begun their upkeep");
}

// A manifest replaces a route by one with another name at the same host and path prefix.
auto renamedRoute(Scene &scene) -> int
{
    scene.ending = [](const StartInfo &) { return Ending{40'000, "done"}; };
    if (!startUp(scene, 3, Json::array({route("r-anu6wsj", 3000)})))
        return exitCouldNotRun;
    const auto path = "/puxa400/" + jobId(1);
    if (!scene.submit(path, job(Json::array({step(2, 40'000)}))))
        return exitCouldNotRun;
    const auto acceptedMs = scene.recorder.nowMs();
    sleepMs(visibleMs + 1000);
    if (stateOf(scene.client(0, "GET", path)).empty())
        return exitCouldNotRun;
    const auto changed = withTrouble() ? route("r-b2ex5wa", 3000) : route("r-anu6wsj", 3500);
    if (scene.operatorCall("PUT", "/trefoilshelf/config", manifest(2, Json::array({changed}))).status
        != 200)
        return exitCouldNotRun;
    sleepMs(3000);
    auto gone = 0;
    for (std::size_t entry = 0; entry < scene.entryAddresses.size(); ++entry)
        gone += scene.client(entry, "GET", path).status == 410 ? 1 : 0;
    const auto askedMs = scene.recorder.nowMs();
    if (gone == 0) {
        const auto state = stateOf(scene.client(0, "GET", path));
        if (state.empty())
            return exitCouldNotRun;
        return conclude(scene, false, "the job is shown as " + state);
    }
    // What follows shows what the answer means for a caller that then cancels the job.
    const auto cancelled = scene.client(0, "DELETE", path).status;
    sleepMs(cancelMs + stopMs + 1000);
    std::size_t running = 0;
    for (const auto &worker : scene.workers)
        running += worker->runningTasks().size();
    return conclude(scene,
                    true,
                    std::to_string(gone) + " GETs for the job were answered 410, "
                        + std::to_string(askedMs - acceptedMs)
                        + " ms after it was accepted; DELETE was answered "
                        + std::to_string(cancelled) + ", and "
                        + std::to_string(cancelMs + stopMs + 1000) + " ms later "
                        + std::to_string(running) + " of its tasks still run");
}

// A manifest removes the route of a job whose task always fails.
auto removedRoute(Scene &scene) -> int
{
    constexpr auto maximumAttempts = 4;
    scene.ending = [](const StartInfo &) { return Ending{1500, "failed"}; };
    const auto other = route("r-other", 3000, "/other/");
    if (!startUp(scene, 4, Json::array({route("r-anu6wsj", 3000), other})))
        return exitCouldNotRun;
    const auto path = "/puxa400/" + jobId(1);
    if (!scene.submit(path, job(Json::array({step(1, 1500)}))))
        return exitCouldNotRun;
    const auto changed = withTrouble() ? Json::array({other})
                                       : Json::array({route("r-anu6wsj", 3500), other});
    if (scene.operatorCall("PUT", "/trefoilshelf/config", manifest(2, changed)).status != 200)
        return exitCouldNotRun;
    sleepMs(20'000);
    const auto starts = int(scene.starts().size());
    const auto failures = scene.countSeen("failed");
    scene.client(0, "GET", path);
    const auto text = std::to_string(starts) + " starts of one task, with "
                      + std::to_string(failures)
                      + " ends `failed` taken note of and max_attempts 4";
    if (starts == 0)
        return exitCouldNotRun;
    return conclude(scene, starts > maximumAttempts, text);
}

// Two of the workers of a gang fail all that they start, so that two members fail in one run.
auto gangFailsTwice(Scene &scene) -> int
{
    constexpr auto members = 24;
    constexpr auto maximumAttempts = 4;
    constexpr auto greyMs = 6000;
    scene.gangSize = members;
    std::mutex mutex;
    std::set<std::int64_t> runs;
    std::int64_t firstMs = -1;
    std::set<std::string> grey;
    scene.ending = [&](const StartInfo &info) {
        const std::scoped_lock lock(mutex);
        runs.insert(info.run);
        if (firstMs < 0)
            firstMs = info.atMs;
        const auto fails = grey.contains(info.worker) && info.atMs < firstMs + greyMs;
        return fails ? Ending{50, "failed"} : Ending{1500, "done"};
    };
    if (!startUp(scene, members, Json::array({route("r-1", 3000)})))
        return exitCouldNotRun;
    if (withTrouble()) {
        const std::scoped_lock lock(mutex);
        grey = {scene.workers[3]->id(), scene.workers[15]->id()};
    }
    auto gang = step(members, 1500);
    gang["gang"] = true;
    gang["cpu"] = 9000; // One member fits on each worker.
    const auto path = "/puxa400/" + jobId(1);
    if (!scene.submit(path, job(Json::array({gang}))))
        return exitCouldNotRun;
    std::string state;
    const auto endMs = scene.recorder.nowMs() + 30'000;
    while (scene.recorder.nowMs() < endMs && state != "done" && state != "failed") {
        sleepMs(500);
        state = stateOf(scene.client(0, "GET", path));
    }
    const std::scoped_lock lock(mutex);
    if (runs.empty() || (state != "done" && state != "failed"))
        return exitCouldNotRun;
    return conclude(scene,
                    state == "failed" && int(runs.size()) < maximumAttempts,
                    "the job is shown as " + state + " after " + std::to_string(runs.size())
                        + " runs of its gang, with max_attempts 4 ("
                        + std::to_string(scene.countSeen("failed")) + " ends `failed`)");
}

// An entry freezes with a hand-in that it has not answered; the client cancels the job elsewhere.
auto cancelBeforeThaw(Scene &scene) -> int
{
    constexpr auto freezeMs = 3500;
    constexpr auto givesUpMs = 300;
    scene.ending = [](const StartInfo &) { return Ending{1500, "done"}; };
    if (!startUp(scene, 3, Json::array({route("r-1", 3000)})))
        return exitCouldNotRun;
    const auto path = "/puxa400/" + jobId(1);
    auto steps = Json::array();
    for (auto index = 0; index < 4; ++index) {
        steps.push_back(step(1, 1500));
        if (index > 0)
            steps.back()["after"] = {index - 1};
    }
    const auto trouble = withTrouble();
    if (trouble) {
        scene.recorder.write("SIGSTOP front-1");
        scene.entries[0]->sendSignal(SIGSTOP);
    }
    const auto frozenMs = scene.recorder.nowMs();
    scene.client(0, "POST", path, job(steps), givesUpMs);
    Reply cancelled;
    for (auto attempt = 0; attempt < 5 && cancelled.status != 200 && cancelled.status != 410;
         ++attempt)
        cancelled = scene.client(1, "DELETE", path);
    const auto cancelledMs = scene.recorder.nowMs();
    if (cancelled.status != 200 && cancelled.status != 410)
        return exitCouldNotRun;
    if (trouble) {
        sleepMs(frozenMs + freezeMs - scene.recorder.nowMs());
        scene.recorder.write("SIGCONT front-1");
        scene.entries[0]->sendSignal(SIGCONT);
    }
    sleepMs(9000);
    scene.client(1, "GET", path);
    auto late = 0;
    for (const auto &start : scene.starts())
        late += start.atMs > cancelledMs + cancelMs ? 1 : 0;
    return conclude(scene,
                    late > 0,
                    std::to_string(late) + " tasks were started later than cancel_ms after DELETE was "
                        + "answered " + std::to_string(cancelled.status));
}

} // namespace
} // namespace Review

auto main(int argc, char **argv) -> int
{
    using namespace Review;
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3)
        return exitCouldNotRun;
    const std::map<std::string, std::pair<int, int (*)(Scene &)>> cases{
        {"upkeep-of-an-earlier-leader", {1, upkeepOfAnEarlierLeader}},
        {"many-ends", {1, manyEnds}},
        {"foreign-entry", {1, foreignEntry}},
        {"poll-of-a-former-life", {1, pollOfAFormerLife}},
        {"late-record", {1, lateRecord}},
        {"renamed-route", {2, renamedRoute}},
        {"removed-route", {1, removedRoute}},
        {"gang-fails-twice", {1, gangFailsTwice}},
        {"cancel-before-thaw", {2, cancelBeforeThaw}},
    };
    const auto found = cases.find(argv[1]);
    if (found == cases.end())
        return exitCouldNotRun;
    auto result = exitCouldNotRun;
    // The stand-ins end with this process, without waiting for their open calls.
    auto &scene = *new Scene(argv[2], 3, found->second.first);
    try {
        result = found->second.second(scene);
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << '\n';
    }
    scene.stopProcesses();
    std::cout.flush();
    std::_Exit(result);
}
