#pragma once

namespace App {

/*! \brief Simulates a scenario of the fleet model and prints the results per queue as CSV. */
auto runExperimentCommand(int argc, char **argv) -> int;

} // namespace App
