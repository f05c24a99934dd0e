#include "runningprocess.h"

#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <thread>

namespace {

constexpr std::chrono::seconds startLimit{30};
constexpr std::chrono::milliseconds pollInterval{20};

auto settingsText(const std::filesystem::path &folder) -> std::string
{
    const std::string anyPort = "127.0.0.1:0";
    const Utils::Json json{{"id", "p1"},
                           {"zone", "z1"},
                           {"data_folder", (folder / "data").string()},
                           {"listen",
                            {{"callers", anyPort},
                             {"endpoints", anyPort},
                             {"operators", anyPort},
                             {"peers", anyPort}}},
                           {"log", {{"file", (folder / "log").string()}}},
                           {"timing", {{"lame_duck_ms", 300}}}};
    return json.dump();
}

} // namespace

RunningProcess::RunningProcess(const std::string &name)
    : m_folder(std::filesystem::temp_directory_path() / (name + std::to_string(::getpid())))
{
    std::filesystem::create_directories(m_folder);
    const auto settings = (m_folder / "settings.json").string();
    std::ofstream(settings) << settingsText(m_folder);
    m_pid = ::fork();
    if (m_pid == 0) {
        ::execl(TREFOILSHELF_BINARY,
                TREFOILSHELF_BINARY,
                "serve",
                "--settings",
                settings.c_str(),
                nullptr);
        ::_exit(127);
    }
}

RunningProcess::~RunningProcess()
{
    if (m_pid > 0) {
        sendSignal(SIGKILL);
        waitForExit();
    }
    std::filesystem::remove_all(m_folder);
}

auto RunningProcess::port(const std::string &listener) const -> int
{
    const auto end = std::chrono::steady_clock::now() + startLimit;
    while (std::chrono::steady_clock::now() < end) {
        std::ifstream log(m_folder / "log");
        for (std::string line; std::getline(log, line);) {
            const auto json = Utils::parseJsonText(line, false);
            if (json && json.value().value("listener", "") == listener)
                return json.value()["port"].get<int>();
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return 0;
}

auto RunningProcess::sendSignal(int signal) const -> void
{
    ::kill(m_pid, signal);
}

auto RunningProcess::waitForExit() -> int
{
    auto status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}
