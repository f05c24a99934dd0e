#include "metrics.h"

#include "distribution.h"
#include "prometheustext.h"

#include <array>
#include <atomic>
#include <map>
#include <mutex>
#include <shared_mutex>

namespace Utils {
namespace {

constexpr auto droppedName = "trefoilshelf_dropped_observations_total";

enum class Kind { Undecided, Counter, Gauge, Histogram };

constexpr std::array<std::string_view, 4> kindNames{"untyped", "counter", "gauge", "histogram"};

struct Series
{
    std::atomic<std::int64_t> count = 0;
    std::atomic<double> gauge = 0;
    std::unique_ptr<Distribution> distribution;
};

struct Family
{
    Kind kind = Kind::Undecided;
    std::string help;
    std::map<MetricLabels, std::unique_ptr<Series>> series;
};

auto addSeries(PrometheusText &text,
               const std::string &name,
               Kind kind,
               const MetricLabels &labels,
               const Series &series) -> void
{
    if (kind == Kind::Histogram)
        text.addHistogram(name, labels, series.distribution->counts());
    else if (kind == Kind::Gauge)
        text.addSample(name, labels, series.gauge.load());
    else
        text.addSample(name, labels, series.count.load());
}

} // namespace

class Metrics::Private
{
public:
    // Returns nullptr if the name has another type or the limit of series is reached. Series
    // are never removed, so the pointer stays valid.
    auto find(std::string_view name, Kind kind, const MetricLabels &labels) -> Series *
    {
        {
            const std::shared_lock lock(mutex);
            const auto family = families.find(name);
            if (family != families.end() && family->second.kind == kind) {
                const auto found = family->second.series.find(labels);
                if (found != family->second.series.end())
                    return found->second.get();
            }
        }
        return add(name, kind, labels);
    }

    auto add(std::string_view name, Kind kind, const MetricLabels &labels) -> Series *
    {
        const std::unique_lock lock(mutex);
        auto &family = families[std::string(name)];
        if (family.kind == Kind::Undecided)
            family.kind = kind;
        auto &series = family.series[labels];
        if (series && family.kind == kind)
            return series.get();
        if (family.kind != kind || seriesCount >= maximumSeries) {
            if (!series)
                family.series.erase(labels);
            ++dropped;
            return nullptr;
        }
        ++seriesCount;
        series = std::make_unique<Series>();
        if (kind == Kind::Histogram)
            series->distribution = std::make_unique<Distribution>();
        return series.get();
    }

    mutable std::shared_mutex mutex;
    std::map<std::string, Family, std::less<>> families;
    std::size_t seriesCount = 0;
    std::atomic<std::int64_t> dropped = 0;
};

Metrics::Metrics()
    : m_d(std::make_unique<Private>())
{}

Metrics::~Metrics() = default;

auto Metrics::describe(std::string_view name, std::string_view help) -> void
{
    const std::unique_lock lock(m_d->mutex);
    m_d->families[std::string(name)].help = help;
}

auto Metrics::count(std::string_view name, const MetricLabels &labels, std::int64_t by) -> void
{
    if (auto *series = m_d->find(name, Kind::Counter, labels))
        series->count += by;
}

auto Metrics::set(std::string_view name, const MetricLabels &labels, double value) -> void
{
    if (auto *series = m_d->find(name, Kind::Gauge, labels))
        series->gauge = value;
}

auto Metrics::observe(std::string_view name, const MetricLabels &labels, double seconds) -> void
{
    if (auto *series = m_d->find(name, Kind::Histogram, labels))
        series->distribution->observe(seconds);
}

auto Metrics::toPrometheusText() const -> std::string
{
    PrometheusText text;
    text.addHeader(droppedName, "Observations refused by the limits of metrics.", "counter");
    text.addSample(droppedName, {}, m_d->dropped.load());
    const std::shared_lock lock(m_d->mutex);
    for (const auto &[name, family] : m_d->families) {
        if (family.series.empty())
            continue;
        text.addHeader(name, family.help, kindNames.at(std::size_t(family.kind)));
        for (const auto &[labels, series] : family.series)
            addSeries(text, name, family.kind, labels, *series);
    }
    return text.take();
}

} // namespace Utils
