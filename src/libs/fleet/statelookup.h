#pragma once

#include "contracttypes.h"

/*! Helpers shared by the handlers of State. */
namespace Fleet::Internal {

template <typename Map>
auto findIn(Map &map, const std::string &key) -> decltype(&map.begin()->second)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

template <typename T>
auto jsonOrNull(const T *value) -> Utils::Json
{
    return value ? Utils::toJson(*value) : Utils::Json();
}

inline auto checkRevision(const std::optional<Revision> &expected, Revision actual)
    -> Utils::Result<void>
{
    if (!expected || *expected == actual)
        return Utils::success();
    return Utils::failure(Utils::ErrorType::Conflict,
                          "the object changed since the expected revision",
                          "expected " + std::to_string(*expected) + ", is "
                              + std::to_string(actual));
}

} // namespace Fleet::Internal
