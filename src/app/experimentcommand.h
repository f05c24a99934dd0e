#pragma once

namespace App {

/*! \brief Plays a scenario of the fleet model and prints what callers got, as a table or CSV. */
auto runExperimentCommand(int argc, char **argv) -> int;

} // namespace App
