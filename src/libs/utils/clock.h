#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace Utils {

using Milliseconds = std::chrono::milliseconds;
/*! \brief A point on the monotonic clock; used for leases, deadlines and time-outs. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Milliseconds>;
/*! \brief Milliseconds since the Unix epoch; used in records and logs. */
using WallTimeMs = std::int64_t;

/*! \brief Source of time, injected so that tests control it. */
class Clock
{
public:
    virtual ~Clock() = default;
    virtual auto now() const -> Instant = 0;
    virtual auto wallTime() const -> WallTimeMs = 0;
};

/*! \brief The machine's clocks. */
class SystemClock final : public Clock
{
public:
    auto now() const -> Instant override;
    auto wallTime() const -> WallTimeMs override;
};

/*! \brief A clock that moves only when told to; for tests and virtual-time benchmarks. */
class ManualClock final : public Clock
{
public:
    auto now() const -> Instant override;
    auto wallTime() const -> WallTimeMs override;
    auto advance(Milliseconds by) -> void;

private:
    std::atomic<std::int64_t> m_elapsedMs = 0;
};

} // namespace Utils
