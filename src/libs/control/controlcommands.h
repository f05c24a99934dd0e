#pragma once

#include "configuration.h"

#include "jobs/jobtypes.h"

#include <optional>
#include <tuple>
#include <utility>

/*! The replicated state of job control: configuration, jobs, endpoints and maintenance waves. */
namespace Control {

/*! \brief One incarnation of an endpoint; a restart under the same id starts another one. */
struct EndpointIncarnation
{
    std::string id;
    std::int64_t bornMs = 0; //!< Start time in ms since 1970, by the endpoint's own clock.

    auto operator==(const EndpointIncarnation &) const -> bool = default;
    auto operator<(const EndpointIncarnation &other) const -> bool
    {
        return std::tie(id, bornMs) < std::tie(other.id, other.bornMs);
    }
};

/*! \brief State of an endpoint from its announcements. */
struct EndpointRecord
{
    EndpointIncarnation incarnation;
    std::string pool;
    std::string address;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels; //!< Labels that tasks may require.
    Jobs::Resources capacity;
    bool draining = false; //!< Never reset: an endpoint that drains takes no new tasks.

    auto operator==(const EndpointRecord &) const -> bool = default;
};

/*! \brief Records the ends of runs that an endpoint reported. */
struct RecordEnds
{
    struct End
    {
        std::int64_t number = 0; //!< Number of the end within this incarnation.
        Jobs::TaskId task;
        Jobs::TaskOutcome outcome = Jobs::TaskOutcome::Done;
    };
    EndpointIncarnation incarnation;
    std::vector<End> ends;
};

/*!
    \brief Records that tasks are about to be ordered to start on an endpoint.

    A later leader then knows where a task may be running even if it cannot reach that endpoint.
    An incarnation without an id records that nothing runs the tasks any more. Older builds take it
    for an endpoint that has left.
*/
struct RecordStarts
{
    EndpointIncarnation incarnation;
    std::vector<Jobs::TaskId> tasks;
    std::int64_t term = 0; //!< Term of the leader that starts them; 0 in entries of older builds.
};

/*! \brief Returns the record that nothing runs \a tasks any more. */
inline auto recordGone(std::vector<Jobs::TaskId> tasks, std::int64_t term) -> RecordStarts
{
    RecordStarts record;
    record.tasks = std::move(tasks);
    record.term = term;
    return record;
}

/*!
    \brief Records whether the leader renews the lease of an endpoint.

    Once a time has been committed, no leader renews the lease before it has committed that it is
    renewed again. A later leader then knows when the runs of a silent endpoint have ended at the latest.
*/
struct RecordLease
{
    EndpointIncarnation incarnation;
    std::optional<std::int64_t>
        leftMs; //!< Longest time until the lease is over; none if it is renewed.
};

/*! \brief What a leader that records leases commits before it renews any in its term. */
struct BeginTerm
{};

/*! \brief A maintenance wave: hosts to be maintained, with a limit on how many at a time. */
struct Wave
{
    std::int64_t number = 0;
    std::vector<std::string> hosts;
    std::int64_t durationMs = 0;
    std::int64_t maximumAtOnce = 1;
    std::int64_t startedMs = 0; //!< Time of the request in ms since 1970, by the leader's clock.
    std::vector<std::string> finishedHosts; //!< Hosts that began maintenance or left the fleet.

    auto isDone() const -> bool { return finishedHosts.size() == hosts.size(); }
};

/*! \brief Records that a host of a wave is finished, see Wave::finishedHosts. */
struct FinishWaveHost
{
    std::int64_t wave = 0;
    std::string host;
};

/*!
    \brief Records that the host of an endpoint is about to be ordered to be moved or maintained.

    A later leader then knows which endpoints an order of its predecessor may still end.
*/
struct RecordHostOrder
{
    std::string host;
    EndpointIncarnation incarnation; //!< The endpoint that runs on the host.
    std::int64_t wave = 0;           //!< The wave that the host is maintained for; 0 for a move.
    std::string pool;                //!< The pool that the host is moved to.

