#pragma once

#include "utils/clock.h"

#include <map>
#include <mutex>
#include <string>

namespace Routing {

/*! \brief Limits request rates by token buckets that hold one second's requests. Thread-safe. */
class RateLimiter
{
public:
    explicit RateLimiter(const Utils::Clock &clock);

    /*! \brief Takes a token for \a key; returns false if the rate \a perSecond is exceeded. */
    auto take(const std::string &key, double perSecond) -> bool;

private:
    struct Bucket
    {
        double tokens = 0;
        Utils::Instant filledAt;
        bool isNew = true;
    };

    const Utils::Clock &m_clock;
    std::mutex m_mutex;
    std::map<std::string, Bucket> m_buckets;
};

} // namespace Routing
