#include "systemprocess.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

namespace Soak {

SystemProcess::SystemProcess(std::string role, Utils::Json settings, std::filesystem::path folder)
    : m_role(std::move(role))
    , m_settings(std::move(settings))
    , m_folder(std::move(folder))
{
    std::filesystem::create_directories(m_folder);
    if (m_role == "control")
        m_settings["data_folder"] = (m_folder / "data").string();
}

SystemProcess::~SystemProcess()
{
    kill();
}

auto SystemProcess::start() -> void
{
    m_endRequested = false;
    const auto settings = (m_folder / "settings.json").string();
    std::ofstream(settings) << m_settings.dump();
    // Later starts find the data folder of the first start.
    m_settings["first_start"] = false;
    const auto log = (m_folder / "log").string();
    m_pid = ::fork();
    if (m_pid != 0)
        return;
    // The kernel ends the process when the soak ends, also when the soak crashes.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::setenv("TREFOILSHELF_CONFIG", settings.c_str(), 1);
    ::execl(TREFOILSHELF_BINARY, TREFOILSHELF_BINARY, m_role.c_str(), nullptr);
    ::_exit(127);
}

auto SystemProcess::sendSignal(int signal) -> void
{
    if (m_pid <= 0)
        return;
    m_endRequested = m_endRequested || signal == SIGTERM || signal == SIGKILL;
    ::kill(m_pid, signal);
}

auto SystemProcess::kill() -> void
{
    if (m_pid <= 0)
        return;
    sendSignal(SIGKILL);
    auto status = 0;
    ::waitpid(m_pid, &status, 0);
    m_pid = 0;
}

auto SystemProcess::wipe() -> void
{
    std::filesystem::remove_all(m_folder / "data");
}

auto SystemProcess::hasEnded() -> bool
{
    auto status = 0;
    if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return false;
    m_pid = 0;
    m_lastStatus = status;
    return true;
}

auto SystemProcess::lastEnd() const -> std::string
{
    return WIFSIGNALED(m_lastStatus) ? "signal " + std::to_string(WTERMSIG(m_lastStatus))
                                     : "exit code " + std::to_string(WEXITSTATUS(m_lastStatus));
}

} // namespace Soak
