#include "metrics.h"

namespace Utils {
namespace {

auto labelText(const MetricLabels &labels) -> std::string
{
    std::string text;
    for (const auto &label : labels)
        text += (text.empty() ? "" : ",") + label.name + "=\"" + label.value + '"';
    return text.empty() ? text : '{' + text + '}';
}

} // namespace

auto Metrics::count(std::string_view name, const MetricLabels &labels, std::int64_t by) -> void
{
    const std::scoped_lock lock(m_mutex);
    m_counters[{std::string(name), labels}] += by;
}

auto Metrics::set(std::string_view name, const MetricLabels &labels, double value) -> void
{
    const std::scoped_lock lock(m_mutex);
    m_gauges[{std::string(name), labels}] = value;
}

auto Metrics::observe(std::string_view name, const MetricLabels &labels, double seconds) -> void
{
    const std::scoped_lock lock(m_mutex);
    m_durations[{std::string(name), labels}].push_back(seconds);
}

auto Metrics::toPrometheusText() const -> std::string
{
    const std::scoped_lock lock(m_mutex);
    std::string text;
    for (const auto &[key, value] : m_counters)
        text += key.name + labelText(key.labels) + ' ' + std::to_string(value) + '\n';
    for (const auto &[key, value] : m_gauges)
        text += key.name + labelText(key.labels) + ' ' + std::to_string(value) + '\n';
    return text;
}

} // namespace Utils
