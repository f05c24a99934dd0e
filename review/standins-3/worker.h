// A worker as the pages describe it: it runs tasks under a lease and a fence number, keeps its ends until
// they are noted, and tells the control processes of itself.
#pragma once

#include "record.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <memory>

namespace Review {

using Json = nlohmann::json;

struct WorkerOptions
{
    std::string id;
    std::string machine;
    std::string service = "work";
    std::string zone;
    std::string address = "127.0.0.1:0"; // Port 0: a free one.
    std::int64_t firstPingMs = 0;        // Time from its start to its first ping.
    std::int64_t cpu = 4000;
    std::int64_t memoryMb = 8192;
    std::vector<std::string> labels{"a", "r1"};
    std::vector<std::string> controls;
    std::int64_t heartbeatMs = 1500;
    std::int64_t maximumHoldMs = 6000;
    std::int64_t stopMs = 400;
};

// How long a task works and how it ends; "spec" is what its job says.
struct TaskPlan
{
    std::int64_t workMs = 1000;
    std::string how = "done";
};

class Worker
{
public:
    Worker(WorkerOptions options, Record &record)
        : m_options(std::move(options))
        , m_record(record)
        , m_born(wallMs())
        , m_began(nowMs())
    {}

    std::function<TaskPlan(const std::string &task, std::int64_t run, const std::string &spec)> plan =
        [](const std::string &, std::int64_t, const std::string &spec) {
            return TaskPlan{std::max<std::int64_t>(1, std::atoll(spec.c_str())), "done"};
        };

    auto start() -> bool
    {
        if (!m_server.start(m_options.address, [this](const Request &request) { return handle(request); }))
            return false;
        std::thread([this] { work(); }).detach();
        std::thread([this] { announce(); }).detach();
        return true;
    }
    auto address() const -> const std::string & { return m_server.address(); }
    // Orders for which it returns true get no answer and are not carried out; they may be later.
    std::function<bool(const Request &)> isLost = [](const Request &) { return false; };
    // Carries out an order that was sent earlier.
    auto carryOutLate(const Request &request) -> Reply
    {
        const auto body = Json::parse(request.body);
        const std::lock_guard lock(m_mutex);
        const auto fence = body.value("fence_token", std::int64_t(0));
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        return startRun(body);
    }
    auto id() const -> const std::string & { return m_options.id; }
    auto options() const -> const WorkerOptions & { return m_options; }
    auto fence() -> std::int64_t
    {
        const std::lock_guard lock(m_mutex);
        return m_fence;
    }
    auto runs() -> std::size_t
    {
        const std::lock_guard lock(m_mutex);
        return m_runs.size();
    }
    // Number of polls that have arrived and that renew the lease.
    auto renewals() -> std::int64_t
    {
        const std::lock_guard lock(m_mutex);
        return m_renewals;
    }
    // Cuts the worker off from the senders whose fence number is higher: nothing passes in either direction.
    auto cutFromHigherThan(std::int64_t fence) -> void
    {
        m_cutAbove = fence;
        m_quiet = true;
    }
    auto heal() -> void
    {
        m_cutAbove = INT64_MAX;
        m_quiet = false;
    }
    // The machine is gone: its runs end, and nothing answers.
    auto crash() -> void
    {
        m_dead = true;
        m_server.stop();
        const std::lock_guard lock(m_mutex);
        for (const auto &[key, run] : m_runs)
            m_record.ended(m_options.id, key.first, key.second, "gone with its worker");
        m_runs.clear();
        m_ended.notify_all();
    }
    auto isDead() const -> bool { return m_dead; }
    auto listing() -> Json
    {
        return {{"machine", m_options.machine},
                {"pool", m_options.service},
                {"state", m_dead ? "down" : "up"},
                {"zone", m_options.zone},
                {"labels", m_options.labels},
                {"capacity", {{"cpu", m_options.cpu}, {"mem_mb", m_options.memoryMb}, {"gpu", 0}}},
                {"id", m_options.id}};
    }

private:
    struct Run
    {
        std::int64_t endsMs = 0;
        std::int64_t stopsMs = 0; // 0: no stop was ordered.
        std::string how;
    };
    struct End
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
    };

    auto clock() const -> std::int64_t { return nowMs() - m_began + 1; }

    auto answer(int status, Json body) const -> Reply
    {
        body["clock_ms"] = clock();
        body["born"] = m_born;
        return {status, {}, body.dump()};
    }
    auto refuse(const char *reason) const -> Reply { return answer(409, {{"reason", reason}}); }

    auto handle(const Request &request) -> std::optional<Reply>
    {
        const auto body = Json::parse(request.body, nullptr, false);
        if (m_dead)
            return std::nullopt;
        if (!body.is_object())
            return answer(400, Json::object());
        const auto fence = body.value("fence_token", std::int64_t(0));
        if (fence > m_cutAbove) {
            while (fence > m_cutAbove && !m_dead)
                sleepMs(20);
            return std::nullopt; // What was sent during the cut is lost.
        }
        const auto expected = request.headers.find("expect-instance");
        if (expected != request.headers.end() && expected->second != m_options.id)
            return answer(421, Json::object());
        if (isLost(request)) {
            sleepMs(1500);
            return std::nullopt;
        }
        std::unique_lock lock(m_mutex);
        if (fence < m_fence)
            return refuse("fence");
        m_fence = fence;
        endDueRuns();
        if (request.target == "/trefoilshelf/run-start")
            return startRun(body);
        if (request.target == "/trefoilshelf/run-stop")
            return stopRun(body);
        if (request.target == "/trefoilshelf/hold")
            return hold(body, lock);
        if (request.target == "/trefoilshelf/pace")
            return answer(200, Json::object());
        return answer(400, Json::object());
    }

