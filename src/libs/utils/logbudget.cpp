#include "logbudget.h"

#include "log.h"

namespace Utils {

constexpr Milliseconds second{1000};

LogBudget::LogBudget(std::string kind, std::int64_t linesPerSecond)
    : m_kind(std::move(kind))
    , m_linesPerSecond(linesPerSecond)
{}

auto LogBudget::allow(Instant now) -> bool
{
    if (now - m_secondStart >= second) {
        m_secondStart = now;
        m_lines = 0;
        if (m_suppressedLines > m_reportedSuppressedLines) {
            Log::warning(
                "log",
                "left out lines",
                {{"kind", m_kind}, {"lines", m_suppressedLines - m_reportedSuppressedLines}});
            m_reportedSuppressedLines = m_suppressedLines;
        }
    }
    if (m_lines >= m_linesPerSecond) {
        ++m_suppressedLines;
        return false;
    }
    ++m_lines;
    return true;
}

} // namespace Utils
