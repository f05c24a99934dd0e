#include "platform.h"

namespace Planning {

auto NullPlatform::startMaintenance(const std::string &) -> Utils::Result<void>
{
    return Utils::success();
}

auto NullPlatform::isMaintained(const std::string &) -> Utils::Result<bool>
{
    return true;
}

} // namespace Planning
