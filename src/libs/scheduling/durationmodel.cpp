#include "durationmodel.h"

#include <algorithm>
#include <cmath>

namespace Scheduling {
namespace {

// Until this many tasks of a queue have ended, its estimates are used unchanged.
constexpr double minimumTasks = 24;
// After this many tasks, each new task reduces the weight of the older ones by 1/windowTasks, so
// that the model adapts to changes.
constexpr double windowTasks = 600;
constexpr double leastVariance = 1e-6;

} // namespace

auto DurationModel::learn(const std::string &queue,
                          std::int64_t estimateMs,
                          std::int64_t durationMs) -> void
{
    if (estimateMs <= 0 || durationMs <= 0)
        return;
    auto &sums = m_queues[queue];
    if (sums.count >= windowTasks) {
        const auto kept = 1 - 1 / windowTasks;
        sums = {sums.count * kept,
                sums.x * kept,
                sums.y * kept,
                sums.xx * kept,
                sums.xy * kept,
                sums.yy * kept};
    }
    const auto x = std::log(double(estimateMs));
    const auto y = std::log(double(durationMs));
    sums.count += 1;
    sums.x += x;
    sums.y += y;
    sums.xx += x * x;
    sums.xy += x * y;
    sums.yy += y * y;
}

auto DurationModel::expect(std::string_view queue, std::int64_t estimateMs) const -> std::int64_t
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.count < minimumTasks || estimateMs <= 0)
        return estimateMs;
    const auto &sums = found->second;
    const auto meanX = sums.x / sums.count;
    const auto meanY = sums.y / sums.count;
    const auto varianceX = sums.xx / sums.count - meanX * meanX;
    const auto varianceY = sums.yy / sums.count - meanY * meanY;
    const auto covariance = sums.xy / sums.count - meanX * meanY;
    const auto slope =
        varianceX > leastVariance ? std::clamp(covariance / varianceX, 0.0, 1.0) : 0.0;
    // For log-normal durations, the logarithm of the mean is the mean logarithm plus half the
    // variance.
    const auto rest = std::max(0.0, varianceY - slope * covariance);
    const auto expected = meanY + slope * (std::log(double(estimateMs)) - meanX) + rest / 2;
    return std::max<std::int64_t>(1, std::int64_t(std::exp(expected)));
}

} // namespace Scheduling
