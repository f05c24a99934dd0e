#pragma once

#include "utils/fields.h"

#include <filesystem>
#include <string>
#include <sys/types.h>

namespace Soak {

/*! \brief A process of the product, which is started again with the same settings and disk. */
class SystemProcess
{
public:
    /*! \brief Its files live in \a folder; \a role is the command that it runs. */
    SystemProcess(std::string role, Utils::Json settings, std::filesystem::path folder);
    ~SystemProcess();
    SystemProcess(const SystemProcess &) = delete;
    auto operator=(const SystemProcess &) -> SystemProcess & = delete;

    auto start() -> void;
    auto sendSignal(int signal) -> void;
    /*! \brief Ends it at once, as a loss of power would end the process. */
    auto kill() -> void;
    /*! \brief Removes its disk; it must not run. */
    auto wipe() -> void;
    auto isRunning() const -> bool { return m_pid > 0; }
    /*! \brief Takes note of an end; returns true if it ended now. */
    auto hasEnded() -> bool;
    /*! \brief Set once it has been told to end; an end before that is a fault of the product. */
    auto wasToldToEnd() const -> bool { return m_toldToEnd; }
    /*! \brief Tells how the process that has ended last did so. */
    auto lastEnd() const -> std::string;
    auto id() const -> std::string { return m_settings["id"].get<std::string>(); }

private:
    std::string m_role;
    Utils::Json m_settings;
    std::filesystem::path m_folder;
    pid_t m_pid = 0;
    bool m_toldToEnd = false;
    int m_lastStatus = 0; //!< As waitpid() gives it.
};

} // namespace Soak
