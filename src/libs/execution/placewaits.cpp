#include "placewaits.h"

namespace Execution {

auto PlaceWaits::wait(const Jobs::TaskId &first, Utils::Instant now) -> void
{
    auto &step = m_steps[first];
    if (!step.since)
        step.since = now;
    step.until.reset();
}

auto PlaceWaits::endWait(const Jobs::TaskId &first, Utils::Instant now, bool spread) -> void
{
    if (spread)
        m_steps[first].spread = true;
    const auto found = m_steps.find(first);
    if (found != m_steps.end() && found->second.since && !found->second.until)
        found->second.until = now;
}

auto PlaceWaits::noteLost(const Jobs::TaskId &task) -> void
{
    m_steps[Jobs::firstOfStep(task)].lost = true;
}

auto PlaceWaits::forget(const std::string &job) -> void
{
    auto step = m_steps.lower_bound({job, 0, 0, 0});
    while (step != m_steps.end() && step->first.job == job)
        step = m_steps.erase(step);
}

auto PlaceWaits::waited(const Jobs::TaskId &first, Utils::Instant now) const -> Utils::Milliseconds
{
    const auto *step = find(first);
    if (step == nullptr || !step->since)
        return Utils::Milliseconds(0);
    return step->until.value_or(now) - *step->since;
}

auto PlaceWaits::mayWait(const Jobs::TaskId &first) const -> bool
{
    const auto *step = find(first);
    return step == nullptr || !step->lost;
}

auto PlaceWaits::isSpread(const Jobs::TaskId &first) const -> bool
{
    const auto *step = find(first);
    return step != nullptr && step->spread;
}

auto PlaceWaits::find(const Jobs::TaskId &first) const -> const Step *
{
    const auto found = m_steps.find(first);
    return found != m_steps.end() ? &found->second : nullptr;
}

} // namespace Execution
