#include "cachedflag.h"

namespace Utils {

CachedFlag::CachedFlag(const Clock &clock, Milliseconds maximumAge, std::function<bool()> read)
    : m_clock(clock)
    , m_maximumAge(maximumAge)
    , m_read(std::move(read))
    , m_readAt((clock.now() - maximumAge).time_since_epoch().count())
{}

auto CachedFlag::value() -> bool
{
    const auto now = m_clock.now().time_since_epoch().count();
    auto readAt = m_readAt.load();
    // Only one of several threads that find the value expired reads it again; the others
    // return the cached value.
    if (now - readAt >= m_maximumAge.count() && m_readAt.compare_exchange_strong(readAt, now))
        m_value = m_read();
    return m_value;
}

} // namespace Utils
