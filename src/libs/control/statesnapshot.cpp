#include "statesnapshot.h"

#include "removedendpoints.h"

#include "utils/cbor.h"

#include <algorithm>
#include <utility>

namespace Control {

template <typename Archive>
auto describe(Archive &archive, KnownEndpoint &endpoint) -> void
{
    archive.required("record", endpoint.record);
    archive.required("recordedEnds", endpoint.recordedEnds);
}

namespace Internal {

struct OccurrenceSnapshot
{
    std::int64_t number = 0;
    Jobs::OccurrenceProgress progress;
};

struct QueueSnapshot
{
    Jobs::QueueAddress address;
    Jobs::QueueTerms terms;

    auto operator==(const QueueSnapshot &) const -> bool = default;
};

struct JobSnapshot
{
    Jobs::JobSpec spec;
    //! What the job's queue was at the submission, if the queue of its name differs from that now.
    std::optional<QueueSnapshot> queue;
    Jobs::JobState state = Jobs::JobState::Active;
    std::int64_t endedMs = 0;
    std::vector<OccurrenceSnapshot> occurrences;
};

struct StateSnapshot
{
    Configuration configuration;
    std::vector<JobSnapshot> jobs;
    std::vector<KnownEndpoint> endpoints;
    std::vector<Wave> waves;
    std::vector<RecordStarts> starts;
};

template <typename Archive>
auto describe(Archive &archive, OccurrenceSnapshot &occurrence) -> void
{
    archive.required("number", occurrence.number);
    archive.required("progress", occurrence.progress);
}

template <typename Archive>
auto describe(Archive &archive, QueueSnapshot &queue) -> void
{
    archive.required("address", queue.address);
    archive.required("terms", queue.terms);
}

template <typename Archive>
auto describe(Archive &archive, JobSnapshot &job) -> void
{
    archive.required("spec", job.spec);
    archive.optional("queue", job.queue);
    archive.required("state", job.state);
    archive.required("ended", job.endedMs);
    archive.required("occurrences", job.occurrences);
}

template <typename Archive>
auto describe(Archive &archive, StateSnapshot &state) -> void
{
    archive.required("configuration", state.configuration);
    archive.required("jobs", state.jobs);
    archive.required("endpoints", state.endpoints);
    archive.required("waves", state.waves);
    archive.optional("starts", state.starts);
}

namespace {

// Returns what a job keeps of the queue with this name.
auto queueNamed(const Configuration &configuration, std::string_view name) -> QueueSnapshot
{
    const auto *queue = configuration.findQueue(name);
    if (queue == nullptr)
        return {};
    return {queue->address(), queue->terms()};
}

auto setQueue(Jobs::JobSpec &job, QueueSnapshot queue) -> void
{
    job.address = std::move(queue.address);
    job.terms = queue.terms;
}

// Returns the queue of the job if a restored snapshot would not find the same one by its name.
auto queueToSave(const Configuration &configuration, const Jobs::JobSpec &job)
    -> std::optional<QueueSnapshot>
{
    QueueSnapshot kept{job.address, job.terms};
    if (kept == queueNamed(configuration, job.queue))
        return std::nullopt;
    return kept;
}

// Appends what a restored process has to know of leases: the term in which they were recorded, and how
// long each goes on from now. Older builds skip these records.
auto saveLeases(const State &state, Utils::Instant now, std::vector<RecordStarts> &saved) -> void
{
    if (!state.recordsLeases)
        return;
    for (const auto &[id, endpoint] : state.endpoints) {
        if (!endpoint.endingLease)
            continue;
        const auto left = std::max(endpoint.endingLease->endsBy - now, Utils::Milliseconds(0));
        Command command;
        command.recordLease = RecordLease{endpoint.record.incarnation, left.count()};
        encodeUnderStarts(command);
        saved.push_back(*command.recordStarts);
    }
    if (saved.empty())
        return;
    RecordStarts term;
    term.term = std::int64_t(state.term);
    saved.push_back(std::move(term));
}

auto restoreStart(State &state, const RecordStarts &saved) -> void
{
    if (restoreRemoved(state, saved))
        return;
    Command command;
    command.recordStarts = saved;
    decodeUnderStarts(command);
    if (command.beginTerm)
        state.term = std::uint64_t(saved.term);
    const std::int64_t noTime = 0; // Of use for the ends of jobs alone.
    state.apply(command, noTime);
}

auto saveJob(const Configuration &configuration, const Jobs::Job &job) -> JobSnapshot
{
    JobSnapshot saved;
    saved.spec = job.spec;
    saved.queue = queueToSave(configuration, job.spec);
    saved.state = job.state;
    saved.endedMs = job.endedMs;
    for (const auto &[number, progress] : job.occurrences)
        saved.occurrences.push_back({number, progress});
    return saved;
}

auto restoreJob(const Configuration &configuration, JobSnapshot saved) -> Jobs::Job
{
    Jobs::Job job;
    job.spec = std::move(saved.spec);
    setQueue(job.spec,
             saved.queue ? std::move(*saved.queue) : queueNamed(configuration, job.spec.queue));
    job.state = saved.state;
    job.endedMs = saved.endedMs;
    for (auto &occurrence : saved.occurrences)
        job.occurrences[occurrence.number] = std::move(occurrence.progress);
    return job;
}

} // namespace

auto keepQueue(const Configuration &configuration, Jobs::JobSpec &job) -> void
{
    setQueue(job, queueNamed(configuration, job.queue));
}

auto encodeSnapshot(const State &state, Utils::Instant now) -> std::string
{
    StateSnapshot snapshot;
    snapshot.configuration = state.configuration;
    for (const auto &[id, job] : state.jobs.jobs())
        snapshot.jobs.push_back(saveJob(state.configuration, job));
    for (const auto &[id, endpoint] : state.endpoints)
        snapshot.endpoints.push_back(endpoint);
    for (const auto &[number, wave] : state.waves)
        snapshot.waves.push_back(wave);
    saveLeases(state, now, snapshot.starts);
    for (const auto &[job, starts] : state.startedTasks) {
        for (const auto &[task, start] : starts)
            snapshot.starts.push_back({start.incarnation, {task}, start.term});
    }
    for (const auto &[host, known] : state.hostOrders)
        snapshot.starts.push_back(encodeHostOrder(known.order));
    saveRemoved(state, snapshot.starts);
    return Utils::toCbor(snapshot);
}

auto decodeSnapshot(std::string_view bytes, Utils::Instant now, std::uint64_t endpointsVersion)
    -> Utils::Result<State>
{
    BOOST_OUTCOME_TRY(snapshot, Utils::fromCbor<StateSnapshot>(bytes));
    State state;
    state.appliedAt = now;
    state.configuration = std::move(snapshot.configuration);
    std::vector<Jobs::Job> jobs;
    for (auto &saved : snapshot.jobs)
        jobs.push_back(restoreJob(state.configuration, std::move(saved)));
    state.jobs.restore(std::move(jobs));
    state.endpointsVersion = endpointsVersion;
    for (auto &endpoint : snapshot.endpoints) {
        endpoint.changedIn = endpointsVersion;
        endpoint.replacedAt = state.appliedAt;
        state.endpoints[endpoint.record.incarnation.id] = std::move(endpoint);
    }
    for (auto &wave : snapshot.waves)
        state.waves[wave.number] = std::move(wave);
    for (const auto &start : snapshot.starts)
        restoreStart(state, start);
    return state;
}

} // namespace Internal
} // namespace Control
