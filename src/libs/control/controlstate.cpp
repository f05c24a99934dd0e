#include "controlstate.h"

#include "statesnapshot.h"

#include "utils/cbor.h"
#include "utils/log.h"

#include <algorithm>
#include <utility>

namespace Control {

// Maximum number of submitted entries whose batches are kept until they are applied. The batches of
// further entries are decoded.
constexpr std::size_t maximumExpectedEntries = 4;
// Time for which callers can query an ended job. The clocks of successive leaders may differ by
// seconds.
constexpr std::int64_t endedJobRetentionMs = 300'000;
// Time for which it is known when an endpoint was removed. Nothing runs there after a third of it.
constexpr Utils::Milliseconds removalRetention{60'000};
// Time for which an order for a host is known. It is not carried out after a third of it.
constexpr Utils::Milliseconds hostOrderRetention{60'000};

// Endpoints of a fleet have no such ids.
constexpr std::string_view endedPrefix = "ended ";

namespace {

auto isActive(const State &state, const std::string &job) -> bool
{
    const auto *found = state.jobs.find(job);
    return found != nullptr && found->state == Jobs::JobState::Active;
}

auto apply(State &state, const RecordStarts &record) -> void
{
    for (const auto &task : record.tasks) {
        if (!isActive(state, task.job))
            continue;
        // The record of a leader that has lost its term may be forwarded and committed later.
        auto &start = state.startedTasks[task.job][task];
        if (record.term == 0 || start.term <= record.term)
            start = {record.incarnation, record.term, state.appliedAt};
    }
}

// Removes the recorded start of a task whose run ended, and all starts of the job if it ended too.
auto removeStart(State &state, const Jobs::TaskId &task, const EndpointIncarnation &incarnation)
    -> void
{
    const auto job = state.startedTasks.find(task.job);
    if (job == state.startedTasks.end())
        return;
    const auto start = job->second.find(task);
    if (start != job->second.end() && start->second.incarnation == incarnation)
        job->second.erase(start);
    if (job->second.empty() || !isActive(state, task.job))
        state.startedTasks.erase(job);
}

auto apply(State &state, const RecordEnds &record, std::int64_t nowMs) -> void
{
    auto *endpoint = findEndpoint(state, record.incarnation);
    if (endpoint == nullptr)
        return;
    auto &recorded = endpoint->recordedEnds;
    for (const auto &end : record.ends) {
        // Ends may be submitted twice if the outcome of the first submission was unknown.
        if (end.number <= recorded)
            continue;
        recorded = end.number;
        const auto *job = state.jobs.find(end.task.job);
        if (job != nullptr)
            state.jobs.recordEnd(end.task,
                                 end.outcome,
                                 state.configuration.termsOf(job->spec).maximumAttempts,
                                 nowMs);
        removeStart(state, end.task, record.incarnation);
    }
}

auto apply(State &state, EndpointRecord record) -> void
{
    auto &known = state.endpoints[record.incarnation.id];
    const auto same = known.record.incarnation == record.incarnation;
    if (!same && known.record.incarnation.bornMs >= record.incarnation.bornMs)
        return;
    record.draining = record.draining || (same && known.record.draining);
    if (known.record == record)
        return;
    if (!same) {
        const auto replaces = !known.record.incarnation.id.empty()
                              || state.removedEndpoints.contains(record.incarnation.id);
        known = {};
        if (replaces)
            known.replacedAt = state.appliedAt.value_or(Utils::Instant::max());
    }
    known.record = std::move(record);
    known.changedIn = ++state.endpointsVersion;
}

auto apply(State &state, const RecordLease &lease) -> void
{
    auto *endpoint = findEndpoint(state, lease.incarnation);
    if (endpoint == nullptr)
        return;
    const auto earlier = std::exchange(endpoint->endingLease, std::nullopt);
    if (!lease.leftMs || !state.appliedAt)
        return;
    const auto now = *state.appliedAt;
    endpoint->endingLease = {earlier ? earlier->recordedAt : now,
                             now + Utils::Milliseconds(*lease.leftMs)};
}

auto removeEndpoint(State &state, const EndpointIncarnation &incarnation) -> void
{
    const auto *endpoint = findEndpoint(state, incarnation);
    if (endpoint == nullptr)
        return;
    RemovedEndpoint removed;
    if (endpoint->endingLease)
        removed.leaseEndsBy = endpoint->endingLease->endsBy;
    removed.bornMs = incarnation.bornMs;
    removed.recordedEnds = endpoint->recordedEnds;
    removed.draining = endpoint->record.draining;
    state.endpoints.erase(incarnation.id);
    if (!state.appliedAt)
        return;
    removed.removedAt = *state.appliedAt;
    const auto oldest = *state.appliedAt - removalRetention;
    std::erase_if(state.removedEndpoints,
                  [&](const auto &item) { return item.second.removedAt < oldest; });
    state.removedEndpoints[incarnation.id] = removed;
}

auto apply(State &state, const RecordHostOrder &order) -> void
{
    if (state.appliedAt) {
        const auto oldest = *state.appliedAt - hostOrderRetention;
        std::erase_if(state.hostOrders, [&](const auto &item) {
            return item.second.knownSince && *item.second.knownSince < oldest;
        });
    }
    state.hostOrders[order.host] = {order, state.appliedAt};
}

auto apply(State &state, const FinishWaveHost &finish) -> void
{
    const auto found = state.waves.find(finish.wave);
    if (found == state.waves.end())
        return;
    auto &wave = found->second;
    const auto planned = std::ranges::find(wave.hosts, finish.host) != wave.hosts.end();
    const auto finished = std::ranges::find(wave.finishedHosts, finish.host);
    if (planned && finished == wave.finishedHosts.end())
        wave.finishedHosts.push_back(finish.host);
}

} // namespace

auto State::apply(const CommandBatch &batch) -> void
{
    for (const auto &command : batch.commands)
        apply(command, batch.timeMs);
    jobs.forgetEndedBefore(batch.timeMs - endedJobRetentionMs);
}

auto State::apply(const Command &command, std::int64_t nowMs) -> void
{
    if (command.submitJob) {
        auto job = *command.submitJob;
        Internal::keepQueue(configuration, job);
        jobs.add(std::move(job));
    }
    if (command.cancelJob) {
        jobs.cancel(*command.cancelJob, nowMs);
        startedTasks.erase(*command.cancelJob);
    }
    if (command.recordStarts)
        Control::apply(*this, *command.recordStarts);
    if (command.recordEnds)
        Control::apply(*this, *command.recordEnds, nowMs);
    if (command.configuration && command.configuration->version > configuration.version) {
        configuration = *command.configuration;
        configuration.sortByName();
    }
    if (command.addEndpoint)
        Control::apply(*this, *command.addEndpoint);
    if (command.recordLease)
        Control::apply(*this, *command.recordLease);
    recordsLeases = recordsLeases || command.beginTerm || command.recordLease;
    if (command.removeEndpoint)
        Control::removeEndpoint(*this, *command.removeEndpoint);
    if (command.startWave)
        waves.try_emplace(command.startWave->number, *command.startWave);
    if (command.finishWaveHost)
        Control::apply(*this, *command.finishWaveHost);
    if (command.recordHostOrder)
        Control::apply(*this, *command.recordHostOrder);
}

auto State::setTerm(std::uint64_t newTerm) -> void
{
    if (std::exchange(term, newTerm) == newTerm || std::exchange(recordsLeases, false))
        return;
    for (auto &[id, endpoint] : endpoints)
        endpoint.endingLease.reset();
}

// Older builds have to take the ends in, too, so no command of a new kind is used: an endpoint that exists
// between two commands alone has ended the tasks. Failures are left out, since these would be counted again
// if the outcome of the commit was unknown.
auto recordIgnoredEnds(const State &state, const RecordEnds &record) -> std::vector<Command>
{
    RecordEnds ends;
    for (const auto &end : record.ends) {
        if (end.outcome == Jobs::TaskOutcome::Done && state.jobs.isUndone(end.task))
            ends.ends.push_back(end);
    }
    if (ends.ends.empty())
        return {};
    ends.incarnation = record.incarnation;
    ends.incarnation.id.insert(0, endedPrefix);
    std::vector<Command> commands(3);
    commands[0].addEndpoint.emplace().incarnation = ends.incarnation;
    commands[1].recordEnds = ends;
    commands[2].removeEndpoint = ends.incarnation;
    return commands;
}

StateReplica::StateReplica(const Utils::Clock &clock, std::function<void()> changed)
    : m_clock(clock)
    , m_changed(std::move(changed))
{}

auto StateReplica::cacheBatch(std::string payload, CommandBatch batch) -> void
{
    const std::lock_guard lock(m_expectedMutex);
    m_expected.push_back({std::move(payload), std::move(batch)});
    if (m_expected.size() > maximumExpectedEntries)
        m_expected.pop_front();
}

auto StateReplica::decode(const std::string &payload) -> Utils::Result<CommandBatch>
{
    {
        const std::lock_guard lock(m_expectedMutex);
        const auto found = std::ranges::find(m_expected, payload, &ExpectedEntry::payload);
        if (found != m_expected.end()) {
            auto batch = std::move(found->batch);
            // Entries are applied in the order of submission, so that earlier ones were not
            // committed.
            m_expected.erase(m_expected.begin(), std::next(found));
            return batch;
        }
    }
    return Utils::fromCbor<CommandBatch>(payload);
}

auto StateReplica::apply(const Replication::Entry &entry) -> std::string
{
    if (entry.payload.empty())
        return {};
    const auto batch = decode(entry.payload);
    if (!batch) {
        Utils::Log::error("control",
                          "skipped a log entry that cannot be decoded",
                          {{"revision", entry.revision}, {"reason", batch.error().details}});
        return {};
    }
    {
        const std::unique_lock lock(m_mutex);
        m_state.appliedAt = m_clock.now();
        m_state.setTerm(entry.term);
        m_state.apply(batch.value());
    }
    if (m_changed)
        m_changed();
    return {};
}

auto StateReplica::snapshot() const -> std::string
{
    const std::shared_lock lock(m_mutex);
    return Internal::encodeSnapshot(m_state, m_clock.now());
}

auto StateReplica::restore(std::string_view bytes, Replication::Revision) -> Utils::Result<void>
{
    const auto version = read([](const State &current) { return current.endpointsVersion + 1; });
    BOOST_OUTCOME_TRY(state, Internal::decodeSnapshot(bytes, m_clock.now(), version));
    {
        const std::unique_lock lock(m_mutex);
        m_state = std::move(state);
    }
    if (m_changed)
        m_changed();
    return Utils::success();
}

} // namespace Control