    auto extendLease(const Json &body) -> void
    {
        const auto until = body.value("until_ms", std::int64_t(0));
        m_leaseEnd = std::max(m_leaseEnd, std::min(until, clock() + m_options.maximumHoldMs));
    }

    auto startRun(const Json &body) -> Reply
    {
        const auto task = body.value("task", std::string());
        const auto run = body.value("run", std::int64_t(0));
        if (body.value("until_ms", std::int64_t(0)) <= clock())
            return refuse("late");
        extendLease(body);
        if (m_runs.contains({task, run}))
            return answer(200, Json::object());
        if (run <= m_highest[task])
            return refuse("old");
        const auto plan = this->plan(task, run, body.value("spec", std::string()));
        m_runs[{task, run}] = {nowMs() + plan.workMs, 0, plan.how};
        m_record.began(m_options.id, task, run);
        return answer(200, Json::object());
    }

    auto stopRun(const Json &body) -> Reply
    {
        const auto task = body.value("task", std::string());
        const auto run = body.value("run", std::int64_t(0));
        const auto found = m_runs.find({task, run});
        if (found == m_runs.end())
            m_highest[task] = std::max(m_highest[task], run);
        else if (found->second.stopsMs == 0)
            found->second.stopsMs = nowMs() + m_options.stopMs / 2;
        return answer(200, Json::object());
    }

    auto hold(const Json &body, std::unique_lock<std::mutex> &lock) -> Reply
    {
        const auto seen = body.value("last_seen", std::int64_t(0));
        while (!m_ends.empty() && m_ends.front().number <= seen)
            m_ends.pop_front();
        extendLease(body);
        const auto waitMs = std::min<std::int64_t>(body.value("wait_ms", std::int64_t(0)), 2000);
        if (body.contains("until_ms"))
            ++m_renewals;
        const auto until = nowMs() + waitMs;
        while (m_ends.empty() && nowMs() < until && !m_dead) {
            m_ended.wait_for(lock, std::chrono::milliseconds(until - nowMs()));
            endDueRuns();
        }
        Json running = Json::array();
        for (const auto &[key, run] : m_runs)
            running.push_back({key.first, key.second, "", 100, 0});
        Json ended = Json::array();
        for (const auto &end : m_ends)
            ended.push_back({end.number, end.task, end.run, end.how, ""});
        return answer(200, {{"running_count", running}, {"ended", ended}});
    }

    auto endRun(std::map<std::pair<std::string, std::int64_t>, Run>::iterator run, std::string how) -> void
    {
        const auto [task, number] = run->first;
        m_ends.push_back({++m_numberOfEnds, task, number, how});
        m_highest[task] = std::max(m_highest[task], number);
        m_runs.erase(run);
        m_record.ended(m_options.id, task, number, how);
        m_ended.notify_all();
    }

    // Called with the mutex locked.
    auto endDueRuns() -> void
    {
        const auto lapsed = clock() > m_leaseEnd;
        for (auto run = m_runs.begin(); run != m_runs.end();) {
            const auto current = run++;
            if (lapsed)
                endRun(current, "lapsed");
            else if (current->second.stopsMs != 0 && nowMs() >= current->second.stopsMs)
                endRun(current, "stopped");
            else if (nowMs() >= current->second.endsMs)
                endRun(current, current->second.how);
        }
    }

    auto work() -> void
    {
        while (!m_dead) {
            sleepMs(5);
            const std::lock_guard lock(m_mutex);
            endDueRuns();
        }
    }

    auto announce() -> void
    {
        std::size_t next = std::hash<std::string>()(m_options.id);
        std::string preferred;
        sleepMs(m_options.firstPingMs);
        for (std::int64_t number = 1; !m_dead; ++number) {
            if (!m_quiet) {
                const auto address =
                    preferred.empty() ? m_options.controls[next++ % m_options.controls.size()] : preferred;
                Json body{{"service", m_options.service},
                          {"address", m_server.address()},
                          {"zone", m_options.zone},
                          {"version", "v1"},
                          {"slots", 8},
                          {"state", "ready"},
                          {"cold_left_ms", 0},
                          {"capacity", {{"cpu", m_options.cpu}, {"mem_mb", m_options.memoryMb}, {"gpu", 0}}},
                          {"labels", m_options.labels},
                          {"clock_ms", clock()},
                          {"machine", m_options.machine},
                          {"born", m_born},
                          {"seq_no", number}};
                const auto reply = callFollowing(
                    address, "PUT", "/trefoilshelf/instances/" + m_options.id, body.dump(), 1000);
                preferred.clear();
                if (reply.status != 200) {
                    sleepMs(100);
                    continue;
                }
                const auto said = Json::parse(reply.body, nullptr, false);
                if (said.is_object())
                    preferred = said.value("heartbeat_addr", std::string());
            }
            sleepMs(m_options.heartbeatMs);
        }
    }

    WorkerOptions m_options;
    Record &m_record;
    std::int64_t m_born;
    std::int64_t m_began;
    Server m_server;
    std::atomic<std::int64_t> m_cutAbove = INT64_MAX;
    std::atomic_bool m_quiet = false;
    std::atomic_bool m_dead = false;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::int64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_numberOfEnds = 0;
    std::int64_t m_renewals = 0;
    std::map<std::pair<std::string, std::int64_t>, Run> m_runs;
    std::map<std::string, std::int64_t> m_highest; // Highest run of each task that was stopped or has ended.
    std::deque<End> m_ends;
};

} // namespace Review
