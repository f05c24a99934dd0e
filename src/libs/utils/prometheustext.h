#pragma once

#include "distribution.h"
#include "metrics.h"

namespace Utils {

/*! \brief Writes metrics in the Prometheus text format, version 0.0.4. */
class PrometheusText
{
public:
    /*! \brief Starts a metric; \a type is counter, gauge or histogram. */
    auto addHeader(std::string_view name, std::string_view help, std::string_view type) -> void;
    auto addSample(std::string_view name, const MetricLabels &labels, std::int64_t value) -> void;
    auto addSample(std::string_view name, const MetricLabels &labels, double value) -> void;
    auto addHistogram(std::string_view name,
                      const MetricLabels &labels,
                      const DistributionCounts &counts) -> void;
    auto take() -> std::string { return std::move(m_text); }

private:
    auto addLine(std::string_view name, const MetricLabels &labels, std::string_view value) -> void;

    std::string m_text;
};

} // namespace Utils
