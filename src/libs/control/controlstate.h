#pragma once

#include "controlcommands.h"

#include "jobs/jobtable.h"
#include "replication/replicatedlog.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <shared_mutex>

namespace Control {

/*! \brief An endpoint whose life has not ended as far as is durably known. */
struct KnownEndpoint
{
    EndpointRecord record;
    std::int64_t recordedEnds = 0; //!< Number of the last end that is durably noted.
};

/*! \brief The replicated state. Changes are deterministic. */
struct State
{
    Configuration configuration;
    Jobs::JobTable jobs;
    std::map<std::string, KnownEndpoint> endpoints; //!< By endpoint id.
    std::map<std::int64_t, Wave> waves;             //!< By number.
    //! Where each task of an active job was last ordered to start, by job. Ends remove nothing
    //! here, but for those that are durable.
    std::map<std::string, std::map<Jobs::TaskId, EndpointLife>> startedTasks;

    auto apply(const CommandBatch &batch) -> void;
    auto apply(const Command &command, std::int64_t nowMs) -> void;
};

/*! \brief This process's copy of the state, fed by the replicated log. Thread-safe. */
class StateReplica final : public Replication::StateMachine
{
public:
    /*! \brief Calls \a changed after each applied entry, from the log's thread. */
    explicit StateReplica(std::function<void()> changed = {});

    auto apply(const Replication::Entry &entry) -> std::string override;
    /*!
        \brief Keeps \a batch, so that apply() need not decode it from \a payload.

        For entries that this process submits itself.
    */
    auto expect(std::string payload, CommandBatch batch) -> void;
    auto snapshot() const -> std::string override;
    auto restore(std::string_view bytes, Replication::Revision revision)
        -> Utils::Result<void> override;

    /*! \brief Calls \a reader with the state while no entry is being applied. */
    template <typename Reader>
    auto read(Reader &&reader) const
    {
        const std::shared_lock lock(m_mutex);
        return reader(m_state);
    }

private:
    struct ExpectedEntry
    {
        std::string payload;
        CommandBatch batch;
    };

    auto decode(const std::string &payload) -> Utils::Result<CommandBatch>;

    std::mutex m_expectedMutex;
    std::deque<ExpectedEntry> m_expected; //!< In the order of their submission.
    mutable std::shared_mutex m_mutex;
    State m_state;
    std::function<void()> m_changed;
};

} // namespace Control
