#include "clock.h"

#include <ctime>

namespace Utils {

namespace {
constexpr WallTimeMs manualClockEpochMs = 1'700'000'000'000;
}

auto SystemClock::now() const -> Instant
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::steady_clock::now());
}

auto SystemClock::wallTime() const -> WallTimeMs
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Milliseconds>(sinceEpoch).count();
}

auto SystemClock::sinceBoot() const -> Milliseconds
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Milliseconds>(std::chrono::seconds(time.tv_sec)
                                                    + std::chrono::nanoseconds(time.tv_nsec));
}

auto ManualClock::now() const -> Instant
{
    return Instant(Milliseconds(m_elapsedMs.load()));
}

auto ManualClock::wallTime() const -> WallTimeMs
{
    return manualClockEpochMs + m_elapsedMs.load();
}

auto ManualClock::advance(Milliseconds by) -> void
{
    m_elapsedMs += by.count();
}

} // namespace Utils
