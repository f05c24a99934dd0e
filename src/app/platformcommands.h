#pragma once

namespace App {

/*! \brief Runs an entry process on the hosting platform; returns the exit code. */
auto runEntryCommand(int argc, char **argv) -> int;
/*! \brief Runs a control process on the hosting platform; returns the exit code. */
auto runControlCommand(int argc, char **argv) -> int;

} // namespace App
