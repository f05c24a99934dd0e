// Case: a leader that was frozen renews leases after its successor has begun to wait for their end.
#include "system.h"

#include <iostream>

using namespace Review;

namespace {

constexpr int nearWorkers = 8;
constexpr int farWorkers = 10;
constexpr std::int64_t freezeMs = 4400;
constexpr std::int64_t cutAfterMs = 400; // After the freeze.
constexpr std::int64_t cutMs = 5800;
constexpr auto taskMs = "90000";
// The leader's polls last 1.5 s, so that those of the near workers are spread over that time.
constexpr std::int64_t staggerMs = 190;

auto run(const std::string &program, const std::string &folder, const std::string &recordPath, bool trouble) -> int
{
    // Threads of stand-ins go on until the program ends, so that nothing is destroyed before.
    auto &record = *new Record(recordPath);
    auto &system = *new System(program, folder, record);
    if (!system.start(smallConfiguration()))
        return cannotRun;
    sleepMs(1500);
    const auto leader = system.leader();
    if (leader < 0)
        return cannotRun;
    const auto zone = System::zoneOf(leader);
    record.note("control-" + std::to_string(leader + 1) + " leads; its zone is " + zone);
    auto &near = *new std::vector<std::shared_ptr<Worker>>;
    for (int index = 0; index < nearWorkers; ++index) {
        const auto name = "near-" + std::to_string(index + 1);
        near.push_back(system.makeWorker(name, zone));
        if (!system.add(near.back()))
            return cannotRun;
        sleepMs(staggerMs);
    }
    sleepMs(2500);
    for (int index = 0; index < nearWorkers; ++index) {
        const Json job{{"spec", taskMs}, {"steps", {{{"count", 1}, {"cpu", 3000}, {"mem_mb", 256}, {"est_duration_ms", 90000}}}}};
        if (!system.submit("/jobs/" + jobId(0x1000 + index), job))
            return cannotRun;
    }
    for (int waited = 0; record.running() < nearWorkers && waited < 100; ++waited)
        sleepMs(100);
    for (int index = 0; index < farWorkers; ++index) {
        const auto name = "far-" + std::to_string(index + 1);
        auto worker = system.makeWorker(name, System::zoneOf((leader + 1) % 3));
        if (!system.add(worker))
            return cannotRun;
    }
    sleepMs(4000);
    if (record.running() != nearWorkers || system.leader() != leader)
        return cannotRun;
    const auto began = nowMs();
    if (trouble) {
        record.note("the machine of control-" + std::to_string(leader + 1) + " freezes");
        system.control(leader).signal(SIGSTOP);
    }
    sleepMs(began + cutAfterMs - nowMs());
    if (trouble) {
        record.note(zone + " is cut off from the other zones");
        for (auto &worker : near)
            worker->cutFromHigherThan(worker->fence());
    }
    sleepMs(began + freezeMs - nowMs());
    if (trouble) {
        record.note("the frozen machine wakes");
        system.control(leader).signal(SIGCONT);
    }
    sleepMs(began + cutAfterMs + cutMs - nowMs());
    if (trouble) {
        record.note("the cut heals");
        for (auto &worker : near)
            worker->heal();
    }
    sleepMs(5000);
    system.end();
    const auto broken = record.broken();
    record.note(std::to_string(broken.size()) + " breaks of the rule");
    for (const auto &text : broken)
        std::cout << text << std::endl;
    return broken.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5)
        return cannotRun;
    std::signal(SIGPIPE, SIG_IGN);
    // Processes that were started end with this program.
    std::_Exit(run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0"));
}
