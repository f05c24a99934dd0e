#include "committer.h"

#include "utils/cbor.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace Service {

// A leader that cannot commit for this long has lost its majority.
constexpr Utils::Milliseconds commitTimeout{2500};
// Minimum time between the starts of two entries. Each entry costs a disk sync and a message to
// every voter, regardless of the number of commands in it.
constexpr Utils::Milliseconds entryInterval{20};
// Safety limit of a single wait: the end of every commit is notified.
constexpr Utils::Milliseconds maximumWait{60'000};

Committer::Committer(AsyncNet::asio::io_context &loop,
                     Replication::ReplicatedLog &log,
                     Control::StateReplica &state,
                     const Utils::Clock &clock)
    : m_loop(loop)
    , m_log(log)
    , m_state(state)
    , m_clock(clock)
    , m_thread([this](const std::stop_token &stop) { run(stop); })
{}

Committer::~Committer() = default;

auto Committer::commit(std::vector<Control::Command> commands)
    -> AsyncNet::Task<Execution::CommitResult>
{
    return queue(std::move(commands), std::nullopt);
}

auto Committer::commitInTerm(std::vector<Control::Command> commands, std::uint64_t term)
    -> AsyncNet::Task<Execution::CommitResult>
{
    return queue(std::move(commands), term);
}

auto Committer::queue(std::vector<Control::Command> commands, std::optional<std::uint64_t> term)
    -> AsyncNet::Task<Execution::CommitResult>
{
    const auto pending = std::make_shared<PendingCommit>(m_loop);
    pending->commands = std::move(commands);
    pending->term = term;
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(pending);
    }
    m_queued.notify_one();
    while (!pending->result)
        co_await pending->finished.waitFor(maximumWait);
    co_return *pending->result;
}

auto Committer::run(const std::stop_token &stop) -> void
{
    auto lastStart = std::chrono::steady_clock::time_point();
    for (;;) {
        std::vector<PendingCommitPointer> batch;
        {
            std::unique_lock lock(m_mutex);
            if (!m_queued.wait(lock, stop, [this] { return !m_queue.empty(); }))
                return;
        }
        std::this_thread::sleep_until(lastStart + entryInterval);
        lastStart = std::chrono::steady_clock::now();
        {
            const std::lock_guard lock(m_mutex);
            batch.swap(m_queue);
        }
        if (auto outdated = takeOutdated(batch); !outdated.empty())
            finish(std::move(outdated), Execution::CommitResult::NotCommitted);
        if (batch.empty())
            continue;
        const auto result = submit(batch);
        finish(std::move(batch), result);
    }
}

auto Committer::takeOutdated(std::vector<PendingCommitPointer> &batch) const
    -> std::vector<PendingCommitPointer>
{
    const auto hasTerm = [](const auto &pending) { return pending->term.has_value(); };
    if (std::ranges::none_of(batch, hasTerm))
        return {};
    const auto current = m_log.status().term;
    const auto isCurrent = [current](const auto &pending) {
        return pending->term.value_or(current) == current;
    };
    const auto rest = std::stable_partition(batch.begin(), batch.end(), isCurrent);
    std::vector<PendingCommitPointer> outdated(rest, batch.end());
    batch.erase(rest, batch.end());
    return outdated;
}

auto Committer::finish(std::vector<PendingCommitPointer> batch, Execution::CommitResult result)
    -> void
{
    AsyncNet::asio::post(m_loop, [batch = std::move(batch), result] {
        for (const auto &pending : batch) {
            pending->result = result;
            pending->finished.notify();
        }
    });
}

auto Committer::submit(const std::vector<PendingCommitPointer> &batch) -> Execution::CommitResult
{
    Control::CommandBatch entry;
    entry.timeMs = m_clock.wallTime();
    std::optional<std::uint64_t> term;
    for (const auto &pending : batch) {
        if (pending->term)
            term = pending->term;
        for (auto &command : pending->commands)
            entry.commands.push_back(std::move(command));
    }
    auto payload = Utils::toCbor(entry);
    m_state.cacheBatch(payload, std::move(entry));
    const auto reply = term ? m_log.submitInTerm(*term, std::move(payload), commitTimeout)
                            : m_log.submit(std::move(payload), commitTimeout);
    if (reply)
        return Execution::CommitResult::Committed;
    if (reply.error().type == Utils::ErrorType::OutcomeUnknown)
        return Execution::CommitResult::Unknown;
    return Execution::CommitResult::NotCommitted;
}

} // namespace Service
