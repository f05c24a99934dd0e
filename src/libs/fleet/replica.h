#pragma once

#include "state.h"

#include <condition_variable>
#include <mutex>
#include <shared_mutex>

namespace Fleet {

/*! \brief This process's copy of the fleet's state, updated by the replicated log. Thread-safe. */
class Replica final : public Replication::StateMachine
{
public:
    auto apply(const Replication::Entry &entry) -> std::string override;
    auto snapshot() const -> std::string override;
    auto restore(std::string_view bytes, Revision revision) -> Utils::Result<void> override;

    /*! \brief Calls \a reader with the state while no entry is being applied. */
    template <typename Reader>
    auto read(Reader &&reader) const
    {
        const std::shared_lock lock(m_mutex);
        return reader(m_state);
    }

    auto revision() const -> Revision;
    /*!
        \brief Waits up to \a timeout until the state's revision is above \a revision.

        Returns whether it is.
    */
    auto waitForChange(Revision revision, Utils::Milliseconds timeout) const -> bool;

private:
    mutable std::shared_mutex m_mutex;
    mutable std::condition_variable_any m_changed;
    State m_state;
    Revision m_revision = 0;
};

} // namespace Fleet
