#pragma once

#include <cstdint>

namespace Utils {

/*! \brief Memory, threads and file descriptors that this process uses. */
struct ProcessUsage
{
    std::int64_t residentBytes = 0;
    std::int64_t threads = 0;
    std::int64_t openFiles = 0;
};

/*! \brief Reads this process's resource usage from /proc; values that cannot be read stay 0. */
auto processUsage() -> ProcessUsage;

} // namespace Utils
