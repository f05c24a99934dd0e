#include "modelgangs.h"

#include "modelendpoint.h"

#include <utility>

namespace ExecutionTest {
namespace {

constexpr std::int64_t gangTimeoutUs = 3'000'000;
constexpr std::int64_t longestBreakUs = 20'000;

} // namespace

ModelGangs::ModelGangs(VirtualTime &time, RandomSource &random)
    : m_time(time)
    , m_random(random)
{}

auto ModelGangs::keyOf(const Jobs::TaskId &task, std::int64_t run) -> Key
{
    return {task.job, task.occurrence, task.step, run};
}

auto ModelGangs::join(const Jobs::TaskId &task,
                      std::int64_t run,
                      const std::shared_ptr<ModelEndpoint> &endpoint,
                      std::int64_t size,
                      std::int64_t durationMs) -> void
{
    const auto key = keyOf(task, run);
    auto &gang = m_gangs[key];
    gang.members[task] = endpoint;
    m_time.after(gangTimeoutUs, [this, key, task, run, weak = std::weak_ptr(endpoint)] {
        const auto found = m_gangs.find(key);
        const auto alone = found != m_gangs.end() && !found->second.complete;
        if (const auto member = weak.lock(); member && alone)
            member->finish(task, run, Execution::EndKind::NoPartners);
    });
    if (std::int64_t(gang.members.size()) < size || std::exchange(gang.complete, true))
        return;
    m_time.after(durationMs * usPerMs, [this, key, run] {
        const auto found = m_gangs.find(key);
        if (found == m_gangs.end())
            return;
        const auto members = std::move(found->second.members);
        m_gangs.erase(found);
        finishAll(members, run, Execution::EndKind::Done);
    });
}

auto ModelGangs::leave(const Jobs::TaskId &task, std::int64_t run) -> void
{
    const auto found = m_gangs.find(keyOf(task, run));
    if (found == m_gangs.end())
        return;
    auto others = std::move(found->second.members);
    m_gangs.erase(found);
    others.erase(task);
    m_time.after(m_random.between(1, longestBreakUs), [this, others = std::move(others), run] {
        finishAll(others, run, Execution::EndKind::PartnerEnded);
    });
}

auto ModelGangs::finishAll(const Members &members, std::int64_t run, Execution::EndKind kind)
    -> void
{
    for (const auto &[task, weak] : members) {
        if (const auto member = weak.lock())
            member->finish(task, run, kind);
    }
}

} // namespace ExecutionTest
