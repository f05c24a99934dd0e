#pragma once

#include "clock.h"

#include <cstdint>
#include <string>

namespace Utils {

/*!
    \brief Bounds how many lines of one kind are logged each second. Not thread-safe.

    What was left out is counted, and told with the first line of a later second.
*/
class LogBudget
{
public:
    LogBudget(std::string kind, std::int64_t linesPerSecond);

    /*! \brief Returns true if one more line of this kind may be logged at \a now. */
    auto allow(Instant now) -> bool;
    /*! \brief Returns how many lines were left out since the process started. */
    auto leftOut() const -> std::int64_t { return m_leftOut; }

private:
    std::string m_kind;
    std::int64_t m_linesPerSecond;
    std::int64_t m_lines = 0;
    std::int64_t m_leftOut = 0;
    std::int64_t m_toldLeftOut = 0;
    Instant m_secondBegan;
};

} // namespace Utils
