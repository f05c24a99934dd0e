#include "commandline.h"

#include "experimentcommand.h"
#include "operatorcommands.h"
#include "platformcommands.h"
#include "processcommands.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace App {

auto commandTable() -> std::span<const CommandEntry>
{
    static constexpr std::array commands{
        CommandEntry{"serve", "run one process of the system", &runServeCommand},
        CommandEntry{"entry", "run an entry process on the hosting platform", &runEntryCommand},
        CommandEntry{
            "control", "run a control process on the hosting platform", &runControlCommand},
        CommandEntry{"check", "check a settings file and print all its errors", &runCheckCommand},
        CommandEntry{"status", "show the state of the processes", &runStatusCommand},
        CommandEntry{"contract", "put, get or list contracts", &runContractCommand},
        CommandEntry{"pool", "put or list pools", &runPoolCommand},
        CommandEntry{"host", "list or show hosts", &runHostCommand},
        CommandEntry{"maintenance",
                     "start, show, pause or resume maintenance waves",
                     &runMaintenanceCommand},
        CommandEntry{"move", "list, approve or reject moves", &runMoveCommand},
        CommandEntry{
            "override", "decide in place of the planner, with a reason", &runOverrideCommand},
        CommandEntry{
            "autonomy", "set how much runs without operator approval", &runAutonomyCommand},
        CommandEntry{"voter", "add or replace a voter of the log", &runVoterCommand},
        CommandEntry{"audit", "show the audit trail", &runAuditCommand},
        CommandEntry{"plan", "show the buffer plan as a table or CSV", &runPlanCommand},
        CommandEntry{"explain", "explain a move, a host or waiting work", &runExplainCommand},
        CommandEntry{"fake-endpoint", "run a simulated endpoint", &runFakeEndpointCommand},
        CommandEntry{"experiment", "simulate a scenario of the fleet model", &runExperimentCommand},
        CommandEntry{"load", "send a limited load and report the results", &runLoadCommand},
        CommandEntry{"version", "print the version", &runVersionCommand},
    };
    return commands;
}

namespace {

auto printHelp(std::ostream &stream) -> void
{
    stream << "usage: trefoilshelf COMMAND [OPTIONS]\n\ncommands:\n";
    for (const auto &command : commandTable()) {
        constexpr std::size_t nameWidth = 16;
        std::string name(command.name);
        name.resize(std::max(nameWidth, name.size() + 1), ' ');
        stream << "  " << name << command.summary << '\n';
    }
}

} // namespace

auto runCommandLine(int argc, char **argv) -> int
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "-h" || name == "help") {
        printHelp(std::cout);
        return exitDone;
    }
    const auto commands = commandTable();
    const auto found = std::ranges::find(commands, name, &CommandEntry::name);
    if (found == commands.end()) {
        printHelp(std::cerr);
        return exitUsage;
    }
    return found->run(argc - 1, argv + 1);
}

} // namespace App
