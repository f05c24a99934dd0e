#include "bytebudget.h"

namespace Utils {
namespace {

// Clients that hold at most this much may use the whole budget.
constexpr std::int64_t smallBytes = 32 * 1024;
// Share of the budget that is left to them.
constexpr std::int64_t sparedDivisor = 8;

} // namespace

auto ByteBudget::take(std::int64_t bytes, std::int64_t spared) -> bool
{
    auto held = m_held.load();
    while (held + bytes <= m_bytes - spared) {
        if (m_held.compare_exchange_weak(held, held + bytes))
            return true;
    }
    return false;
}

HeldBytes::~HeldBytes()
{
    m_budget->m_held -= m_held;
}

auto HeldBytes::resize(std::int64_t bytes) -> bool
{
    const auto more = bytes - m_held;
    const auto spared = bytes > smallBytes ? m_budget->bytes() / sparedDivisor : 0;
    if (more <= 0)
        m_budget->m_held += more;
    else if (!m_budget->take(more, spared))
        return false;
    m_held = bytes;
    return true;
}

} // namespace Utils
