#pragma once

#include "fields.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Utils {

/*! \brief Appends CBOR data items (RFC 8949) to a byte string. */
class CborWriter
{
public:
    auto writeInteger(std::int64_t value) -> void;
    auto writeUnsigned(std::uint64_t value) -> void;
    auto writeReal(double value) -> void;
    auto writeBoolean(bool value) -> void;
    auto writeText(std::string_view text) -> void;
    auto writeBytes(std::string_view bytes) -> void;
    auto writeJson(const Json &json) -> void;
    /*! \brief Starts an array; \a count items have to follow. */
    auto beginArray(std::size_t count) -> void;
    /*! \brief Starts a map; \a count keys, each with its value, have to follow. */
    auto beginMap(std::size_t count) -> void;
    /*! \brief Starts a map of unknown size; returns its place, for endFields(). */
    auto beginFields() -> std::size_t;
    /*! \brief Sets the size of the map that beginFields() started at \a place. */
    auto endFields(std::size_t place, std::uint16_t count) -> void;
    auto take() -> std::string { return std::move(m_bytes); }

    /*! \brief Writes a value of any type that describe() or enumNames() supports. */
    template <typename T>
    auto write(const T &value) -> void;

private:
    auto writeHead(unsigned majorType, std::uint64_t argument) -> void;
    auto writeBigEndian(std::uint64_t value, std::size_t bytes) -> void;

    std::string m_bytes;
};

/*! \brief Writes the described fields of one aggregate as a CBOR map. */
class CborFieldWriter
{
public:
    static constexpr bool isReader = false;

    explicit CborFieldWriter(CborWriter &writer)
        : m_writer(writer)
        , m_place(writer.beginFields())
    {}

    template <typename T>
    auto required(std::string_view key, T &value, Range = {}) -> void
    {
        add(key, value);
    }
    template <typename T>
    auto optional(std::string_view key, T &value, Range = {}) -> void
    {
        add(key, value);
    }
    template <typename T>
    auto optional(std::string_view key, std::optional<T> &value, Range = {}) -> void
    {
        if (value)
            add(key, *value);
    }
    auto finish() -> void { m_writer.endFields(m_place, m_count); }

private:
    template <typename T>
    auto add(std::string_view key, const T &value) -> void
    {
        m_writer.writeText(key);
        m_writer.write(value);
        ++m_count;
    }

    CborWriter &m_writer;
    std::size_t m_place;
    std::uint16_t m_count = 0;
};

template <typename T>
auto CborWriter::write(const T &value) -> void
{
    if constexpr (std::is_same_v<T, Json>) {
        writeJson(value);
    } else if constexpr (std::is_same_v<T, Bytes>) {
        writeBytes(value.data);
    } else if constexpr (std::is_same_v<T, bool>) {
        writeBoolean(value);
    } else if constexpr (std::is_unsigned_v<T>) {
        writeUnsigned(value);
    } else if constexpr (std::is_integral_v<T>) {
        writeInteger(value);
    } else if constexpr (std::is_floating_point_v<T>) {
        writeReal(value);
    } else if constexpr (std::is_same_v<T, std::string>) {
        writeText(value);
    } else if constexpr (NamedEnum<T>) {
        writeText(nameOf(value));
    } else if constexpr (Internal::IsVector<T>::value) {
        beginArray(value.size());
        for (const auto &item : value)
            write(item);
    } else if constexpr (Internal::IsStringMap<T>::value) {
        beginMap(value.size());
        for (const auto &[key, item] : value) {
            writeText(key);
            write(item);
        }
    } else {
        CborFieldWriter fields(*this);
        // describe() is shared with the reader and therefore takes a mutable reference.
        describe(fields, const_cast<T &>(value));
        fields.finish();
    }
}

} // namespace Utils
