#pragma once

#include "utils/error.h"

#include <string>

/*! Decisions about capacity and maintenance: budget, buffer, waves and moves. */
namespace Planning {

/*! \brief What the platform does to hosts and tasks on request. */
class Platform
{
public:
    virtual ~Platform() = default;
    /*! \brief Starts the reboot or repair of \a host; returns before it ends. */
    virtual auto startMaintenance(const std::string &host) -> Utils::Result<void> = 0;
    /*! \brief Returns true once the maintenance of \a host has ended. */
    virtual auto isMaintained(const std::string &host) -> Utils::Result<bool> = 0;
};

/*! \brief A platform whose maintenance ends at once; used when no platform is configured. */
class NullPlatform final : public Platform
{
public:
    auto startMaintenance(const std::string &host) -> Utils::Result<void> override;
    auto isMaintained(const std::string &host) -> Utils::Result<bool> override;
};

} // namespace Planning
