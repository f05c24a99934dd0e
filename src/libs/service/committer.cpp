#include "committer.h"

#include <boost/asio/post.hpp>

namespace Service {

// Longer than an election, so that commands survive a change of leader.
constexpr Utils::Milliseconds commitTimeout{2500};
// Between the beginnings of two entries. Each entry costs a sync and a message to every voter,
// however few commands it carries.
constexpr Utils::Milliseconds entryInterval{20};
// Bounds a wait whose end is always notified.
constexpr Utils::Milliseconds longestWait{60'000};

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
    const auto waiting = std::make_shared<Waiting>(m_loop);
    waiting->commands = std::move(commands);
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(waiting);
    }
    m_queued.notify_one();
    while (!waiting->result)
        co_await waiting->finished.waitFor(longestWait);
    co_return *waiting->result;
}

auto Committer::run(const std::stop_token &stop) -> void
{
    auto lastBegan = std::chrono::steady_clock::time_point();
    for (;;) {
        std::vector<WaitingPointer> batch;
        {
            std::unique_lock lock(m_mutex);
            if (!m_queued.wait(lock, stop, [this] { return !m_queue.empty(); }))
                return;
        }
        std::this_thread::sleep_until(lastBegan + entryInterval);
        lastBegan = std::chrono::steady_clock::now();
        {
            const std::lock_guard lock(m_mutex);
            batch.swap(m_queue);
        }
        const auto result = submit(batch);
        AsyncNet::asio::post(m_loop, [batch = std::move(batch), result] {
            for (const auto &waiting : batch) {
                waiting->result = result;
                waiting->finished.notify();
            }
        });
    }
}

auto Committer::submit(const std::vector<WaitingPointer> &batch) -> Execution::CommitResult
{
    Control::CommandBatch entry;
    entry.timeMs = m_clock.wallTime();
    for (const auto &waiting : batch) {
        for (auto &command : waiting->commands)
            entry.commands.push_back(std::move(command));
    }
    auto payload = Utils::toCbor(entry);
    m_state.expect(payload, std::move(entry));
    const auto reply = m_log.submit(std::move(payload), commitTimeout);
    if (reply)
        return Execution::CommitResult::Committed;
    if (reply.error().type == Utils::ErrorType::OutcomeUnknown)
        return Execution::CommitResult::Unknown;
    return Execution::CommitResult::NotCommitted;
}

} // namespace Service
