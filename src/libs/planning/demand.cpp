#include "demand.h"

#include <algorithm>

namespace Planning {

namespace {
constexpr Fleet::WallTimeMs sampleIntervalMs = 5'000;
constexpr Fleet::WallTimeMs historyMs = 1'800'000;
} // namespace

auto DemandHistory::record(const PoolZone &poolZone, DemandSample sample) -> void
{
    const std::scoped_lock lock(m_mutex);
    auto &samples = m_samples[poolZone];
    const auto startsInterval =
        samples.empty() || sample.atMs - samples.back().atMs >= sampleIntervalMs;
    if (startsInterval)
        samples.push_back(sample);
    else
        samples.back().slots = std::max(samples.back().slots, sample.slots);
    while (samples.front().atMs < sample.atMs - historyMs)
        samples.pop_front();
}

auto DemandHistory::series(const PoolZone &poolZone) const -> std::vector<DemandSample>
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_samples.find(poolZone);
    if (found == m_samples.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

auto recordInFlight(DemandHistory &history,
                    const Fleet::State &state,
                    const Membership::EndpointDirectory &directory,
                    Fleet::WallTimeMs nowMs) -> void
{
    std::map<PoolZone, std::int64_t> inFlight;
    for (const auto &endpoint : directory.all()) {
        const auto &announcement = endpoint.announcement;
        if (const auto *host = state.findHost(announcement.host))
            inFlight[{host->zone, host->pool}] += announcement.inFlight;
    }
    for (const auto &[poolZone, slots] : inFlight)
        history.record(poolZone, {nowMs, slots});
}

} // namespace Planning
