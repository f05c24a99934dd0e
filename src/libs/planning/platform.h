#pragma once

#include "utils/clock.h"
#include "utils/error.h"
#include "utils/fields.h"

#include <memory>
#include <string>
#include <vector>

/*! Plans capacity and maintenance: budgets, buffers, waves and moves. */
namespace Planning {

enum class MaintenanceState { Running, Ended, Failed };

auto enumNames(MaintenanceState) -> std::span<const Utils::EnumName<MaintenanceState>>;

/*! \brief A long-running task on a host, as the platform last measured it. */
struct Task
{
    std::string id;
    std::int64_t declaredSlots = 1;
    std::int64_t measuredSlots = 0; //!< Measured slots in use; 0 if not measured yet.
    std::int64_t remainingS = 0;    //!< Estimated remaining run time; 0 if unknown.
    bool canCheckpoint = true;
};

/*! \brief Requests to the platform that runs hosts and tasks. Every call has a deadline. */
class Platform
{
public:
    virtual ~Platform() = default;
    /*! \brief Asks the platform to place nothing new on \a host. */
    virtual auto drain(const std::string &host) -> Utils::Result<void> = 0;
    /*! \brief Starts the reboot or repair of \a host without waiting for its end; idempotent. */
    virtual auto startMaintenance(const std::string &host) -> Utils::Result<void> = 0;
    virtual auto maintenanceState(const std::string &host) -> Utils::Result<MaintenanceState> = 0;
    /*! \brief Makes \a host available for new work again. */
    virtual auto returnHost(const std::string &host) -> Utils::Result<void> = 0;
    /*! \brief Returns the tasks on \a host, whose figures lag behind the actual ones. */
    virtual auto tasksOn(const std::string &host) -> Utils::Result<std::vector<Task>> = 0;
    /*! \brief Checkpoints \a task on \a fromHost and resumes it on \a toHost. */
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
    auto returnHost(const std::string &host) -> Utils::Result<void> override;
    auto tasksOn(const std::string &host) -> Utils::Result<std::vector<Task>> override;
    auto moveTask(const std::string &task, const std::string &fromHost, const std::string &toHost)
        -> Utils::Result<void> override;
    auto throttleTask(const std::string &task) -> Utils::Result<void> override;
    auto stopTask(const std::string &task) -> Utils::Result<void> override;
};

/*! \brief Returns an HttpPlatform for \a address, or a NullPlatform if it is empty. */
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
