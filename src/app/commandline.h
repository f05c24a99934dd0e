#pragma once

#include <span>
#include <string>
#include <string_view>

namespace App {

constexpr auto exitDone = 0;
constexpr auto exitRefused = 1;
constexpr auto exitUsage = 2;
constexpr auto exitEscalated = 3; //!< The process stopped because a part of it failed too often.

/*! \brief Command of the command line. */
struct CommandEntry
{
    std::string_view name;
    std::string_view summary;
    int (*run)(int argc, char **argv);
};

/*! \brief Returns all commands, in the order of the help text. */
auto commandTable() -> std::span<const CommandEntry>;

/*! \brief Runs the command named by the first argument; returns the exit code. */
auto runCommandLine(int argc, char **argv) -> int;

} // namespace App
