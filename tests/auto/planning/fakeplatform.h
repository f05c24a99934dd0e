#pragma once

#include "planning/platform.h"

#include <algorithm>
#include <map>
#include <set>

/*! \brief A platform whose hosts and tasks are set up by the test. */
class FakePlatform final : public Planning::Platform
{
public:
    auto drain(const std::string &) -> Utils::Result<void> override { return Utils::success(); }
    auto startMaintenance(const std::string &host) -> Utils::Result<void> override
    {
        started.insert(host);
        return Utils::success();
    }
    auto maintenanceState(const std::string &host)
        -> Utils::Result<Planning::MaintenanceState> override
    {
        return failing.contains(host) ? Planning::MaintenanceState::Failed
                                      : Planning::MaintenanceState::Ended;
    }
    auto returnHost(const std::string &) -> Utils::Result<void> override
    {
        return Utils::success();
    }
    auto tasksOn(const std::string &host) -> Utils::Result<std::vector<Planning::Task>> override
    {
        return tasks[host];
    }
    auto moveTask(const std::string &task, const std::string &from, const std::string &to)
        -> Utils::Result<void> override
    {
        auto &list = tasks[from];
        const auto found = std::ranges::find(list, task, &Planning::Task::id);
        if (found == list.end())
            return Utils::failure(Utils::ErrorType::NotFound, "no such task", task);
        tasks[to].push_back(*found);
        list.erase(found);
        ++timesMoved[task];
        return Utils::success();
    }
    auto throttleTask(const std::string &) -> Utils::Result<void> override
    {
        return Utils::success();
    }
    auto stopTask(const std::string &) -> Utils::Result<void> override { return Utils::success(); }

    std::map<std::string, std::vector<Planning::Task>> tasks;
    std::map<std::string, int> timesMoved;
    std::set<std::string> failing;
    std::set<std::string> started;
};
