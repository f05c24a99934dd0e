#include "expirytask.h"

#include "utils/log.h"

#include <algorithm>

namespace Fleet {

namespace {
constexpr Utils::Milliseconds claimExpiryInterval{30'000};
}

ExpiryTask::ExpiryTask(Replication::ReplicatedLog &log,
                       Gateway &gateway,
                       const Replica &replica,
                       const Utils::Clock &clock,
                       std::string process,
                       Retention retention)
    : m_log(log)
    , m_gateway(gateway)
    , m_replica(replica)
    , m_clock(clock)
    , m_process(std::move(process))
    , m_retention(retention)
    , m_nextClaimExpiry(clock.now() + claimExpiryInterval)
{}

auto ExpiryTask::runOnce() -> void
{
    if (m_log.status().role != Replication::Role::Leader)
        return;
    const auto nowMs = m_clock.wallTime();
    const auto hasDueJobs = m_replica.read([&](const State &state) {
        const auto isDue = [&](const auto &entry) {
            const auto &job = entry.second;
            return (job.state == JobState::Running && job.leaseUntilMs < nowMs)
                   || (job.isEnded() && job.endedMs + m_retention.jobMs < nowMs);
        };
        return std::ranges::any_of(state.jobs().all(), isDue);
    });
    if (hasDueJobs)
        execute(ExpireJobs{m_retention.jobMs});
    if (m_clock.now() < m_nextClaimExpiry)
        return;
    m_nextClaimExpiry = m_clock.now() + claimExpiryInterval;
    if (m_replica.read([](const State &state) { return state.claims().size() > 0; }))
        execute(ExpireClaims{m_retention.claimMs});
}

auto ExpiryTask::execute(CommandBody body) -> void
{
    const auto result = m_gateway.execute(std::move(body), {m_process, "expiry", {}, {}});
    if (!result) {
        Utils::Log::info("fleet", "an expiry command failed", {{"reason", result.error().message}});
    }
}

} // namespace Fleet
