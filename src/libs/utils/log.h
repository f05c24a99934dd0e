#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

/*! Structured logging: one JSON object per line, written through Boost.Log. */
namespace Utils::Log {

enum class Level { Debug, Info, Warning, Error };

/*! \brief Returns the level named debug, info, warning or error, otherwise std::nullopt. */
auto levelFromName(std::string_view name) -> std::optional<Level>;

using FieldValue = std::variant<std::string_view, std::int64_t, bool>;

/*! \brief Typed field of a log line. */
struct Field
{
    std::string_view key;
    FieldValue value;

    Field(std::string_view fieldKey, std::string_view text)
        : key(fieldKey)
        , value(text)
    {}
    Field(std::string_view fieldKey, const std::string &text)
        : Field(fieldKey, std::string_view(text))
    {}
    Field(std::string_view fieldKey, const char *text)
        : Field(fieldKey, std::string_view(text))
    {}
    Field(std::string_view fieldKey, bool flag)
        : key(fieldKey)
        , value(flag)
    {}
    template <typename T>
    requires(std::is_integral_v<T> && !std::is_same_v<T, bool>)
        Field(std::string_view fieldKey, T number)
        : key(fieldKey)
        , value(std::int64_t(number))
    {}
};

/*! \brief Destination of the log lines and the fields common to all lines of this process. */
struct Options
{
    Level level = Level::Info;
    std::string file; //!< Path of the log file; if empty, a standard stream is used.
    std::string process;
    std::string zone;
    /*! \brief Whether, without a file, lines go to standard output instead of standard error. */
    bool toStandardOutput = false;
};

auto initialize(const Options &options) -> void;

auto write(Level level,
           std::string_view component,
           std::string_view message,
           std::initializer_list<Field> fields = {}) -> void;

inline auto info(std::string_view component,
                 std::string_view message,
                 std::initializer_list<Field> fields = {}) -> void
{
    write(Level::Info, component, message, fields);
}

inline auto warning(std::string_view component,
                    std::string_view message,
                    std::initializer_list<Field> fields = {}) -> void
{
    write(Level::Warning, component, message, fields);
}

inline auto error(std::string_view component,
                  std::string_view message,
                  std::initializer_list<Field> fields = {}) -> void
{
    write(Level::Error, component, message, fields);
}

} // namespace Utils::Log
