#pragma once

#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/task_arena.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

namespace Utils {

/*!
    \brief Runs blocking tasks on the threads of one oneTBB arena.

    One arena for each kind of work, so that one kind cannot take the threads of another.
*/
class TaskArena
{
public:
    TaskArena(std::string name, int slots);
    /*! \brief Waits for all tasks. */
    ~TaskArena();
    TaskArena(const TaskArena &) = delete;
    auto operator=(const TaskArena &) -> TaskArena & = delete;

    auto enqueue(std::function<void()> task) -> void;
    auto waitForAll() -> void;
    auto running() const -> int { return m_pending.load(); }
    auto slots() const -> int { return m_slots; }

private:
    auto finishOne() -> void;

    std::string m_name;
    int m_slots;
    tbb::task_arena m_arena;
    std::atomic<int> m_pending = 0;
    std::mutex m_mutex;
    std::condition_variable m_idle;
};

/*! \brief Allows oneTBB as many threads as the sum of all arenas' slots. Made once, in main. */
class ThreadLimit
{
public:
    explicit ThreadLimit(int threads);

private:
    tbb::global_control m_control;
};

} // namespace Utils
