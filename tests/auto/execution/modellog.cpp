#include "modellog.h"

#include <utility>

namespace ExecutionTest {
namespace {

constexpr std::int64_t shortestCommitUs = 8000;
constexpr std::int64_t longestCommitUs = 60'000;
constexpr double survivesPercent = 50;

} // namespace

ModelLog::ModelLog(VirtualTime &time, RandomSource &random)
    : m_time(time)
    , m_random(random)
{}

auto ModelLog::apply(const Control::Command &command) -> void
{
    m_state.appliedAt = m_time.now();
    m_state.apply(command, m_time.wallMs());
}

auto ModelLog::commit(std::vector<Control::Command> commands, Done done) -> void
{
    m_waiting.push_back({std::move(commands), std::move(done)});
    if (!m_busy)
        startEntry();
}

auto ModelLog::startEntry() -> void
{
    m_busy = true;
    m_entry = std::exchange(m_waiting, {});
    m_time.after(m_random.between(shortestCommitUs, longestCommitUs),
                 [this, generation = m_generation] { finishEntry(generation); });
}

auto ModelLog::finishEntry(std::int64_t generation) -> void
{
    if (generation != m_generation)
        return;
    m_busy = false;
    const auto batch = std::exchange(m_entry, {});
    for (const auto &pending : batch) {
        for (const auto &command : pending.commands)
            apply(command);
    }
    if (!m_waiting.empty())
        startEntry();
    answer(batch, true);
}

auto ModelLog::answer(const std::vector<Pending> &batch, bool committed) -> void
{
    for (const auto &pending : batch)
        pending.done(committed);
}

auto ModelLog::loseLeader() -> void
{
    ++m_generation;
    m_busy = false;
    const auto entry = std::exchange(m_entry, {});
    const auto waiting = std::exchange(m_waiting, {});
    if (m_random.chance(survivesPercent)) {
        for (const auto &pending : entry) {
            for (const auto &command : pending.commands)
                apply(command);
        }
    }
    answer(entry, false);
    answer(waiting, false);
}

} // namespace ExecutionTest
