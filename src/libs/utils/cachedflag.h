#pragma once

#include "clock.h"

#include <atomic>
#include <functional>

namespace Utils {

/*! \brief Caches a flag that is expensive to read for at most a given time. Thread-safe. */
class CachedFlag
{
public:
    CachedFlag(const Clock &clock, Milliseconds maximumAge, std::function<bool()> read);

    auto value() -> bool;

private:
    const Clock &m_clock;
    Milliseconds m_maximumAge;
    std::function<bool()> m_read;
    std::atomic<Instant::rep> m_readAt;
    std::atomic<bool> m_value = false;
};

} // namespace Utils
