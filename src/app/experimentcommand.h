#pragma once

namespace App {

/*! \brief Plays a scenario of the fleet model and prints what callers got, as CSV. */
auto runExperimentCommand(int argc, char **argv) -> int;

} // namespace App
