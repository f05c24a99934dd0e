#include "filebudget.h"

#include <algorithm>

namespace Service {

// Files for the log, snapshots, settings, pipes, and links to control and entry processes.
constexpr std::int64_t maximumReserved = 1000;
constexpr std::int64_t reservedDivisor = 4;

auto divideFileBudget(std::int64_t openFiles) -> FileBudget
{
    FileBudget budget;
    budget.reserved = std::min(openFiles / reservedDivisor, maximumReserved);
    const auto remaining = openFiles - budget.reserved;
    // An endpoint uses several outgoing connections for orders and polls, and one incoming
    // connection for its announcements.
    budget.endpoints = remaining * 2 / 3;
    budget.listener = remaining - budget.endpoints;
    return budget;
}

} // namespace Service
