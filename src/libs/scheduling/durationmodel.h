#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Scheduling {

/*!
    \brief Learns how long the tasks of a queue take from the callers' estimates.

    Answers estimates that are off by several times: a regression of the logarithm of the duration
    on that of the estimate, which trusts estimates as far as they have told durations apart.
*/
class DurationModel
{
public:
    /*! \brief Notes that a task with this estimate took \a durationMs. Both have to be positive. */
    auto learn(const std::string &queue, std::int64_t estimateMs, std::int64_t durationMs) -> void;
    /*! \brief Returns the duration expected of a task with this estimate, in milliseconds. */
    auto expect(std::string_view queue, std::int64_t estimateMs) const -> std::int64_t;

private:
    /*! \brief Sums over the tasks of a queue; x is the logarithm of the estimate, y the duration's. */
    struct Sums
    {
        double count = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
        double yy = 0;
    };

    std::map<std::string, Sums, std::less<>> m_queues;
};

} // namespace Scheduling
