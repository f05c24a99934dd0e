#include "leaderload.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace Execution {
namespace {

auto toDuration(const timeval &time) -> std::chrono::microseconds
{
    return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
}

// Returns the user and system time of the process (RUSAGE_SELF) or of this thread (RUSAGE_THREAD).
auto processorTime(int who) -> std::chrono::microseconds
{
    rusage usage{};
    if (::getrusage(who, &usage) != 0)
        return std::chrono::microseconds(0);
    return toDuration(usage.ru_utime) + toDuration(usage.ru_stime);
}

} // namespace

LeaderLoad::Timer::Timer(LeaderLoad &load, LeaderWork work)
    : m_load(load)
    , m_work(work)
    , m_startedAt(std::chrono::steady_clock::now())
{}

LeaderLoad::Timer::~Timer()
{
    const auto took = std::chrono::steady_clock::now() - m_startedAt;
    auto &report = m_load.m_report;
    report.worked[std::size_t(m_work)] +=
        std::chrono::duration_cast<std::chrono::microseconds>(took);
    ++report.times[std::size_t(m_work)];
}

auto LeaderLoad::record(LeaderDelay delay, Utils::Milliseconds duration) -> void
{
    auto &longest = m_report.longest[std::size_t(delay)];
    longest = std::max(longest, duration);
}

auto LeaderLoad::take(Utils::Instant now) -> LeaderLoadReport
{
    auto report = std::exchange(m_report, {});
    report.period = now - std::exchange(m_startedAt, now);
    const auto processTime = processorTime(RUSAGE_SELF);
    const auto loopTime = processorTime(RUSAGE_THREAD);
    report.processTime = processTime - std::exchange(m_processTime, processTime);
    report.loopTime = loopTime - std::exchange(m_loopTime, loopTime);
    return report;
}

} // namespace Execution
