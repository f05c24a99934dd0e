#include "utils/metrics.h"

#include "utils/processusage.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>
#include <vector>

namespace {

auto contains(const std::string &text, const std::string &part) -> bool
{
    return text.find(part) != std::string::npos;
}

TEST(Metrics, writesHelpTypeAndSamples)
{
    Utils::Metrics metrics;
    metrics.describe("trefoilshelf_requests_total", "Requests by outcome.");
    metrics.count("trefoilshelf_requests_total", {{"outcome", "ran"}}, 2);
    metrics.count("trefoilshelf_requests_total", {{"outcome", "ran"}});
    metrics.set("trefoilshelf_queue", {}, 1.5);
    const auto text = metrics.toPrometheusText();
    EXPECT_TRUE(contains(text,
                         "# HELP trefoilshelf_requests_total Requests by outcome.\n"
                         "# TYPE trefoilshelf_requests_total counter\n"
                         "trefoilshelf_requests_total{outcome=\"ran\"} 3\n"))
        << text;
    EXPECT_TRUE(contains(text, "# TYPE trefoilshelf_queue gauge\ntrefoilshelf_queue 1.5\n"));
}

TEST(Metrics, escapesLabelValues)
{
    Utils::Metrics metrics;
    metrics.count("c_total", {{"v", "a\"b\\c\nd"}});
    EXPECT_TRUE(contains(metrics.toPrometheusText(), R"(c_total{v="a\"b\\c\nd"} 1)"));
}

TEST(Metrics, writesCumulativeBuckets)
{
    Utils::Metrics metrics;
    for (const auto seconds : {0.0004, 0.004, 0.004, 1000.0})
        metrics.observe("d_seconds", {{"s", "x"}}, seconds);
    const auto text = metrics.toPrometheusText();
    EXPECT_TRUE(contains(text, "# TYPE d_seconds histogram\n"));
    EXPECT_TRUE(contains(text, "d_seconds_bucket{s=\"x\",le=\"0.0005\"} 1\n")) << text;
    EXPECT_TRUE(contains(text, "d_seconds_bucket{s=\"x\",le=\"0.005\"} 3\n"));
    EXPECT_TRUE(contains(text, "d_seconds_bucket{s=\"x\",le=\"60\"} 3\n"));
    EXPECT_TRUE(contains(text, "d_seconds_bucket{s=\"x\",le=\"+Inf\"} 4\n"));
    EXPECT_TRUE(contains(text, "d_seconds_count{s=\"x\"} 4\n"));
}

TEST(Metrics, dropsObservationsBeyondTheSeriesLimit)
{
    Utils::Metrics metrics;
    for (std::size_t index = 0; index < Utils::Metrics::maximumSeries + 10; ++index)
        metrics.count("c_total", {{"customer", std::to_string(index)}});
    const auto text = metrics.toPrometheusText();
    EXPECT_TRUE(contains(text, "trefoilshelf_dropped_observations_total 10\n"));
    EXPECT_LE(std::ranges::count(text, '\n'), std::ptrdiff_t(Utils::Metrics::maximumSeries) + 10);
}

TEST(Metrics, dropsObservationsOfAnotherType)
{
    Utils::Metrics metrics;
    metrics.count("c_total");
    metrics.observe("c_total", {}, 1);
    const auto text = metrics.toPrometheusText();
    EXPECT_TRUE(contains(text, "c_total 1\n"));
    EXPECT_TRUE(contains(text, "trefoilshelf_dropped_observations_total 1\n"));
}

TEST(Metrics, countsFromSeveralThreads)
{
    constexpr auto threadCount = 4;
    constexpr auto perThread = 5000;
    Utils::Metrics metrics;
    {
        std::vector<std::jthread> threads;
        for (auto thread = 0; thread < threadCount; ++thread) {
            threads.emplace_back([&] {
                for (auto index = 0; index < perThread; ++index) {
                    metrics.count("c_total", {{"k", std::to_string(index % 7)}});
                    metrics.observe("d_seconds", {}, 0.001);
                }
            });
        }
    }
    EXPECT_TRUE(contains(metrics.toPrometheusText(), "d_seconds_count 20000\n"));
}

TEST(ProcessUsage, readsMemoryThreadsAndOpenFiles)
{
    const auto usage = Utils::processUsage();
    EXPECT_GT(usage.residentBytes, 0);
    EXPECT_GT(usage.threads, 0);
    EXPECT_GT(usage.openFiles, 0);
}

} // namespace
