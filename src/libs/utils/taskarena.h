#pragma once

#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/task_arena.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Utils {

/*!
    \brief Runs blocking tasks on the threads of oneTBB arenas.

    One object for each kind of work, so that one kind cannot take the threads of another.
    oneTBB starts all threads of an arena at its first task; the slots are therefore spread
    over small arenas, and one is used only when those before it are full.
*/
class TaskArena
{
public:
    TaskArena(std::string name, int slots);
    /*! \brief Waits for all tasks. */
    ~TaskArena();
    TaskArena(const TaskArena &) = delete;
    auto operator=(const TaskArena &) -> TaskArena & = delete;

    /*! \brief Runs \a task on a free slot, or once a slot is free. */
    auto enqueue(std::function<void()> task) -> void;
    auto waitForAll() -> void;
    /*! \brief Returns the number of tasks that run or wait for a slot. */
    auto running() const -> int;
    auto slots() const -> int { return m_slots; }

private:
    using Task = std::function<void()>;

    /*! \brief A part of the slots with an arena of its own. */
    struct Shard
    {
        explicit Shard(int shardSlots)
            : slots(shardSlots)
            , arena(shardSlots, 0)
        {}

        int slots;
        int used = 0;
        tbb::task_arena arena;
    };

    auto freeShard() -> Shard *;
    auto runFrom(Shard &shard, Task task) -> void;
    auto runGuarded(const Task &task) const -> void;
    auto finish(Shard &shard) -> Task;

    std::string m_name;
    int m_slots;
    std::vector<std::unique_ptr<Shard>> m_shards;
    mutable std::mutex m_mutex;
    std::condition_variable m_idle;
    std::deque<Task> m_waiting;
    int m_pending = 0;
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
