#pragma once

#include "jobs/jobtypes.h"

#include <cstdint>
#include <limits>

namespace Accounts {

//! Number of tasks that an account may start where no quota limits them.
inline constexpr std::int64_t unlimitedTasks = std::numeric_limits<std::int64_t>::max();

/*!
    \brief Returns how many tasks an account that occupies \a use may start, if each needs \a demand.

    Answers an account that asks for more than it may occupy. A task may start while the use is below
    the quota in each limited resource that the task needs, so the last one may end above the quota:
    otherwise an account with large tasks could never use its quota up.
*/
auto tasksAllowed(const Jobs::Resources &quota,
                  const Jobs::Resources &use,
                  const Jobs::Resources &demand) -> std::int64_t;

/*!
    \brief Returns true if a gang of \a count tasks that need \a demand each may start.

    All of its members start at once, and as a single task may, the last one may end above the quota.
*/
auto gangAllowed(const Jobs::Resources &quota,
                 const Jobs::Resources &use,
                 const Jobs::Resources &demand,
                 std::int64_t count) -> bool;

} // namespace Accounts
