// Case: a start that got no answer is carried out by the worker's next life, while the task runs elsewhere.
#include "system.h"

#include <iostream>

using namespace Review;

namespace {

constexpr int otherWorkers = 8;
constexpr std::int64_t crashAfterMs = 4000;
constexpr std::int64_t backAfterMs = 5000;
constexpr std::int64_t lateAfterMs = 5300; // The order is carried out between 2 and 12 s after it was sent.
constexpr std::int64_t firstPingMs = 1000;
constexpr auto taskMs = "30000";

auto run(const std::string &program, const std::string &folder, const std::string &recordPath, bool trouble) -> int
{
    // Threads of stand-ins go on until the program ends, so that nothing is destroyed before.
    auto &record = *new Record(recordPath);
    auto &system = *new System(program, folder, record);
    if (!system.start(smallConfiguration()))
        return cannotRun;
    sleepMs(1500);
    auto first = system.makeWorker("z0", System::zoneOf(0));
    auto &lost = *new Request;
    auto &lostAt = *new std::atomic<std::int64_t>(0);
    if (trouble)
        first->isLost = [&](const Request &request) {
            if (request.target != "/trefoilshelf/run-start" || lostAt != 0)
                return false;
            lost = request;
            lostAt = nowMs();
            record.note("i-z0: no answer to " + request.target + ' ' + request.body);
            return true;
        };
    if (!system.add(first))
        return cannotRun;
    sleepMs(3000);
    const Json job{{"spec", taskMs},
                   {"steps", {{{"count", 1}, {"cpu", 1000}, {"mem_mb", 256}, {"est_duration_ms", 30000}}}}};
    if (!system.submit("/jobs/" + jobId(0x1000), job))
        return cannotRun;
    const auto orderedAt = nowMs();
    for (int index = 1; index <= otherWorkers; ++index) {
        if (!system.add(system.makeWorker("w" + std::to_string(index), System::zoneOf(index % 3))))
            return cannotRun;
    }
    sleepMs(orderedAt + crashAfterMs - nowMs());
    if (trouble) {
        if (lostAt == 0 || record.running() != 1 || first->runs() != 0)
            return cannotRun;
        record.note("i-z0 crashes");
        first->crash();
    }
    sleepMs(orderedAt + backAfterMs - nowMs());
    if (trouble) {
        auto options = system.optionsOf("z0", System::zoneOf(0));
        options.address = first->address();
        options.firstPingMs = firstPingMs;
        auto next = std::make_shared<Worker>(options, record);
        record.note("i-z0 starts again under its id and at its address");
        if (!system.replace(first, next))
            return cannotRun;
        sleepMs(orderedAt + lateAfterMs - nowMs());
        record.note("i-z0 carries the order out, " + std::to_string(nowMs() - lostAt) + " ms after it was sent");
        const auto reply = next->carryOutLate(lost);
        record.note("i-z0 would answer " + std::to_string(reply.status) + ' ' + reply.body);
    }
    sleepMs(orderedAt + 15'000 - nowMs());
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
