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
    if (now - m_secondBegan >= second) {
        m_secondBegan = now;
        m_lines = 0;
        if (m_leftOut > m_toldLeftOut) {
            Log::warning(
                "log", "left out lines", {{"kind", m_kind}, {"lines", m_leftOut - m_toldLeftOut}});
            m_toldLeftOut = m_leftOut;
        }
    }
    if (m_lines >= m_linesPerSecond) {
        ++m_leftOut;
        return false;
    }
    ++m_lines;
    return true;
}

} // namespace Utils
