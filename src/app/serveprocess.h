#pragma once

#include "settings/settings.h"
#include "utils/stopsignal.h"

#include <memory>

namespace App {

/*! \brief Running process of the system with its listeners, its log and its supervised tasks. */
class ServeProcess
{
public:
    explicit ServeProcess(Settings::Settings settings);
    ~ServeProcess();

    /*! \brief Starts all parts in the order of their dependencies. */
    auto start() -> Utils::Result<void>;
    /*! \brief Makes the readiness probe fail and asks callers to end their connections. */
    auto beginStop() -> void;
    /*! \brief Returns true if a part failed so often that the process must stop. */
    auto hasEscalated() const -> bool;
    /*! \brief Stops all parts: first the listeners, which finish their requests in flight. */
    auto stop() -> void;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

/*! \brief Runs a process until SIGTERM or SIGINT; returns the exit code. */
auto runServe(const Settings::Settings &settings) -> int;

} // namespace App
