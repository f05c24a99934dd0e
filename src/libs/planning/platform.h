#pragma once

#include "utils/clock.h"
#include "utils/error.h"
#include "utils/fields.h"

#include <memory>
#include <string>
#include <vector>

/*! Decisions about capacity and maintenance: budget, buffer, waves and moves. */
namespace Planning {

enum class MaintenanceState { Running, Ended, Failed };

auto enumNames(MaintenanceState) -> std::span<const Utils::EnumName<MaintenanceState>>;

/*! \brief A long-running task on a host, as the platform last measured it. */
struct Task
{
    std::string id;
    std::int64_t declaredSlots = 1;
    std::int64_t measuredSlots = 0; //!< 0: not measured yet.
    std::int64_t remainingS = 0;    //!< As the platform estimates it; 0: unknown.
    bool canCheckpoint = true;
};

/*! \brief What the platform does to hosts and tasks on request. Every call has a deadline. */
class Platform
{
public:
    virtual ~Platform() = default;
    /*! \brief Asks the platform to place nothing new on \a host. */
    virtual auto drain(const std::string &host) -> Utils::Result<void> = 0;
    /*! \brief Starts the reboot or repair of \a host; returns before it ends. A repeat is harmless. */
    virtual auto startMaintenance(const std::string &host) -> Utils::Result<void> = 0;
    virtual auto maintenanceState(const std::string &host) -> Utils::Result<MaintenanceState> = 0;
    /*! \brief Gives \a host back for new work. */
    virtual auto giveBack(const std::string &host) -> Utils::Result<void> = 0;
    /*! \brief Returns the tasks of \a host; the figures lag behind. */
    virtual auto tasksOn(const std::string &host) -> Utils::Result<std::vector<Task>> = 0;
    /*! \brief Checkpoints \a task on \a fromHost and goes on with it on \a toHost. */
    virtual auto moveTask(const std::string &task,
                          const std::string &fromHost,
                          const std::string &toHost) -> Utils::Result<void> = 0;
    virtual auto throttleTask(const std::string &task) -> Utils::Result<void> = 0;
    virtual auto stopTask(const std::string &task) -> Utils::Result<void> = 0;
};

/*! \brief A platform whose maintenance ends at once; used when no platform is configured. */
class NullPlatform final : public Platform
{
public:
    auto drain(const std::string &host) -> Utils::Result<void> override;
    auto startMaintenance(const std::string &host) -> Utils::Result<void> override;
    auto maintenanceState(const std::string &host) -> Utils::Result<MaintenanceState> override;
    auto giveBack(const std::string &host) -> Utils::Result<void> override;
    auto tasksOn(const std::string &host) -> Utils::Result<std::vector<Task>> override;
    auto moveTask(const std::string &task, const std::string &fromHost, const std::string &toHost)
        -> Utils::Result<void> override;
    auto throttleTask(const std::string &task) -> Utils::Result<void> override;
    auto stopTask(const std::string &task) -> Utils::Result<void> override;
};

/*! \brief Returns the HTTP client for the platform at \a address, or a NullPlatform if it is empty. */
auto makePlatform(const std::string &address) -> std::unique_ptr<Platform>;

template <typename Archive>
auto describe(Archive &archive, Task &task) -> void
{
    archive.required("id", task.id);
    archive.optional("declared_slots", task.declaredSlots, Utils::Range{0, 65536});
    archive.optional("measured_slots", task.measuredSlots, Utils::Range{0, 65536});
    archive.optional("remaining_s", task.remainingS);
    archive.optional("can_checkpoint", task.canCheckpoint);
}

} // namespace Planning
