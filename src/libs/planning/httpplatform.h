#pragma once

#include "platform.h"

namespace Planning {

/*! \brief Calls the platform over HTTP, at /v1/hosts/{host}/... and /v1/tasks/{task}/.... */
class HttpPlatform final : public Platform
{
public:
    explicit HttpPlatform(std::string address);

    auto drain(const std::string &host) -> Utils::Result<void> override;
    auto startMaintenance(const std::string &host) -> Utils::Result<void> override;
    auto maintenanceState(const std::string &host) -> Utils::Result<MaintenanceState> override;
    auto returnHost(const std::string &host) -> Utils::Result<void> override;
    auto tasksOn(const std::string &host) -> Utils::Result<std::vector<Task>> override;
    auto moveTask(const std::string &task, const std::string &fromHost, const std::string &toHost)
        -> Utils::Result<void> override;
    auto throttleTask(const std::string &task) -> Utils::Result<void> override;
    auto stopTask(const std::string &task) -> Utils::Result<void> override;

private:
    auto call(const std::string &method, const std::string &path, const Utils::Json &body) const
        -> Utils::Result<Utils::Json>;
    auto order(const std::string &path, const Utils::Json &body = Utils::Json::object()) const
        -> Utils::Result<void>;

    std::string m_address;
};

} // namespace Planning
