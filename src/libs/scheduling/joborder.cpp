#include "joborder.h"

#include <algorithm>

namespace Scheduling {

// Share of the time to the objective that work can use, since the steps of a job run in sequence.
constexpr std::int64_t usableTimePercent = 70;
constexpr std::int64_t shortestTimeMs = 1000;
// Times for work that misses its objective: it has little value left, but has to be done.
constexpr std::int64_t lateTimeMs = 6000;
constexpr std::int64_t missedTimeMs = 15'000;

auto longestChainMs(std::span<const Jobs::StepSpec> steps,
                    std::span<const std::int64_t> durationsMs) -> std::int64_t
{
    std::vector<std::int64_t> finishMs;
    for (std::size_t index = 0; index < steps.size(); ++index) {
        std::int64_t startMs = 0;
        for (const auto earlier : steps[index].after) {
            if (earlier >= 0 && std::size_t(earlier) < finishMs.size())
                startMs = std::max(startMs, finishMs[std::size_t(earlier)]);
        }
        finishMs.push_back(startMs + durationsMs[index]);
    }
    return finishMs.empty() ? 0 : std::ranges::max(finishMs);
}

auto rankOf(const QueueTerms &terms,
            std::int64_t chainMs,
            std::int64_t submittedMs,
            std::int64_t remainingMs,
            std::int64_t nowMs) -> JobRank
{
    const auto objectiveMs = std::int64_t(terms.stretch * double(chainMs)) + terms.objectiveMs;
    const auto expectedMs = nowMs + remainingMs - submittedMs;
    JobRank rank;
    rank.priority = terms.priority;
    rank.objectiveAtMs = submittedMs + objectiveMs;
    if (expectedMs > objectiveMs * lateObjectives)
        rank.outlook = Outlook::Missed;
    else if (expectedMs > objectiveMs)
        rank.outlook = Outlook::Late;
    return rank;
}

auto timeForWorkMs(const JobRank &rank, std::int64_t nowMs) -> std::int64_t
{
    switch (rank.outlook) {
    case Outlook::OnTime:
        return std::max((rank.objectiveAtMs - nowMs) * usableTimePercent / 100, shortestTimeMs);
    case Outlook::Late:
        return lateTimeMs;
    case Outlook::Missed:
        break;
    }
    return missedTimeMs;
}

} // namespace Scheduling
