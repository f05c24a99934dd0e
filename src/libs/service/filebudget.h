#pragma once

#include <cstdint>

namespace Service {

/*! \brief How many of a process's open files each use may take. */
struct FileBudget
{
    std::int64_t kept = 0;      //!< For the log, snapshots, and connections between own processes.
    std::int64_t endpoints = 0; //!< Connections to endpoints.
    std::int64_t listener = 0;  //!< Accepted connections of callers, or of endpoints and operators.
};

/*!
    \brief Divides \a openFiles among the uses of a process.

    Answers fleets that grow until one use would take the files of the others: a process without a
    file for its log or its peers could not go on.
*/
auto budgetOf(std::int64_t openFiles) -> FileBudget;

} // namespace Service
