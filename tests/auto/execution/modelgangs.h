#pragma once

#include "randomsource.h"
#include "virtualtime.h"

#include "execution/orders.h"

#include <map>
#include <memory>
#include <tuple>

namespace ExecutionTest {

class ModelEndpoint;

/*! \brief Lets the members of each gang work from the moment when all of them are present. */
class ModelGangs
{
public:
    ModelGangs(VirtualTime &time, RandomSource &random);

    /*! \brief Adds the run of \a task on \a endpoint to its gang. */
    auto join(const Jobs::TaskId &task,
              std::int64_t run,
              const std::shared_ptr<ModelEndpoint> &endpoint,
              std::int64_t size,
              std::int64_t durationMs) -> void;
    /*! \brief Handles the end of a member: the other members end as well. */
    auto leave(const Jobs::TaskId &task, std::int64_t run) -> void;

private:
    using Key = std::tuple<std::string, std::int64_t, std::int64_t, std::int64_t>;
    using Members = std::map<Jobs::TaskId, std::weak_ptr<ModelEndpoint>>;
    struct Gang
    {
        Members members;
        bool complete = false;
    };

    static auto keyOf(const Jobs::TaskId &task, std::int64_t run) -> Key;
    auto finishAll(const Members &members, std::int64_t run, Execution::EndKind kind) -> void;

    VirtualTime &m_time;
    RandomSource &m_random;
    std::map<Key, Gang> m_gangs;
};

} // namespace ExecutionTest
