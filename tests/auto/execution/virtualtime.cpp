#include "virtualtime.h"

#include <utility>

namespace ExecutionTest {
namespace {

constexpr std::int64_t startMs = 1'000'000;
constexpr std::int64_t startWallMs = 1'700'000'000'000;

} // namespace

auto VirtualTime::now() const -> Utils::Instant
{
    return Utils::Instant(Utils::Milliseconds(startMs + m_nowUs / usPerMs));
}

auto VirtualTime::wallMs() const -> std::int64_t
{
    return startWallMs + m_nowUs / usPerMs;
}

auto VirtualTime::after(std::int64_t delayUs, Action action) -> void
{
    m_entries.push({m_nowUs + delayUs, ++m_number, std::move(action)});
}

auto VirtualTime::runUntil(std::int64_t endUs) -> void
{
    while (!m_entries.empty() && m_entries.top().atUs < endUs) {
        const auto entry = m_entries.top();
        m_entries.pop();
        m_nowUs = entry.atUs;
        entry.action();
    }
    m_nowUs = endUs;
}

} // namespace ExecutionTest
