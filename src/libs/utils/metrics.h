#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Utils {

/*! \brief Name and value that distinguish the series of one metric. */
struct MetricLabel
{
    std::string name;
    std::string value;
    auto operator==(const MetricLabel &other) const -> bool = default;
    auto operator<(const MetricLabel &other) const -> bool
    {
        return std::tie(name, value) < std::tie(other.name, other.value);
    }
};

using MetricLabels = std::vector<MetricLabel>;

/*!
    \brief Counters, gauges and histograms of one process. Thread-safe.

    Names follow Prometheus: trefoilshelf_..._total for counters, ..._seconds for durations.
    At most maximumSeries series are kept, so that label values from external input cannot
    exhaust memory. The first use of a name sets its type: counter, gauge or histogram.
    Observations of further series or of another type are dropped and counted as dropped.
*/
class Metrics
{
public:
    static constexpr std::size_t maximumSeries = 4096;

    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    auto operator=(const Metrics &) -> Metrics & = delete;

    /*! \brief Sets the help text of the metric \a name. */
    auto describe(std::string_view name, std::string_view help) -> void;
    auto count(std::string_view name, const MetricLabels &labels = {}, std::int64_t by = 1) -> void;
    auto set(std::string_view name, const MetricLabels &labels, double value) -> void;
    /*! \brief Adds a duration to a histogram. */
    auto observe(std::string_view name, const MetricLabels &labels, double seconds) -> void;
    /*! \brief Returns all series in the Prometheus text format. */
    auto toPrometheusText() const -> std::string;

private:
    class Private;
    std::unique_ptr<Private> m_d;
};

} // namespace Utils
