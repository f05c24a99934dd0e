#pragma once

#include "controlcommands.h"

#include "jobs/jobtable.h"
#include "replication/replicatedlog.h"
#include "utils/clock.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <shared_mutex>

namespace Control {

/*! \brief A lease that no leader renews, on this process's clock. */
struct EndingLease
{
    Utils::Instant
        recordedAt;        //!< Time at which this process applied the first record of the silence.
    Utils::Instant endsBy; //!< All runs that hold the lease have ended by then.
};

/*! \brief Replicated state of an endpoint whose incarnation is not known to have ended. */
struct KnownEndpoint
{
    EndpointRecord record;
    std::int64_t recordedEnds = 0; //!< Number of the last end that is durably recorded.
    std::uint64_t changedIn = 0;   //!< State::endpointsVersion since which the record is as it is.
    //! When this process learnt that the incarnation replaced another one under its id, if it did, or may
    //! have; not replicated.
    std::optional<Utils::Instant> replacedAt;
    std::optional<EndingLease> endingLease; //!< None if the lease may be renewed; not replicated.
};

/*! \brief An endpoint that was removed, on this process's clock. */
struct RemovedEndpoint
{
    Utils::Instant removedAt;
    std::optional<Utils::Instant> leaseEndsBy; //!< See EndingLease; none if it was not recorded.
    std::int64_t bornMs = 0;                   //!< Birth of the incarnation.
    std::int64_t recordedEnds = 0;             //!< See KnownEndpoint.
    bool draining = false;                     //!< See EndpointRecord.
};

/*! \brief Where a task was last ordered to start, and in which term. */
struct RecordedStart
{
    EndpointIncarnation incarnation; //!< Without an id if the run that was started is gone.
    std::int64_t term = 0;
    //! Time at which this process learnt of the start; not replicated.
    std::optional<Utils::Instant> knownSince;

    auto mayRun() const -> bool { return !incarnation.id.empty(); }
};

/*! \brief The last order for a host that a leader has recorded. */
struct KnownHostOrder
{
    RecordHostOrder order;
    //! Time at which this process learnt of the order; not replicated.
    std::optional<Utils::Instant> knownSince;
};

/*! \brief The replicated state. Applying commands is deterministic. */
struct State
{
    Configuration configuration;
    Jobs::JobTable jobs;
    std::map<std::string, KnownEndpoint> endpoints; //!< Endpoints by id.
    //! Increases when a record in endpoints changes. Not replicated: each process has its own count.
    std::uint64_t endpointsVersion = 0;
    std::map<std::int64_t, Wave> waves; //!< Maintenance waves by number.
    //! Last recorded orders by host. Those that can no longer be carried out are forgotten later.
    std::map<std::string, KnownHostOrder> hostOrders;
    //! For each active job, where its tasks were last ordered to start. A task is removed when its
    //! end is durably recorded on that endpoint, or when the job ends.
    std::map<std::string, std::map<Jobs::TaskId, RecordedStart>> startedTasks;
    //! This process's time at which it applies commands, if it is known; not replicated.
    std::optional<Utils::Instant> appliedAt;
    //! Endpoints by id that were removed in the last minute; not replicated.
    std::map<std::string, RemovedEndpoint> removedEndpoints;
    std::uint64_t term = 0;     //!< Term of the last entry that was applied; not replicated.
    bool recordsLeases = false; //!< The leader of that term records which leases it renews.

    /*!
        \brief Takes note of the term of the entry that is applied next.

        Leaders of older builds renew leases without a record, so what was recorded before such a term
        is forgotten once the next one begins.
    */
    auto setTerm(std::uint64_t newTerm) -> void;
    auto apply(const CommandBatch &batch) -> void;
    auto apply(const Command &command, std::int64_t nowMs) -> void;
};

/*! \brief Returns the endpoint if its known incarnation is this one, or nullptr. */
template <typename AnyState>
auto findEndpoint(AnyState &state, const EndpointIncarnation &incarnation)
{
    const auto found = state.endpoints.find(incarnation.id);
    const auto isKnown =
        found != state.endpoints.end() && found->second.record.incarnation == incarnation;
    return isKnown ? &found->second : nullptr;
}

/*!
    \brief Returns commands that record the successful ends in \a record that \a state has ignored.

    It ignores ends of an incarnation that was replaced or removed before the record was committed. To be
    committed together, by the leader that was told of the ends.
*/
auto recordIgnoredEnds(const State &state, const RecordEnds &record) -> std::vector<Command>;

/*! \brief This process's copy of the state, updated by the replicated log. Thread-safe. */
class StateReplica final : public Replication::StateMachine
{
public:
    /*!
        \brief Calls \a changed after each applied change or restored snapshot, from the log's
        thread.
    */
    explicit StateReplica(const Utils::Clock &clock, std::function<void()> changed = {});

    auto apply(const Replication::Entry &entry) -> std::string override;
    /*!
        \brief Keeps \a batch, so that apply() does not have to decode \a payload.

        To be called for entries that this process submits.
    */
    auto cacheBatch(std::string payload, CommandBatch batch) -> void;
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

    const Utils::Clock &m_clock;
    std::mutex m_expectedMutex;
    std::deque<ExpectedEntry> m_expected; //!< Entries in the order of submission.
    mutable std::shared_mutex m_mutex;
    State m_state;
    std::function<void()> m_changed;
};

} // namespace Control
