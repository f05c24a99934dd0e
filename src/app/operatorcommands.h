#pragma once

namespace App {

auto runStatusCommand(int argc, char **argv) -> int;
auto runContractCommand(int argc, char **argv) -> int;
auto runPoolCommand(int argc, char **argv) -> int;
auto runOverrideCommand(int argc, char **argv) -> int;
auto runPlanCommand(int argc, char **argv) -> int;
auto runExplainCommand(int argc, char **argv) -> int;
auto runVoterCommand(int argc, char **argv) -> int;
auto runHostCommand(int argc, char **argv) -> int;
auto runMaintenanceCommand(int argc, char **argv) -> int;
auto runMoveCommand(int argc, char **argv) -> int;
auto runAutonomyCommand(int argc, char **argv) -> int;
auto runAuditCommand(int argc, char **argv) -> int;

} // namespace App
