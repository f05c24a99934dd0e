#include "taskarena.h"

#include "log.h"

#include <exception>

namespace Utils {

TaskArena::TaskArena(std::string name, int slots)
    : m_name(std::move(name))
    , m_slots(slots)
    , m_arena(slots, 0)
{}

TaskArena::~TaskArena()
{
    waitForAll();
}

auto TaskArena::enqueue(std::function<void()> task) -> void
{
    ++m_pending;
    m_arena.enqueue([this, task = std::move(task)] {
        try {
            task();
        } catch (const std::exception &exception) {
            Log::error("utils",
                       "a task ended with an exception",
                       {{"arena", m_name}, {"reason", exception.what()}});
        }
        finishOne();
    });
}

auto TaskArena::waitForAll() -> void
{
    std::unique_lock lock(m_mutex);
    m_idle.wait(lock, [this] { return m_pending.load() == 0; });
}

auto TaskArena::finishOne() -> void
{
    const std::scoped_lock lock(m_mutex);
    --m_pending;
    m_idle.notify_all();
}

ThreadLimit::ThreadLimit(int threads)
    : m_control(tbb::global_control::max_allowed_parallelism, std::size_t(threads))
{}

} // namespace Utils
