#include "platform.h"

#include "httpplatform.h"

#include <array>

namespace Planning {

namespace {
constexpr std::array maintenanceStateNames{
    Utils::EnumName<MaintenanceState>{MaintenanceState::Running, "running"},
    Utils::EnumName<MaintenanceState>{MaintenanceState::Ended, "ended"},
    Utils::EnumName<MaintenanceState>{MaintenanceState::Failed, "failed"},
};
}

auto enumNames(MaintenanceState) -> std::span<const Utils::EnumName<MaintenanceState>>
{
    return maintenanceStateNames;
}

auto NullPlatform::drain(const std::string &) -> Utils::Result<void>
{
    return Utils::success();
}

auto NullPlatform::startMaintenance(const std::string &) -> Utils::Result<void>
{
    return Utils::success();
}

auto NullPlatform::maintenanceState(const std::string &) -> Utils::Result<MaintenanceState>
{
    return MaintenanceState::Ended;
}

auto NullPlatform::returnHost(const std::string &) -> Utils::Result<void>
{
    return Utils::success();
}

auto NullPlatform::tasksOn(const std::string &) -> Utils::Result<std::vector<Task>>
{
    return std::vector<Task>();
}

auto NullPlatform::moveTask(const std::string &, const std::string &, const std::string &)
    -> Utils::Result<void>
{
    return Utils::success();
}

auto NullPlatform::throttleTask(const std::string &) -> Utils::Result<void>
{
    return Utils::success();
}

auto NullPlatform::stopTask(const std::string &) -> Utils::Result<void>
{
    return Utils::success();
}

auto makePlatform(const std::string &address) -> std::unique_ptr<Platform>
{
    if (address.empty())
        return std::make_unique<NullPlatform>();
    return std::make_unique<HttpPlatform>(address);
}

} // namespace Planning
