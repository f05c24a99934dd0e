// The project's own processes, started with the commands of the deploy file, and the stand-ins of the
// operator, of clients and of the infrastructure's list of machines.
#pragma once

#include "worker.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <csignal>
#include <filesystem>

namespace Review {

constexpr int cannotRun = 2;

class Process
{
public:
    Process(std::string program, std::string role, Json settings, std::filesystem::path folder)
        : m_program(std::move(program))
        , m_role(std::move(role))
        , m_settings(std::move(settings))
        , m_folder(std::move(folder))
    {
        std::filesystem::create_directories(m_folder);
        if (m_role == "control")
            m_settings["data_folder"] = (m_folder / "data").string();
    }
    ~Process() { kill(); }

    auto start() -> void
    {
        const auto path = (m_folder / "settings.json").string();
        std::ofstream(path) << m_settings.dump();
        m_settings["first_start"] = false; // True at the first start of the whole system only.
        const auto log = (m_folder / "log").string();
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::setenv("TREFOILSHELF_CONFIG", path.c_str(), 1);
        ::execl(m_program.c_str(), m_program.c_str(), m_role.c_str(), nullptr);
        ::_exit(127);
    }
    auto signal(int number) -> void
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    auto kill() -> void
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }
    auto wipe() -> void { std::filesystem::remove_all(m_folder / "data"); }
    // Returns true if the process has ended by itself.
    auto hasEnded() -> bool
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return false;
        m_pid = 0;
        return true;
    }
    auto pid() const -> pid_t { return m_pid; }
    auto folder() const -> const std::filesystem::path & { return m_folder; }

private:
    std::string m_program;
    std::string m_role;
    Json m_settings;
    std::filesystem::path m_folder;
    pid_t m_pid = 0;
};

class System
{
public:
    static constexpr int controls = 3;

    System(const std::string &program, std::filesystem::path folder, Record &record)
        : m_program(program)
        , m_folder(std::move(folder))
        , m_record(record)
    {
        const auto number = ::getpid() % 62'000;
        m_network = "127." + std::to_string(1 + number / 250) + '.' + std::to_string(1 + number % 250) + '.';
    }

    // Starts the processes, and hands in the configuration. Returns false if that does not work.
    auto start(const Json &configuration, int entries = 1) -> bool
    {
        if (!m_machines.start(m_network + "100:0", [this](const Request &request) { return serveMachines(request); }))
            return false;
        for (int index = 0; index < controls; ++index)
            add("control", index);
        for (int index = 0; index < entries; ++index)
            add("entry", index);
        for (auto &process : m_processes)
            process->start();
        return put(configuration);
    }
    auto put(const Json &configuration) -> bool
    {
        const auto end = nowMs() + 20'000;
        for (std::size_t next = 0; nowMs() < end; ++next) {
            const auto reply = callFollowing(
                m_controls[next % m_controls.size()], "PUT", "/trefoilshelf/config", configuration.dump(), 1000);
            if (reply.status == 200) {
                m_record.note("operator: configuration " + configuration["version"].dump() + " is confirmed");
                return true;
            }
            sleepMs(100);
        }
        return false;
    }
    // Returns the index of the control process that leads, or -1.
    auto leader() -> int
    {
        for (int index = 0; index < controls; ++index) {
            if (call(m_controls[std::size_t(index)], "GET", "/trefoilshelf/config", {}, {}, 1500).status == 200)
                return index;
        }
        return -1;
    }
    auto control(int index) -> Process & { return *m_processes[std::size_t(index)]; }
    auto entry(int index) -> Process & { return *m_processes[std::size_t(controls + index)]; }
    auto controlAddresses() const -> const std::vector<std::string> & { return m_controls; }
    auto entryAddresses() const -> const std::vector<std::string> & { return m_entries; }
    auto network() const -> const std::string & { return m_network; }
    static auto zoneOf(int control) -> std::string { return "zone-" + std::to_string(control + 1); }

