#pragma once

#include <cstdint>

namespace Service {

/*! \brief Number of open files that each purpose may use within one process. */
struct FileBudget
{
    std::int64_t reserved =
        0; //!< Files for the log, snapshots and links to entry processes and control processes.
    std::int64_t endpoints = 0; //!< Outgoing connections to endpoints.
    std::int64_t listener =
        0; //!< Accepted connections from callers, or from endpoints and operators.
};

/*!
    \brief Divides the limit of \a openFiles among the purposes of a process.

    In a large fleet, endpoint or caller connections could otherwise use up all file descriptors.
    A process that cannot open files for its log or connections to its peers cannot continue.
*/
auto divideFileBudget(std::int64_t openFiles) -> FileBudget;

} // namespace Service
