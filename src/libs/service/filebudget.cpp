#include "filebudget.h"

#include <algorithm>

namespace Service {

// Log, snapshots, settings, pipes, and connections to other control processes and to entries.
constexpr std::int64_t mostKept = 600;
constexpr std::int64_t keptPart = 4;

auto budgetOf(std::int64_t openFiles) -> FileBudget
{
    FileBudget budget;
    budget.kept = std::min(openFiles / keptPart, mostKept);
    const auto left = openFiles - budget.kept;
    // An endpoint takes several connections for orders, and one for its announcements.
    budget.endpoints = left * 2 / 3;
    budget.listener = left - budget.endpoints;
    return budget;
}

} // namespace Service
