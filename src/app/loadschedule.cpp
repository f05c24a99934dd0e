#include "loadschedule.h"

#include <numeric>

namespace App {

namespace {
constexpr auto peakFactor = 5.0;
constexpr auto quietFactor = 0.05;
constexpr auto millisecondsPerSecond = 1000.0;
} // namespace

LoadSchedule::LoadSchedule(DemandShape shape)
    : m_shape(std::move(shape))
    , m_engine(m_shape.seed)
{}

auto LoadSchedule::next() -> std::optional<PlannedRequest>
{
    const std::scoped_lock lock(m_mutex);
    if (m_issued >= m_shape.requests || m_dueMs >= double(m_shape.duration.count()))
        return std::nullopt;
    ++m_issued;
    const auto factors = weights();
    const auto sum = std::accumulate(factors.begin(), factors.end(), 0.0);
    const auto rate = m_shape.requestsPerS * sum / double(factors.size());
    std::discrete_distribution<std::size_t> services(factors.begin(), factors.end());
    std::discrete_distribution<int> priorities{1, 2, 1};
    PlannedRequest request;
    request.due = std::chrono::milliseconds(std::int64_t(m_dueMs));
    request.service = m_shape.services[services(m_engine)];
    request.priority = Routing::Priority(priorities(m_engine));
    m_dueMs += millisecondsPerSecond / rate;
    return request;
}

auto LoadSchedule::weights() const -> std::vector<double>
{
    const auto count = m_shape.services.size();
    if (m_shape.peak.count() == 0)
        return std::vector<double>(count, 1);
    std::vector<double> factors(count, quietFactor);
    const auto turn = std::size_t(m_dueMs / double(m_shape.peak.count()));
    factors[turn % count] = peakFactor;
    return factors;
}

} // namespace App
