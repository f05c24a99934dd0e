#include "ratelimiter.h"

#include <algorithm>

namespace Routing {

RateLimiter::RateLimiter(const Utils::Clock &clock)
    : m_clock(clock)
{}

auto RateLimiter::take(const std::string &key, double perSecond) -> bool
{
    constexpr auto millisecondsPerSecond = 1000.0;
    const std::scoped_lock lock(m_mutex);
    auto &bucket = m_buckets[key];
    const auto now = m_clock.now();
    const auto burst = std::max(1.0, perSecond);
    const auto elapsed = double((now - bucket.filledAt).count()) / millisecondsPerSecond;
    bucket.tokens = bucket.isNew ? burst : std::min(burst, bucket.tokens + elapsed * perSecond);
    bucket.isNew = false;
    bucket.filledAt = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

} // namespace Routing
