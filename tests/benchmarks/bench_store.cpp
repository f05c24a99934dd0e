// Compares commits per second with one sync per batch and with one sync per entry, and measures
// the time to open a log by its length.

#include "store/segmentlog.h"
#include "store/snapshotstore.h"

#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <mutex>
#include <thread>

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr auto runTime = std::chrono::seconds(5);
constexpr int writers = 64;
constexpr std::size_t payloadBytes = 200;

class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = "bench_store.XXXXXX";
        m_path = std::filesystem::absolute(::mkdtemp(pattern.data()));
    }
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    TemporaryFolder(const TemporaryFolder &) = delete;
    auto operator=(const TemporaryFolder &) -> TemporaryFolder & = delete;
    auto path() const -> const std::string & { return m_path; }

private:
    std::string m_path;
};

// Group commit: each writer queues one entry and waits; a writer that finds the log idle writes
// the next batch of queued entries.
class CommitQueue
{
public:
    CommitQueue(Store::SegmentLog &log, std::size_t batchLimit)
        : m_log(log)
        , m_batchLimit(batchLimit)
    {}

    auto commit() -> void
    {
        std::unique_lock lock(m_mutex);
        const auto ticket = ++m_queued;
        while (m_committed < ticket) {
            if (m_writing) {
                m_changed.wait(lock);
                continue;
            }
            writeBatch(lock);
        }
    }

    auto committed() const -> std::uint64_t { return m_committed; }

private:
    auto writeBatch(std::unique_lock<std::mutex> &lock) -> void
    {
        m_writing = true;
        const auto first = m_committed + 1;
        const auto last = std::min(m_queued, m_committed + m_batchLimit);
        lock.unlock();
        std::vector<Store::LogRecord> records;
        for (auto revision = first; revision <= last; ++revision)
            records.push_back({revision, 1, 0, std::string(payloadBytes, 'x')});
        if (!m_log.append(records))
            std::abort();
        lock.lock();
        m_committed = last;
        m_writing = false;
        m_changed.notify_all();
    }

    Store::SegmentLog &m_log;
    std::size_t m_batchLimit;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_queued = 0;
    std::uint64_t m_committed = 0;
    bool m_writing = false;
};

auto commitsPerSecond(std::size_t batchLimit) -> double
{
    const TemporaryFolder folder;
    Store::SegmentLog log(Store::posixFileSystem(), {folder.path()});
    if (!log.open(0))
        std::abort();
    CommitQueue queue(log, batchLimit);
    const auto start = SteadyClock::now();
    std::vector<std::jthread> threads;
    for (auto number = 0; number < writers; ++number) {
        threads.emplace_back([&] {
            while (SteadyClock::now() - start < runTime)
                queue.commit();
        });
    }
    threads.clear();
    const std::chrono::duration<double> elapsed = SteadyClock::now() - start;
    return double(queue.committed()) / elapsed.count();
}

auto openMilliseconds(std::uint64_t entries, bool withSnapshot) -> double
{
    const TemporaryFolder folder;
    auto &files = Store::posixFileSystem();
    constexpr std::uint64_t batch = 100;
    const std::uint64_t tail = 256;
    {
        Store::SegmentLog log(files, {folder.path(), 64 * 1024});
        if (!log.open(0))
            std::abort();
        for (std::uint64_t revision = 1; revision <= entries;) {
            std::vector<Store::LogRecord> records;
            for (std::uint64_t count = 0; count < batch; ++count, ++revision)
                records.push_back({revision, 1, 0, std::string(payloadBytes, 'x')});
            if (!log.append(records))
                std::abort();
        }
        if (withSnapshot) {
            Store::SnapshotStore snapshots(files, folder.path());
            if (!snapshots.save({entries - tail, 1, "", std::string(100'000, 's')})
                || !log.removeThrough(entries - tail))
                std::abort();
        }
    }
    const auto start = SteadyClock::now();
    Store::SnapshotStore snapshots(files, folder.path());
    const auto snapshot = snapshots.load();
    Store::SegmentLog log(files, {folder.path()});
    const auto records = log.open(snapshot.value() ? snapshot.value()->revision : 0);
    if (!records || records.value().empty())
        std::abort();
    return std::chrono::duration<double, std::milli>(SteadyClock::now() - start).count();
}

} // namespace

auto main() -> int
{
    const auto single = commitsPerSecond(1);
    const auto grouped = commitsPerSecond(1024);
    std::printf("writers,commits_per_s_sync_each,commits_per_s_group,ratio\n");
    std::printf("%d,%.0f,%.0f,%.1f\n", writers, single, grouped, grouped / single);
    std::printf("entries,open_ms_log_only,open_ms_with_snapshot\n");
    for (const std::uint64_t entries : {1000, 10'000, 100'000}) {
        std::printf("%llu,%.2f,%.2f\n",
                    static_cast<unsigned long long>(entries),
                    openMilliseconds(entries, false),
                    openMilliseconds(entries, true));
    }
    return 0;
}
