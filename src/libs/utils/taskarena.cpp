#include "taskarena.h"

#include "log.h"

#include <algorithm>
#include <exception>

namespace Utils {

namespace {
constexpr auto slotsPerShard = 16;
}

TaskArena::TaskArena(std::string name, int slots)
    : m_name(std::move(name))
    , m_slots(slots)
{
    for (auto left = slots; left > 0; left -= slotsPerShard)
        m_shards.push_back(std::make_unique<Shard>(std::min(left, slotsPerShard)));
}

TaskArena::~TaskArena()
{
    waitForAll();
}

auto TaskArena::enqueue(std::function<void()> task) -> void
{
    Shard *shard = nullptr;
    {
        const std::scoped_lock lock(m_mutex);
        ++m_pending;
        shard = freeShard();
        if (!shard) {
            m_waiting.push_back(std::move(task));
            return;
        }
        ++shard->used;
    }
    shard->arena.enqueue([this, shard, task = std::move(task)] { runTasks(*shard, task); });
}

auto TaskArena::waitForAll() -> void
{
    std::unique_lock lock(m_mutex);
    m_idle.wait(lock, [this] { return m_pending == 0; });
}

auto TaskArena::running() const -> int
{
    const std::scoped_lock lock(m_mutex);
    return m_pending;
}

auto TaskArena::freeShard() -> Shard *
{
    for (const auto &shard : m_shards) {
        if (shard->used < shard->slots)
            return shard.get();
    }
    return nullptr;
}

auto TaskArena::runTasks(Shard &shard, Task task) -> void
{
    while (task) {
        runAndLogExceptions(task);
        task = nullptr;
        task = finish(shard);
    }
}

auto TaskArena::runAndLogExceptions(const Task &task) const -> void
{
    try {
        task();
    } catch (const std::exception &exception) {
        Log::error("utils",
                   "a task ended with an exception",
                   {{"arena", m_name}, {"reason", exception.what()}});
    }
}

// Returns the next waiting task, which then runs in the same slot. If no task waits, releases
// the slot and returns an empty function.
auto TaskArena::finish(Shard &shard) -> Task
{
    const std::scoped_lock lock(m_mutex);
    --m_pending;
    if (m_waiting.empty()) {
        --shard.used;
        m_idle.notify_all();
        return {};
    }
    auto next = std::move(m_waiting.front());
    m_waiting.pop_front();
    return next;
}

ThreadLimit::ThreadLimit(int threads)
    : m_control(tbb::global_control::max_allowed_parallelism, std::size_t(threads))
{}

} // namespace Utils
