#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace Utils {

/*! \brief A name and value that tell series of one metric apart. */
struct MetricLabel
{
    std::string name;
    std::string value;
    auto operator<=>(const MetricLabel &) const = default;
};

using MetricLabels = std::vector<MetricLabel>;

/*!
    \brief Counters, gauges and distributions of one process. Thread-safe.

    Names follow Prometheus: trefoilshelf_..._total for counters, ..._seconds for durations.
*/
class Metrics
{
public:
    auto count(std::string_view name, const MetricLabels &labels = {}, std::int64_t by = 1) -> void;
    auto set(std::string_view name, const MetricLabels &labels, double value) -> void;
    /*! \brief Adds a duration to a distribution. */
    auto observe(std::string_view name, const MetricLabels &labels, double seconds) -> void;
    /*! \brief Returns all series in the Prometheus text format. */
    auto toPrometheusText() const -> std::string;

private:
    struct SeriesKey
    {
        std::string name;
        MetricLabels labels;
        auto operator<=>(const SeriesKey &) const = default;
    };

    mutable std::mutex m_mutex;
    std::map<SeriesKey, std::int64_t> m_counters;
    std::map<SeriesKey, double> m_gauges;
    std::map<SeriesKey, std::vector<double>> m_durations;
};

} // namespace Utils
