// Stand-ins for the cases of the review: workers, the platform of machines, the operator and
// clients, as the users' pages describe them, and the system's own processes as child processes.
#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <fcntl.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

// The bounds of the small sites that the cases use (SYSTEM.md).
constexpr int maxHoldMs = 6000;
constexpr int stopMs = 200;
constexpr int visibleMs = 3000;
constexpr int cancelMs = 3000;
constexpr int upkeepMs = 2000;
constexpr int gangTimeoutMs = 3000;
constexpr int clientTimeLimitMs = 3000;
constexpr int heartbeatMs = 1500;

inline auto sleepMs(std::int64_t ms) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline auto wallMs() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Writes what was sent, answered and run to the record of the case.
class Recorder
{
public:
    explicit Recorder(const std::string &path)
        : m_file(path)
    {}
    auto nowMs() const -> std::int64_t
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_began).count();
    }
    auto write(const std::string &line) -> void
    {
        const std::scoped_lock lock(m_mutex);
        m_file << nowMs() << " ms  " << line << std::endl;
    }

private:
    const Clock::time_point m_began = Clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

// One process of the system, started with the command of the deploy file.
class SystemProcess
{
public:
    SystemProcess(std::string role, Json settings, std::filesystem::path folder);
    ~SystemProcess() { kill(); }
    auto start() -> void;
    auto sendSignal(int signal) -> void;
    auto kill() -> void;
    auto id() const -> std::string { return m_settings["id"]; }
    auto isRunning() const -> bool { return m_pid > 0; }

private:
    std::string m_role;
    Json m_settings;
    std::filesystem::path m_folder;
    pid_t m_pid = 0;
};

// How a run ends on a worker: after how many ms, and with which word.
struct Ending
{
    std::int64_t afterMs = 0;
    std::string how = "done";
};

struct StartInfo
{
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    std::int64_t atMs = 0;
};

class Scene;

// A worker: one life of a machine.
class Worker
{
public:
    Worker(Scene &scene, std::string id, std::string machine, std::string ip, std::string service);
    ~Worker();
    auto start() -> void;
    // Everything that runs ends at once, and nothing answers any more.
    auto end() -> void;
    auto id() const -> const std::string & { return m_id; }
    auto machine() const -> const std::string & { return m_machine; }
    auto ip() const -> const std::string & { return m_ip; }
    auto runningTasks() -> std::vector<std::string>;
    auto service() const -> const std::string & { return m_service; }
    // Carries out a poll whose caller no longer waits for the response.
    auto carryOutLate(const Json &poll) -> void;

private:
    struct Run
    {
        std::int64_t number = 0;
        std::int64_t endsMs = 0;
        std::string how;
        std::int64_t stopsMs = 0;
        bool gang = false;
        bool together = false;
        std::int64_t startedMs = 0;
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };
    friend class Scene;

    auto serve() -> void;
    auto beat() -> void;
    auto work() -> void;
    auto clockMs() const -> std::int64_t;
    auto handle(const std::string &path, const httplib::Request &request, httplib::Response &response)
        -> void;
    auto startRun(const Json &body, httplib::Response &response) -> void;
    auto stopRun(const Json &body, httplib::Response &response) -> void;
    auto hold(const Json &body, httplib::Response &response) -> void;
    auto answer(httplib::Response &response, int status, Json body) const -> void;
    auto endRun(const std::string &task, const std::string &how) -> void;
    auto extendLease(const Json &body) -> void;
    auto forgetEnds(const Json &body) -> void;

    Scene &m_scene;
    const std::string m_id;
    const std::string m_machine;
    const std::string m_ip;
    const std::string m_service;
    const std::int64_t m_bornMs = wallMs();
    const Clock::time_point m_began = Clock::now();
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_alive = true;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEndMs = 0;
    bool m_lapsed = true; // No lease was given yet.
    std::int64_t m_ends = 0;
    std::int64_t m_sequence = 0;
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::int64_t> m_highestRun;
    std::vector<End> m_unseenEnds;
    httplib::Server m_server;
    std::vector<std::thread> m_threads;
};

// The platform's interface for machines.
class Machines
{
public:
    explicit Machines(Scene &scene);
    ~Machines();
    auto start() -> void;
    auto add(const std::string &machine, const std::shared_ptr<Worker> &worker) -> void;
    // Called with the call's machine; returns after how many ms the call is carried out without an
    // answer, or nothing for a call that is answered at once.
    std::function<std::optional<std::int64_t>(const std::string &machine, const std::string &holder)>
        late;
    // Called when an upkeep begins, with the machines of the wave that are down for it then.
    std::function<void(const std::string &machine, const std::set<std::string> &down)> upkeepBegins;
    // Returns what the list holds for the machine instead of its own entry, or null for that entry.
    std::function<Json(const std::string &machine)> foreignEntry;
    std::atomic<int> upkeeps = 0;

private:
    struct Machine
    {
        std::string state = "up";
        std::shared_ptr<Worker> worker;
        std::int64_t fence = 0;
        std::set<std::int64_t> maintainedFor;
    };
    auto upkeep(const httplib::Request &request, httplib::Response &response) -> void;
    // Returns the status and the reason.
    auto carryOut(const std::string &machine, std::int64_t wave, std::int64_t fence)
        -> std::pair<int, std::string>;
    auto list(httplib::Response &response) -> void;