    auto isMove() const -> bool { return !pool.empty(); }
};

/*! \brief One change of the control state; exactly one member is set. */
struct Command
{
    std::optional<Jobs::JobSpec> submitJob;
    std::optional<std::string> cancelJob;
    std::optional<RecordStarts> recordStarts;
    std::optional<RecordEnds> recordEnds;
    std::optional<RecordLease> recordLease;
    std::optional<BeginTerm> beginTerm;
    std::optional<Configuration> configuration;
    std::optional<EndpointRecord> addEndpoint;
    std::optional<EndpointIncarnation> removeEndpoint;
    std::optional<Wave> startWave;
    std::optional<FinishWaveHost> finishWaveHost;
    std::optional<RecordHostOrder> recordHostOrder;
};

/*! \brief The commands in one log entry. */
struct CommandBatch
{
    std::int64_t timeMs = 0; //!< Time in ms since 1970, by the leader's clock.
    std::vector<Command> commands;
};

template <typename Archive>
auto describe(Archive &archive, EndpointIncarnation &incarnation) -> void
{
    archive.required("id", incarnation.id);
    archive.required("born", incarnation.bornMs);
}

template <typename Archive>
auto describe(Archive &archive, EndpointRecord &endpoint) -> void
{
    archive.required("life", endpoint.incarnation);
    archive.required("pool", endpoint.pool);
    archive.required("address", endpoint.address);
    archive.optional("zone", endpoint.zone);
    archive.optional("rack", endpoint.rack);
    archive.optional("labels", endpoint.labels);
    archive.optional("capacity", endpoint.capacity);
    archive.optional("draining", endpoint.draining);
}

// Tasks are encoded as text to keep entries small: every process logs thousands of starts and ends
// a second.
template <typename Archive>
auto describe(Archive &archive, RecordEnds::End &end) -> void
{
    auto task = Jobs::toText(end.task);
    archive.required("number", end.number);
    archive.required("task", task);
    archive.required("outcome", end.outcome);
    end.task = Jobs::taskFromText(task).value_or(Jobs::TaskId{});
}

template <typename Archive>
auto describe(Archive &archive, RecordStarts &record) -> void
{
    std::vector<std::string> tasks;
    for (const auto &task : record.tasks)
        tasks.push_back(Jobs::toText(task));
    archive.required("life", record.incarnation);
    archive.required("tasks", tasks);
    archive.optional("term", record.term);
    record.tasks.clear();
    for (const auto &task : tasks)
        record.tasks.push_back(Jobs::taskFromText(task).value_or(Jobs::TaskId{}));
}

template <typename Archive>
auto describe(Archive &archive, RecordEnds &record) -> void
{
    archive.required("life", record.incarnation);
    archive.required("ends", record.ends);
}

template <typename Archive>
auto describe(Archive &archive, Wave &wave) -> void
{
    archive.required("number", wave.number);
    archive.required("hosts", wave.hosts);
    archive.optional("duration", wave.durationMs);
    archive.optional("atOnce", wave.maximumAtOnce);
    archive.optional("started", wave.startedMs);
    archive.optional("finished", wave.finishedHosts);
}

template <typename Archive>
auto describe(Archive &archive, FinishWaveHost &finish) -> void
{
    archive.required("wave", finish.wave);
    archive.required("host", finish.host);
}

/*! \brief Returns \a order as a record of starts, which changes nothing in older builds. */
auto encodeHostOrder(const RecordHostOrder &order) -> RecordStarts;
/*! \brief Returns the order that encodeHostOrder() has encoded, if \a starts is one. */
auto decodeHostOrder(const RecordStarts &starts) -> std::optional<RecordHostOrder>;

/*! \brief Moves commands that are stored under the key of another one into \c recordStarts. */
auto encodeUnderStarts(Command &command) -> void;
/*! \brief Moves commands back that encodeUnderStarts() has moved. */
auto decodeUnderStarts(Command &command) -> void;

template <typename Archive>
auto describe(Archive &archive, Command &command) -> void
{
    archive.optional("handIn", command.submitJob);
    archive.optional("cancel", command.cancelJob);
    encodeUnderStarts(command);
    archive.optional("starts", command.recordStarts);
    decodeUnderStarts(command);
    archive.optional("ends", command.recordEnds);
    archive.optional("configuration", command.configuration);
    archive.optional("addEndpoint", command.addEndpoint);
    archive.optional("removeEndpoint", command.removeEndpoint);
    archive.optional("startWave", command.startWave);
    archive.optional("finishWaveHost", command.finishWaveHost);
}

template <typename Archive>
auto describe(Archive &archive, CommandBatch &batch) -> void
{
    archive.required("time", batch.timeMs);
    archive.required("commands", batch.commands);
}

} // namespace Control
