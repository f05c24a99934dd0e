#pragma once

#include "utils/clock.h"

#include <map>
#include <mutex>
#include <string>

namespace Routing {

/*! \brief Keeps customers' requests below a rate, with bursts of one second. Thread-safe. */
class RateLimiter
{
public:
    explicit RateLimiter(const Utils::Clock &clock);

    /*! \brief Returns false if one more request of \a key exceeds \a perSecond. */
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
