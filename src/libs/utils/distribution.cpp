#include "distribution.h"

namespace Utils {

namespace {

auto bucketBounds() -> std::vector<double>
{
    return {0,    0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.02, 0.03,
            0.05, 0.1,    0.2,   0.5,   1,     2,     5,      10,   30,   60};
}

} // namespace

Distribution::Distribution()
    : m_histogram(
        boost::histogram::make_histogram_with(std::vector<std::uint64_t>(), Axis(bucketBounds())))
{}

auto Distribution::observe(double seconds) -> void
{
    const std::scoped_lock lock(m_mutex);
    m_histogram(seconds);
    m_sum += seconds;
}

auto Distribution::counts() const -> DistributionCounts
{
    const std::scoped_lock lock(m_mutex);
    const auto &axis = m_histogram.axis();
    DistributionCounts counts;
    counts.sum = m_sum;
    counts.total = m_histogram.at(-1);
    for (auto bin = 0; bin < axis.size(); ++bin) {
        counts.total += m_histogram.at(bin);
        counts.upperBounds.push_back(axis.bin(bin).upper());
        counts.cumulative.push_back(counts.total);
    }
    counts.total += m_histogram.at(axis.size());
    return counts;
}

} // namespace Utils
