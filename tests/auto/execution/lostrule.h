#pragma once

#include "virtualtime.h"

namespace ExecutionTest {

/*!
    \brief The rule LOST, in microseconds.

    Calm time and time since the last run before a task counts as missing, and how long it has to be missing.
*/
struct LostRule
{
    static constexpr std::int64_t calmUs = 4'000 * usPerMs;
    static constexpr std::int64_t sinceLastRunUs = 6'000 * usPerMs;
    static constexpr std::int64_t missingUs = 3'000 * usPerMs;
};

} // namespace ExecutionTest
