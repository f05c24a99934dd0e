// Compares the cost of Utils::Metrics with that of a map under one mutex. Prints CSV lines; takes
// about 2 s.

#include "utils/metrics.h"

#include <chrono>
#include <iostream>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace {

constexpr auto operationsPerThread = 200'000;

class MapOfCounters
{
public:
    auto count(const std::string &name, const Utils::MetricLabels &labels) -> void
    {
        const std::scoped_lock lock(m_mutex);
        ++m_counters[{name, labels}];
    }

private:
    std::mutex m_mutex;
    std::map<std::pair<std::string, Utils::MetricLabels>, std::int64_t> m_counters;
};

template <typename Operation>
auto nanosecondsPerOperation(int threads, const Operation &operation) -> double
{
    const auto start = std::chrono::steady_clock::now();
    {
        std::vector<std::jthread> workers;
        for (auto thread = 0; thread < threads; ++thread) {
            workers.emplace_back([&] {
                for (auto index = 0; index < operationsPerThread; ++index)
                    operation(index);
            });
        }
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - start;
    return elapsed.count() / operationsPerThread / threads;
}

} // namespace

auto main() -> int
{
    Utils::Metrics metrics;
    MapOfCounters map;
    const Utils::MetricLabels labels{{"customer", "camara"}, {"outcome", "ran"}};
    std::cout << "threads,map_ns,count_ns,observe_ns,map_over_count\n";
    for (const auto threads : {1, 4, 8}) {
        const auto mapNs = nanosecondsPerOperation(
            threads, [&](int) { map.count("trefoilshelf_requests_total", labels); });
        const auto countNs = nanosecondsPerOperation(
            threads, [&](int) { metrics.count("trefoilshelf_requests_total", labels); });
        const auto observeNs = nanosecondsPerOperation(threads, [&](int index) {
            metrics.observe("trefoilshelf_request_seconds", labels, 0.0001 * (index % 100));
        });
        std::cout << threads << ',' << mapNs << ',' << countNs << ',' << observeNs << ','
                  << mapNs / countNs << '\n';
    }
    return 0;
}
