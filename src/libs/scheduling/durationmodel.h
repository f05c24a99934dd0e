#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Scheduling {

/*!
    \brief Predicts the durations of the tasks of a queue from the callers' estimates.

    Estimates may be wrong by a factor of several. The model is a linear regression of the logarithm
    of the duration on the logarithm of the estimate, so estimates count only as far as they have
    correlated with durations.
*/
class DurationModel
{
public:
    /*! \brief Adds a task with this estimate that took \a durationMs, if both are positive. */
    auto learn(const std::string &queue, std::int64_t estimateMs, std::int64_t durationMs) -> void;
    /*! \brief Returns the duration expected of a task with this estimate, in milliseconds. */
    auto expect(std::string_view queue, std::int64_t estimateMs) const -> std::int64_t;

private:
    /*! \brief Sums over the tasks of a queue; x = log(estimate), y = log(duration). */
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
