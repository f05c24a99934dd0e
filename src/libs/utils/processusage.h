#pragma once

#include <cstdint>

namespace Utils {

/*! \brief What this process uses of the machine. */
struct ProcessUsage
{
    std::int64_t residentBytes = 0;
    std::int64_t threads = 0;
    std::int64_t openFiles = 0;
};

/*! \brief Reads the process's usage from the kernel; values it cannot read stay 0. */
auto processUsage() -> ProcessUsage;

} // namespace Utils
