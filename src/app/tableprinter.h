#pragma once

#include "utils/fields.h"

#include <iosfwd>

namespace App {

/*! \brief Prints an array of objects as a table of \a columns, an object as lines of key and value. */
auto printReadable(std::ostream &stream,
                   const Utils::Json &json,
                   const std::vector<std::string> &columns) -> void;

/*! \brief Prints the buffer plan: one row for each zone and pool, the shared reserves, the moves. */
auto printPlanReport(std::ostream &stream, const Utils::Json &plan, bool asCsv) -> void;

} // namespace App
