#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace Utils {

/*! \brief Hash of strings that lets unordered containers look up a std::string_view. */
struct StringHash
{
    using is_transparent = void;

    auto operator()(std::string_view text) const -> std::size_t
    {
        return std::hash<std::string_view>()(text);
    }
};

} // namespace Utils
