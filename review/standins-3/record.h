// What a case has seen: written to record.txt, and checked at the end.
#pragma once

#include "net.h"

#include <cstdio>
#include <fstream>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Review {

class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {}

    auto note(const std::string &text) -> void
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%9.3f  ", double(nowMs()) / 1000);
        m_file << time << text << std::endl;
    }
    // Notes that a worker has begun or ended a run.
    auto began(const std::string &worker, const std::string &task, std::int64_t run) -> void
    {
        note(worker + " begins " + task + " run " + std::to_string(run));
        std::string broken;
        {
            const std::lock_guard lock(m_mutex);
            auto &runs = m_running[task];
            for (const auto &other : runs)
                broken = "two runs of " + task + " at the same time: run " + std::to_string(run) + " on " + worker
                         + ", and " + other;
            if (m_done.contains(task))
                m_startsAfterDone.push_back(task);
            runs.insert("run " + std::to_string(run) + " on " + worker);
            ++m_starts[task];
        }
        if (!broken.empty())
            breakRule("TWICE: " + broken);
    }
    auto ended(const std::string &worker, const std::string &task, std::int64_t run, const std::string &how) -> void
    {
        note(worker + " ends " + task + " run " + std::to_string(run) + ": " + how);
        const std::lock_guard lock(m_mutex);
        m_running[task].erase("run " + std::to_string(run) + " on " + worker);
        if (how == "done")
            m_done.insert(task);
    }
    auto breakRule(const std::string &text) -> void
    {
        note("BROKEN  " + text);
        const std::lock_guard lock(m_mutex);
        m_broken.push_back(text);
    }
    auto broken() -> std::vector<std::string>
    {
        const std::lock_guard lock(m_mutex);
        return m_broken;
    }
    auto starts(const std::string &task) -> int
    {
        const std::lock_guard lock(m_mutex);
        return m_starts[task];
    }
    auto running() -> std::size_t
    {
        const std::lock_guard lock(m_mutex);
        std::size_t count = 0;
        for (const auto &[task, runs] : m_running)
            count += runs.size();
        return count;
    }
    auto isDone(const std::string &task) -> bool
    {
        const std::lock_guard lock(m_mutex);
        return m_done.contains(task);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::map<std::string, std::set<std::string>> m_running;
    std::map<std::string, int> m_starts;
    std::set<std::string> m_done;
    std::vector<std::string> m_startsAfterDone;
    std::vector<std::string> m_broken;
};

} // namespace Review
