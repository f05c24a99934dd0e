#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace Utils {

using Milliseconds = std::chrono::milliseconds;
/*! \brief Point in time on the monotonic clock; used for leases, deadlines and timeouts. */
using Instant = std::chrono::time_point<std::chrono::steady_clock, Milliseconds>;
/*! \brief Milliseconds since the Unix epoch; used in records and logs. */
using WallTimeMs = std::int64_t;

/*! \brief Source of time, injected so that tests can control it. */
class Clock
{
public:
    virtual ~Clock() = default;
    virtual auto now() const -> Instant = 0;
    virtual auto wallTime() const -> WallTimeMs = 0;
    /*!
        \brief Returns a time that, unlike now(), also advances while the host is suspended.

        Only differences are of use.
    */
    virtual auto sinceBoot() const -> Milliseconds { return now().time_since_epoch(); }
};

/*! \brief Reads the clocks of the operating system. */
class SystemClock final : public Clock
{
public:
    auto now() const -> Instant override;
    auto wallTime() const -> WallTimeMs override;
    auto sinceBoot() const -> Milliseconds override;
};

/*! \brief Clock that only advance() moves; for tests and virtual-time benchmarks. */
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
