#pragma once

#include "error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <type_traits>
#include <vector>

/*!
    Reads and writes aggregates as JSON from a single description of their fields.

    A type is supported through a free function in its own namespace, found by
    argument-dependent lookup:

        template <typename Archive> auto describe(Archive &archive, Host &host) -> void
        {
            archive.required("id", host.id);
            archive.optional("slots", host.slots, Utils::Range{0, 4096});
        }

    An enumeration is supported through a function enumNames(E) that returns a span of
    EnumName<E>.
*/
namespace Utils {

using Json = nlohmann::json;

/*! \brief Error found in a JSON document, with the path of the value. */
struct FieldError
{
    std::string path;
    std::string reason;
};

/*! \brief Inclusive range that a number must lie in. */
struct Range
{
    std::int64_t minimum = 0;
    std::int64_t maximum = INT64_MAX;
};

template <typename E>
struct EnumName
{
    E value;
    std::string_view name;
};

/*! \brief Returns the stable name of an enumerator, or "unknown" if it has none. */
template <typename E>
auto nameOf(E value) -> std::string_view
{
    for (const auto &entry : enumNames(E{})) {
        if (entry.value == value)
            return entry.name;
    }
    return "unknown";
}

/*! \brief Returns the enumerator that \a names call \a name, or std::nullopt. */
template <typename E>
auto valueOf(std::span<const EnumName<E>> names, std::string_view name) -> std::optional<E>
{
    for (const auto &entry : names) {
        if (entry.name == name)
            return entry.value;
    }
    return std::nullopt;
}

/*! \brief Returns the enumerator with the stable name \a name, or std::nullopt. */
template <typename E>
auto valueOf(std::string_view name) -> std::optional<E>
{
    return valueOf<E>(enumNames(E{}), name);
}

template <typename E>
concept NamedEnum = std::is_enum_v<E> && requires(E value)
{
    enumNames(value);
};

/*! \brief Binary data, stored as a CBOR byte string. It cannot be read back from JSON text. */
struct Bytes
{
    std::string data;
    auto operator==(const Bytes &) const -> bool = default;
};

class JsonWriter;
class JsonReader;

template <typename T>
auto writeValue(const T &value) -> Json;
template <typename T>
auto readValue(const Json &json, T &value, const std::string &path, std::vector<FieldError> &errors)
    -> void;

/*! \brief Writes the described fields into a JSON object. */
class JsonWriter
{
public:
    static constexpr bool isReader = false;

    template <typename T>
    auto required(std::string_view key, T &value, Range = {}) -> void
    {
        m_object[std::string(key)] = writeValue(value);
    }
    template <typename T>
    auto optional(std::string_view key, T &value, Range = {}) -> void
    {
        m_object[std::string(key)] = writeValue(value);
    }
    template <typename T>
    auto optional(std::string_view key, std::optional<T> &value, Range = {}) -> void
    {
        if (value)
            m_object[std::string(key)] = writeValue(*value);
    }
    auto take() -> Json { return std::move(m_object); }

private:
    Json m_object = Json::object();
};

/*! \brief Reads the described fields from a JSON object and collects all errors. */
class JsonReader
{
public:
    static constexpr bool isReader = true;

    JsonReader(const Json &object, std::string path, std::vector<FieldError> &errors)
        : m_object(object)
        , m_path(std::move(path))
        , m_errors(errors)
    {}

    template <typename T>
    auto required(std::string_view key, T &value, Range range = {}) -> void
    {
        if (!read(key, value, range))
            m_errors.push_back({pathOf(key), "is missing"});
    }
    template <typename T>
    auto optional(std::string_view key, T &value, Range range = {}) -> void
    {
        read(key, value, range);
    }
    template <typename T>
    auto optional(std::string_view key, std::optional<T> &value, Range range = {}) -> void
    {
        if (!m_object.contains(key)) {
            m_knownKeys.emplace(key);
            return;
        }
        value.emplace();
        read(key, *value, range);
    }
    /*! \brief Adds an error for each key of the object that no field describes. */
    auto finish() -> void
    {
        for (const auto &item : m_object.items()) {
            if (!m_knownKeys.contains(item.key()))
                m_errors.push_back({pathOf(item.key()), "is not a known key"});
        }
    }

private:
    auto pathOf(std::string_view key) const -> std::string
    {
        return m_path.empty() ? std::string(key) : m_path + '.' + std::string(key);
    }

    template <typename T>
    auto read(std::string_view key, T &value, Range range) -> bool
    {
        m_knownKeys.emplace(key);
        const auto found = m_object.find(std::string(key));
        if (found == m_object.end())
            return false;
        readValue(*found, value, pathOf(key), m_errors);
        if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool>)
            checkRange(key, std::int64_t(value), range);
        return true;
    }

    auto checkRange(std::string_view key, std::int64_t value, Range range) -> void
    {
        if (value >= range.minimum && value <= range.maximum)
            return;
        m_errors.push_back({pathOf(key),
                            "must lie between " + std::to_string(range.minimum) + " and "
                                + std::to_string(range.maximum)});
    }

    const Json &m_object;
    std::string m_path;
    std::vector<FieldError> &m_errors;
    std::set<std::string, std::less<>> m_knownKeys;
};