    // Hands a job in until it is accepted.
    auto submit(const std::string &target, const Json &job) -> bool
    {
        const auto end = nowMs() + 15'000;
        for (std::size_t next = 0; nowMs() < end; ++next) {
            const auto reply = client("POST", target, job.dump(), next);
            if (reply.status == 200)
                return true;
            sleepMs(200);
        }
        return false;
    }
    auto client(const std::string &method, const std::string &target, const std::string &body, std::size_t entry = 0)
        -> Reply
    {
        const auto reply = call(m_entries[entry % m_entries.size()], method, target, "queue.example", body, 3000);
        m_record.note("client: " + method + ' ' + target + " -> " + std::to_string(reply.status) + ' '
                      + reply.body.substr(0, 60));
        return reply;
    }
    auto add(std::shared_ptr<Worker> worker) -> bool
    {
        if (!worker->start())
            return false;
        const std::lock_guard lock(m_mutex);
        m_workers.push_back(std::move(worker));
        return true;
    }
    auto makeWorker(const std::string &name, const std::string &zone) -> std::shared_ptr<Worker>
    {
        return std::make_shared<Worker>(optionsOf(name, zone), m_record);
    }
    auto optionsOf(const std::string &name, const std::string &zone) const -> WorkerOptions
    {
        WorkerOptions options;
        options.id = "i-" + name;
        options.machine = "m-" + name;
        options.zone = zone;
        options.controls = m_controls;
        options.address = m_network + "101:0";
        return options;
    }
    // The machine of the worker lists this life of it from now on.
    auto replace(const std::shared_ptr<Worker> &former, std::shared_ptr<Worker> worker) -> bool
    {
        const std::lock_guard lock(m_mutex);
        std::erase(m_workers, former);
        m_workers.push_back(worker);
        return worker->start();
    }
    auto end() -> void
    {
        for (auto &process : m_processes)
            process->kill();
    }

private:
    auto add(const std::string &role, int index) -> void
    {
        const auto ip = m_network + std::to_string(m_processes.size() + 1);
        const auto isControl = role == "control";
        auto seeds = Json::array();
        for (int seed = 1; seed <= controls; ++seed)
            seeds.push_back(m_network + std::to_string(seed) + ":8623");
        Json listen{{"metrics", ip + ":9100"}};
        if (isControl) {
            listen["control"] = ip + ":8623";
        } else {
            listen["callers"] = ip + ":8624";
            listen["readiness"] = ip + ":8622";
        }
        // As platform/settings.json.template renders the settings of a small installation.
        const Json settings{{"id", role + '-' + std::to_string(index + 1)},
                            {"zone", zoneOf(index % controls)},
                            {"ip", ip},
                            {"listen_ip", ip},
                            {"seeds", seeds},
                            {"first_start", true},
                            {"first_link_port", 7060},
                            {"listen", listen},
                            {"open_files", 1000},
                            {"memory_mb", 256},
                            {"tolerated_losses", 1},
                            {"hosts_address", m_machines.address()},
                            {"host_orders_per_s", 64.0},
                            {"advice_address", ""},
                            {"maximum_lease_ms", 6000},
                            {"far_factor", 3.0},
                            {"longest_stop_ms", 400},
                            {"stop_grace_s", 6}};
        m_processes.push_back(std::make_unique<Process>(
            m_program, role, settings, m_folder / (role + '-' + std::to_string(index + 1))));
        (isControl ? m_controls : m_entries).push_back(ip + (isControl ? ":8623" : ":8624"));
    }
    auto serveMachines(const Request &request) -> std::optional<Reply>
    {
        if (!request.target.starts_with("/trefoilshelf/machines"))
            return Reply{409, {}, R"({"reason":"busy"})"};
        Json machines = Json::array();
        const std::lock_guard lock(m_mutex);
        for (const auto &worker : m_workers)
            machines.push_back(worker->listing());
        return Reply{200, {}, Json{{"machines", machines}, {"next_token", ""}}.dump()};
    }

    std::string m_program;
    std::filesystem::path m_folder;
    Record &m_record;
    std::string m_network;
    Server m_machines;
    std::vector<std::unique_ptr<Process>> m_processes; // Control processes first.
    std::vector<std::string> m_controls;
    std::vector<std::string> m_entries;
    std::mutex m_mutex;
    std::vector<std::shared_ptr<Worker>> m_workers;
};

inline auto smallConfiguration(std::int64_t version = 1) -> Json
{
    const Json route{{"name", "r-1"},
                     {"host", "queue.example"},
                     {"path_prefix", "/jobs/"},
                     {"route_type", "unsafe"},
                     {"timeout_ms", 3000},
                     {"slo_ms", 600},
                     {"priority", 0},
                     {"service", "work"},
                     {"max_attempts", 4},
                     {"stretch", 1.6}};
    const Json service{{"name", "work"},
                       {"health_path", "/health"},
                       {"max_conns", 64},
                       {"protocol", "h1"},
                       {"tls", false},
                       {"rejects_overload", true},
                       {"spare", false}};
    return {{"version", version},
            {"routes", Json::array({route})},
            {"services", Json::array({service})},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 262144},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

// Returns a job id of 16 hexadecimal digits.
inline auto jobId(std::int64_t number) -> std::string
{
    char text[32];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

} // namespace Review
