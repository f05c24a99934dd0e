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

    Each kind of work has its own object, so that one kind cannot occupy the threads of another.
    oneTBB starts all threads of an arena at its first task. The slots are therefore divided
    into small arenas, each of which is used only when all arenas before it are full.
*/
class TaskArena
{
public:
    TaskArena(std::string name, int slots);
    /*! \brief Waits until all tasks have finished. */
    ~TaskArena();
    TaskArena(const TaskArena &) = delete;
    auto operator=(const TaskArena &) -> TaskArena & = delete;

    /*! \brief Runs \a task in a free slot, or queues it until a slot is free. */
    auto enqueue(std::function<void()> task) -> void;
    auto waitForAll() -> void;
    /*! \brief Returns the number of tasks that are running or waiting for a slot. */
    auto running() const -> int;
    auto slots() const -> int { return m_slots; }

private:
    using Task = std::function<void()>;

    /*! \brief Subset of the slots with its own arena. */
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
    auto runTasks(Shard &shard, Task task) -> void;
    auto runAndLogExceptions(const Task &task) const -> void;
    auto finish(Shard &shard) -> Task;

    std::string m_name;
    int m_slots;
    std::vector<std::unique_ptr<Shard>> m_shards;
    mutable std::mutex m_mutex;
    std::condition_variable m_idle;
    std::deque<Task> m_waiting;
    int m_pending = 0;
};

/*!
    \brief Sets the maximum number of oneTBB threads of the process while the object exists.

    The number must cover the slots of all arenas, so that every slot can get a thread. A process
    creates one object at its start.
*/
class ThreadLimit
{
public:
    explicit ThreadLimit(int threads);

private:
    tbb::global_control m_control;
};

} // namespace Utils
