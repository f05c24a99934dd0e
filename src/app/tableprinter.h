#pragma once

#include "utils/fields.h"

#include <iosfwd>

namespace App {

/*! \brief Prints an array of objects as a table of \a columns, an object as key-value lines. */
auto printReadable(std::ostream &stream,
                   const Utils::Json &json,
                   const std::vector<std::string> &columns) -> void;

/*! \brief Prints one row per zone and pool of the buffer plan; unless as CSV, also the moves. */
auto printPlanReport(std::ostream &stream, const Utils::Json &plan, bool asCsv) -> void;

} // namespace App
