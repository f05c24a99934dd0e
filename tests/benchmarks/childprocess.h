#pragma once

#include "utils/fields.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

extern char **environ;

/*! \brief A process that a benchmark starts and kills; its standard error goes to a file. */
class ChildProcess
{
public:
    ChildProcess(std::vector<std::string> arguments, std::string logPath)
        : m_logPath(std::move(logPath))
    {
        std::vector<char *> pointers;
        for (auto &argument : arguments)
            pointers.push_back(argument.data());
        pointers.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        ::posix_spawn_file_actions_init(&actions);
        ::posix_spawn_file_actions_addopen(
            &actions, STDERR_FILENO, m_logPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
        ::posix_spawn(&m_pid, pointers.front(), &actions, nullptr, pointers.data(), environ);
        ::posix_spawn_file_actions_destroy(&actions);
    }
    ~ChildProcess()
    {
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
    }
    ChildProcess(const ChildProcess &) = delete;
    auto operator=(const ChildProcess &) -> ChildProcess & = delete;

    /*! \brief Waits until the log names the port of \a listener; returns 0 after 20 s. */
    auto port(const std::string &listener) const -> int
    {
        constexpr auto startTimeout = std::chrono::seconds(20);
        constexpr auto pollInterval = std::chrono::milliseconds(20);
        const auto deadline = std::chrono::steady_clock::now() + startTimeout;
        while (std::chrono::steady_clock::now() < deadline) {
            std::ifstream log(m_logPath);
            for (std::string line; std::getline(log, line);) {
                const auto json = Utils::Json::parse(line, nullptr, false);
                if (json.is_object() && json.value("listener", "") == listener)
                    return json.value("port", 0);
            }
            std::this_thread::sleep_for(pollInterval);
        }
        return 0;
    }
    /*! \brief Returns the processor time used so far, in seconds. */
    auto cpuSeconds() const -> double
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/stat");
        std::string text((std::istreambuf_iterator<char>(file)), {});
        std::istringstream fields(text.substr(text.rfind(')') + 2));
        std::string skipped;
        constexpr auto fieldsBeforeUserTime = 11;
        for (auto index = 0; index < fieldsBeforeUserTime; ++index)
            fields >> skipped;
        double user = 0;
        double system = 0;
        fields >> user >> system;
        return (user + system) / double(::sysconf(_SC_CLK_TCK));
    }
    auto residentKilobytes() const -> double
    {
        constexpr double kilobyte = 1024;
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * double(::sysconf(_SC_PAGESIZE)) / kilobyte;
    }

private:
    std::string m_logPath;
    pid_t m_pid = 0;
};

/*! \brief A folder for one benchmark's files, removed at its end. */
class BenchmarkFolder
{
public:
    BenchmarkFolder()
    {
        std::string pattern =
            (std::filesystem::temp_directory_path() / "benchmark-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    ~BenchmarkFolder() { std::filesystem::remove_all(m_path); }
    BenchmarkFolder(const BenchmarkFolder &) = delete;
    auto operator=(const BenchmarkFolder &) -> BenchmarkFolder & = delete;

    auto path(const std::string &name) const -> std::string { return m_path + '/' + name; }

    /*! \brief Writes settings of a process that runs alone on free ports; returns their path. */
    auto writeSettings(int endpointConnections) const -> std::string
    {
        const Utils::Json settings{{"id", "bench"},
                                   {"zone", "z1"},
                                   {"data_folder", path("data")},
                                   {"listen",
                                    {{"callers", "127.0.0.1:0"},
                                     {"endpoints", "127.0.0.1:0"},
                                     {"operators", "127.0.0.1:0"},
                                     {"peers", "127.0.0.1:0"}}},
                                   {"limits", {{"endpoint_connections", endpointConnections}}}};
        std::ofstream(path("settings.json")) << settings.dump();
        return path("settings.json");
    }

private:
    std::string m_path;
};
