#pragma once

#include "clock.h"

#include <cstdint>
#include <string>

namespace Utils {

/*!
    \brief Limits the number of lines of one kind logged per second. Not thread-safe.

    Suppressed lines are counted. The first call of allow() in a later second logs their
    number.
*/
class LogBudget
{
public:
    LogBudget(std::string kind, std::int64_t linesPerSecond);

    /*! \brief Returns true if one more line of this kind may be logged at \a now. */
    auto allow(Instant now) -> bool;
    /*! \brief Returns the number of lines suppressed since this object was created. */
    auto suppressedLines() const -> std::int64_t { return m_suppressedLines; }

private:
    std::string m_kind;
    std::int64_t m_linesPerSecond;
    std::int64_t m_lines = 0;
    std::int64_t m_suppressedLines = 0;
    std::int64_t m_reportedSuppressedLines = 0;
    Instant m_secondStart;
};

} // namespace Utils