namespace Internal {

template <typename T>
struct IsVector : std::false_type
{};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type
{};
template <typename T>
struct IsStringMap : std::false_type
{};
template <typename T>
struct IsStringMap<std::map<std::string, T>> : std::true_type
{};

template <typename T>
auto readNumber(const Json &json,
                T &value,
                const std::string &path,
                std::vector<FieldError> &errors) -> void
{
    if constexpr (std::is_same_v<T, bool>) {
        if (!json.is_boolean()) {
            errors.push_back({path, "must be true or false"});
            return;
        }
    } else if constexpr (std::is_integral_v<T>) {
        if (!json.is_number_integer()) {
            errors.push_back({path, "must be a whole number"});
            return;
        }
        if (std::is_unsigned_v<T> && json.is_number_integer() && !json.is_number_unsigned()
            && json.template get<std::int64_t>() < 0) {
            errors.push_back({path, "must not be negative"});
            return;
        }
    } else if (!json.is_number()) {
        errors.push_back({path, "must be a number"});
        return;
    }
    value = json.template get<T>();
}

template <typename T>
auto readEnum(const Json &json, T &value, const std::string &path, std::vector<FieldError> &errors)
    -> void
{
    if (json.is_string()) {
        if (const auto parsed = valueOf<T>(json.template get_ref<const std::string &>())) {
            value = *parsed;
            return;
        }
    }
    std::string allowed;
    for (const auto &entry : enumNames(T{}))
        allowed += (allowed.empty() ? "" : ", ") + std::string(entry.name);
    errors.push_back({path, "must be one of " + allowed});
}

} // namespace Internal

template <typename T>
auto writeValue(const T &value) -> Json
{
    if constexpr (std::is_same_v<T, Bytes>) {
        return Json::binary(std::vector<std::uint8_t>(value.data.begin(), value.data.end()));
    } else if constexpr (std::is_same_v<
                             T,
                             Json> || std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
        return Json(value);
    } else if constexpr (NamedEnum<T>) {
        return Json(std::string(nameOf(value)));
    } else if constexpr (Internal::IsVector<T>::value) {
        auto array = Json::array();
        for (const auto &item : value)
            array.push_back(writeValue(item));
        return array;
    } else if constexpr (Internal::IsStringMap<T>::value) {
        auto object = Json::object();
        for (const auto &[key, item] : value)
            object[key] = writeValue(item);
        return object;
    } else {
        JsonWriter writer;
        // describe() is shared with the reader and therefore takes a mutable reference.
        describe(writer, const_cast<T &>(value));
        return writer.take();
    }
}

template <typename T>
auto readValue(const Json &json, T &value, const std::string &path, std::vector<FieldError> &errors)
    -> void
{
    if constexpr (std::is_same_v<T, Json>) {
        value = json;
    } else if constexpr (std::is_same_v<T, Bytes>) {
        if (!json.is_binary()) {
            errors.push_back({path, "must be bytes"});
            return;
        }
        const auto &binary = json.get_binary();
        value.data.assign(binary.begin(), binary.end());
    } else if constexpr (std::is_arithmetic_v<T>) {
        Internal::readNumber(json, value, path, errors);
    } else if constexpr (std::is_same_v<T, std::string>) {
        if (json.is_string())
            value = json.template get<std::string>();
        else
            errors.push_back({path, "must be a string"});
    } else if constexpr (NamedEnum<T>) {
        Internal::readEnum(json, value, path, errors);
    } else if constexpr (Internal::IsVector<T>::value) {
        if (!json.is_array()) {
            errors.push_back({path, "must be an array"});
            return;
        }
        value.clear();
        for (std::size_t index = 0; index < json.size(); ++index) {
            readValue(json[index],
                      value.emplace_back(),
                      path + '[' + std::to_string(index) + ']',
                      errors);
        }
    } else if constexpr (Internal::IsStringMap<T>::value) {
        if (!json.is_object()) {
            errors.push_back({path, "must be an object"});
            return;
        }
        for (const auto &item : json.items())
            readValue(item.value(), value[item.key()], path + '.' + item.key(), errors);
    } else {
        if (!json.is_object()) {
            errors.push_back({path, "must be an object"});
            return;
        }
        JsonReader reader(json, path, errors);
        describe(reader, value);
        reader.finish();
    }
}

/*! \brief Returns \a value as JSON. */
template <typename T>
auto toJson(const T &value) -> Json
{
    return writeValue(value);
}

/*! \brief Returns the field errors as text, one error per line. */
auto describeErrors(std::span<const FieldError> errors) -> std::string;

/*! \brief Parses JSON text; comments are allowed if \a withComments is set. */
auto parseJsonText(std::string_view text, bool withComments) -> Result<Json>;

/*! \brief Parses JSON text that contains secrets, so that errors quote nothing of it. */
auto parseSecretJsonText(std::string_view text) -> Result<Json>;

/*! \brief Reads a T from \a json; on failure, reports all errors at once. */
template <typename T>
auto fromJson(const Json &json) -> Result<T>
{
    T value{};
    std::vector<FieldError> errors;
    readValue(json, value, "", errors);
    if (!errors.empty())
        return failure(ErrorType::InvalidInput, "the document has errors", describeErrors(errors));
    return value;
}

/*! \brief Reads a T from JSON text. */
template <typename T>
auto fromJsonText(std::string_view text) -> Result<T>
{
    BOOST_OUTCOME_TRY(json, parseJsonText(text, false));
    return fromJson<T>(json);
}

} // namespace Utils