    Scene &m_scene;
    std::mutex m_mutex;
    bool m_stopping = false;
    std::map<std::string, Machine> m_machines;
    httplib::Server m_server;
    std::vector<std::thread> m_threads;
    std::mutex m_threadsMutex;
};

struct Reply
{
    int status = 0; // 0 if there was no response.
    std::string body;
};

// A small deployment on loopback addresses with all its stand-ins.
class Scene
{
public:
    Scene(std::string recordFolder, int controls, int entries);

    auto startProcesses() -> void;
    auto addWorker(const std::string &machine, const std::string &service) -> std::shared_ptr<Worker>;
    auto freshWorker(const std::string &machine, const std::string &service)
        -> std::shared_ptr<Worker>;
    // Sends the order as the operator does: to any control process, with up to two redirects, again
    // until there is a clear answer. Returns the last status.
    auto operatorCall(const std::string &method,
                      const std::string &path,
                      const std::string &body,
                      int seconds = 15) -> Reply;
    // One request of a client to the given entry.
    auto client(std::size_t entry,
                const std::string &method,
                const std::string &path,
                const std::string &body = {},
                int timeLimitMs = clientTimeLimitMs) -> Reply;
    // Repeats a hand-in with the same id until it is answered; returns true if it was accepted.
    auto submit(const std::string &path, const std::string &body, int seconds = 12) -> bool;
    auto waitReady(int seconds = 20) -> bool;
    // Starts the worker again under its id, at its address, as another life of its machine.
    auto restartWorker(const std::shared_ptr<Worker> &worker) -> std::shared_ptr<Worker>;
    // The control process that answers a read of the manifest itself.
    auto leader() -> SystemProcess *;
    auto control(const std::string &id) -> SystemProcess *;

    auto started(const StartInfo &info) -> void;
    auto ended(const std::string &worker,
               const std::string &task,
               std::int64_t run,
               const std::string &how) -> void;
    auto seen(const std::string &worker, const std::string &task, std::int64_t run, const std::string &how)
        -> void;
    auto starts() -> std::vector<StartInfo>;
    // The number of tasks that run now, on all workers.
    auto running() -> int;
    // Starts of tasks that had ended `done` before, where that end was taken note of and the lease of
    // the worker that reported it did not lapse.
    auto startsAfterDone() -> std::vector<std::string>;
    auto countEnds(const std::string &how) -> int;
    auto countSeen(const std::string &how) -> int;
    // Ends all processes of the system and removes their folders.
    auto stopProcesses() -> void;

    Recorder recorder;
    std::vector<std::unique_ptr<SystemProcess>> controls;
    std::vector<std::unique_ptr<SystemProcess>> entries;
    std::vector<std::string> controlAddresses;
    std::vector<std::string> entryAddresses;
    std::vector<std::string> readyAddresses;
    std::vector<std::shared_ptr<Worker>> workers;
    std::unique_ptr<Machines> machines;
    std::function<Ending(const StartInfo &)> ending;
    std::atomic<int> lapses = 0; // Leases of workers that lapsed.
    // Called with each poll; returns true if the worker leaves it without a response.
    std::function<bool(const std::string &worker, const Json &poll)> keepsPoll;
    int gangSize = 0; // Members of each gang; 0 if no task belongs to one.
    std::string clientHost = "pule25.example";

private:
    friend class Worker;
    friend class Machines;
    auto gangStarted(const std::string &task, std::int64_t run) -> void;
    // When all members of the gang's run were present, and when the first of them ended; -1 if not yet.
    auto gangTimes(const std::string &task, std::int64_t run)
        -> std::pair<std::int64_t, std::int64_t>;

    struct Gang
    {
        int members = 0;
        std::int64_t completeMs = -1;
        std::int64_t endedMs = -1;
    };

    std::filesystem::path m_folder;
    std::string m_network;
    std::mutex m_mutex;
    std::vector<StartInfo> m_starts;
    int m_running = 0;
    struct Done
    {
        std::int64_t atMs = 0;
        bool seen = false;
    };
    std::map<std::string, std::map<std::int64_t, Done>> m_done; //!< By task and run.
    std::map<std::string, int> m_ends;
    std::map<std::string, int> m_seen;
    std::map<std::string, Gang> m_gangs;
    std::atomic<std::int64_t> m_nextWorker = 0;
    std::atomic<std::size_t> m_nextControl = 0;
};

inline auto stepOf(const std::string &task) -> std::string
{
    return task.substr(0, task.rfind('.'));
}

} // namespace Review
