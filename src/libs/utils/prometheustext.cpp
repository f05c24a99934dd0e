#include "prometheustext.h"

#include <array>
#include <charconv>

namespace Utils {
namespace {

auto escaped(std::string_view text, bool withQuotes) -> std::string
{
    std::string result;
    for (const auto character : text) {
        if (character == '\n') {
            result += "\\n";
            continue;
        }
        if (character == '\\' || (withQuotes && character == '"'))
            result += '\\';
        result += character;
    }
    return result;
}

auto numberText(double value) -> std::string
{
    constexpr std::size_t longestNumber = 32;
    std::array<char, longestNumber> buffer{};
    const auto result = std::to_chars(
        buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::general);
    return {buffer.data(), result.ptr};
}

} // namespace

auto PrometheusText::addHeader(std::string_view name, std::string_view help, std::string_view type)
    -> void
{
    m_text += "# HELP " + std::string(name) + ' ' + escaped(help, false) + '\n';
    m_text += "# TYPE " + std::string(name) + ' ' + std::string(type) + '\n';
}

auto PrometheusText::addSample(std::string_view name,
                               const MetricLabels &labels,
                               std::int64_t value) -> void
{
    addLine(name, labels, std::to_string(value));
}

auto PrometheusText::addSample(std::string_view name, const MetricLabels &labels, double value)
    -> void
{
    addLine(name, labels, numberText(value));
}

auto PrometheusText::addHistogram(std::string_view name,
                                  const MetricLabels &labels,
                                  const DistributionCounts &counts) -> void
{
    const auto bucketName = std::string(name) + "_bucket";
    auto bucketLabels = labels;
    bucketLabels.push_back({"le", ""});
    for (std::size_t index = 0; index < counts.upperBounds.size(); ++index) {
        bucketLabels.back().value = numberText(counts.upperBounds[index]);
        addSample(bucketName, bucketLabels, std::int64_t(counts.cumulative[index]));
    }
    bucketLabels.back().value = "+Inf";
    addSample(bucketName, bucketLabels, std::int64_t(counts.total));
    addSample(std::string(name) + "_sum", labels, counts.sum);
    addSample(std::string(name) + "_count", labels, std::int64_t(counts.total));
}

auto PrometheusText::addLine(std::string_view name,
                             const MetricLabels &labels,
                             std::string_view value) -> void
{
    std::string labelText;
    for (const auto &label : labels) {
        labelText += labelText.empty() ? "{" : ",";
        labelText += label.name + "=\"" + escaped(label.value, true) + '"';
    }
    labelText += labelText.empty() ? "" : "}";
    m_text += std::string(name) + labelText + ' ' + std::string(value) + '\n';
}

} // namespace Utils
