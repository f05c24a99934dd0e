#pragma once

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cstdint>
#include <mutex>
#include <vector>

namespace Utils {

/*! \brief Cumulative bucket counts of the observed values, with their number and sum. */
struct DistributionCounts
{
    std::vector<double> upperBounds;
    std::vector<std::uint64_t> cumulative; //!< Number of values up to each upper bound.
    std::uint64_t total = 0;
    double sum = 0;
};

/*! \brief Histogram of durations with fixed bucket bounds in seconds. Thread-safe. */
class Distribution
{
public:
    Distribution();

    auto observe(double seconds) -> void;
    auto counts() const -> DistributionCounts;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = decltype(boost::histogram::make_histogram_with(std::vector<std::uint64_t>(),
                                                                     std::declval<Axis>()));

    mutable std::mutex m_mutex;
    Histogram m_histogram;
    double m_sum = 0;
};

} // namespace Utils
