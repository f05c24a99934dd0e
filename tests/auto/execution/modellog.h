#pragma once

#include "randomsource.h"
#include "virtualtime.h"

#include "control/controlstate.h"

#include <functional>
#include <vector>

namespace ExecutionTest {

/*! \brief A replicated log on the virtual clock, which commits one entry at a time. */
class ModelLog
{
public:
    //! Called with whether the commands are committed.
    using Done = std::function<void(bool)>;

    ModelLog(VirtualTime &time, RandomSource &random);

    auto state() const -> const Control::State & { return m_state; }
    /*! \brief Applies \a command at once. */
    auto apply(const Control::Command &command) -> void;
    /*! \brief Commits \a commands in one entry, possibly together with others that wait. */
    auto commit(std::vector<Control::Command> commands, Done done) -> void;
    /*! \brief Settles the entry in progress by chance, and drops all that waits. */
    auto loseLeader() -> void;

private:
    struct Pending
    {
        std::vector<Control::Command> commands;
        Done done;
    };

    auto startEntry() -> void;
    auto finishEntry(std::int64_t generation) -> void;
    static auto answer(const std::vector<Pending> &batch, bool committed) -> void;

    VirtualTime &m_time;
    RandomSource &m_random;
    Control::State m_state;
    std::vector<Pending> m_waiting;
    std::vector<Pending> m_entry; //!< What is being committed.
    bool m_busy = false;
    std::int64_t m_generation = 0; //!< Number of lost leaders.
};

} // namespace ExecutionTest
