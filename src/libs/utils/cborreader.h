#pragma once

#include "cborformat.h"
#include "fields.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Utils {

/*!
    \brief Reads CBOR data items (RFC 8949) of definite length from a byte string.

    After malformed bytes, isMalformed() is true and all further reads do nothing. A well-formed
    item of another type than expected is skipped and reported in errors().
*/
class CborReader
{
public:
    /*! \brief The first byte of a data item with its argument. */
    struct Head
    {
        unsigned majorType = 0;
        unsigned info = 0;
        std::uint64_t argument = 0;
    };

    /*! \brief Reads \a bytes, which have to outlive the reader. */
    explicit CborReader(std::string_view bytes)
        : m_bytes(bytes)
    {}

    auto isMalformed() const -> bool { return m_malformed; }
    auto isAtEnd() const -> bool { return m_position == m_bytes.size(); }
    auto errors() const -> std::span<const FieldError> { return m_errors; }

    /*! \brief Reads a value of any type that describe() or enumNames() supports. */
    template <typename T>
    auto read(T &value) -> void;

    auto position() const -> std::size_t { return m_position; }
    auto seek(std::size_t position) -> void { m_position = position; }
    /*! \brief Reads the head of the next item, or returns std::nullopt if it is malformed. */
    auto readHead() -> std::optional<Head>;
    /*! \brief Reads a text item; returns an empty text if the next item is malformed or no text. */
    auto readText() -> std::string_view;
    /*! \brief Moves behind the next item. */
    auto skip() -> void;
    auto addError(std::string reason) -> void;

    /*! \brief Adds a part to the path of errors while it exists. */
    class PathPart
    {
    public:
        PathPart(CborReader &reader, std::string_view key);
        PathPart(CborReader &reader, std::size_t index);
        ~PathPart() { m_reader.m_path.pop_back(); }
        PathPart(const PathPart &) = delete;
        auto operator=(const PathPart &) -> PathPart & = delete;

    private:
        CborReader &m_reader;
    };

private:
    struct PathItem
    {
        std::string_view key; //!< Empty for an item of an array.
        std::size_t index = 0;
    };

    auto path() const -> std::string;
    /*! \brief Reads the head of an item of \a majorType; otherwise reports \a mismatch. */
    auto readHeadOf(unsigned majorType, std::string_view mismatch) -> std::optional<Head>;
    auto readString(const Head &head) -> std::string_view;
    auto readReal(const Head &head) -> std::optional<double>;
    auto readJson(Json &json) -> void;
    template <typename T>
    auto readNumber(T &value) -> void;
    template <typename T>
    auto readEnum(T &value) -> void;
    template <typename T>
    auto readItems(std::vector<T> &items) -> void;
    template <typename T>
    auto readMap(std::map<std::string, T> &map) -> void;
    template <typename T>
    auto readFields(T &value) -> void;

    std::string_view m_bytes;
    std::size_t m_position = 0;
    bool m_malformed = false;
    std::vector<PathItem> m_path;
    std::vector<FieldError> m_errors;
};

/*!
    \brief Reads the described fields of one aggregate from a CBOR map.

    Fields in the order of their description are read without a search. The entries of a map in
    another order are indexed when the first one is missed.
*/
class CborFieldReader
{
public:
    static constexpr bool isReader = true;

    CborFieldReader(CborReader &reader, std::uint64_t entries)
        : m_reader(reader)
        , m_unread(entries)
    {}

    template <typename T>
    auto required(std::string_view key, T &value, Range range = {}) -> void
    {
        if (!readField(key, value, range))
            reportMissing(key);
    }
    template <typename T>
    auto optional(std::string_view key, T &value, Range range = {}) -> void
    {
        readField(key, value, range);
    }
    template <typename T>
    auto optional(std::string_view key, std::optional<T> &value, Range range = {}) -> void
    {
        if (!find(key))
            return;
        value.emplace();
        readFound(key, *value, range);
    }
    /*! \brief Moves behind the map, and reports each key that no field describes. */
    auto finish() -> void;

private:
    struct IndexedEntry
    {
        std::string_view key;
        std::size_t place = 0; //!< Position of the value.
        bool used = false;
    };

    template <typename T>
    auto readField(std::string_view key, T &value, Range range) -> bool
    {
        if (!find(key))
            return false;
        readFound(key, value, range);
        return true;
    }
    template <typename T>
    auto readFound(std::string_view key, T &value, Range range) -> void
    {
        const CborReader::PathPart part(m_reader, key);
        m_reader.read(value);
        if constexpr (std::is_integral_v<T> && !std::is_same_v<T, bool>)
            checkRange(std::int64_t(value), range);
        if (m_end)
            m_reader.seek(*m_end);
    }

    auto find(std::string_view key) -> bool;
    auto peekKey() -> bool;
    auto indexRest() -> void;
    auto reportMissing(std::string_view key) -> void;
    auto checkRange(std::int64_t value, Range range) -> void;

    CborReader &m_reader;
    std::uint64_t m_unread; //!< Entries from the reader's position on, including the peeked one.
    std::optional<std::string_view> m_peekedKey; //!< Key of the entry at the reader's position.
    std::vector<IndexedEntry> m_index;
    std::optional<std::size_t> m_end; //!< Position behind the map, once its rest is indexed.
};

template <typename T>
auto CborReader::read(T &value) -> void
{
    if (m_malformed)
        return;
    if constexpr (std::is_same_v<T, Json>)
        readJson(value);
    else if constexpr (std::is_same_v<T, Bytes>) {
        if (const auto head = readHeadOf(Cbor::bytesType, "must be bytes"))
            value.data = readString(*head);
    } else if constexpr (std::is_arithmetic_v<T>)
        readNumber(value);
    else if constexpr (std::is_same_v<T, std::string>) {
        if (const auto head = readHeadOf(Cbor::textType, "must be a string"))
            value = readString(*head);
    } else if constexpr (NamedEnum<T>)
        readEnum(value);
    else if constexpr (Internal::IsVector<T>::value)
        readItems(value);
    else if constexpr (Internal::IsStringMap<T>::value)
        readMap(value);
    else
        readFields(value);
}

template <typename T>
auto CborReader::readNumber(T &value) -> void
{
    const auto start = m_position;
    const auto head = readHead();
    if (!head)
        return;
    const auto isWhole =
        head->majorType == Cbor::unsignedType || head->majorType == Cbor::negativeType;
    const auto negative = head->majorType == Cbor::negativeType;
    const auto fits = head->argument <= std::uint64_t(INT64_MAX);
    // CBOR stores a negative number n as -1 - n.
    const auto whole = negative ? -1 - std::int64_t(head->argument) : std::int64_t(head->argument);
    std::string_view mismatch;
    if constexpr (std::is_same_v<T, bool>) {
        if (head->majorType == Cbor::simpleType
            && (head->info == Cbor::simpleFalse || head->info == Cbor::simpleTrue))
            value = head->info == Cbor::simpleTrue;
        else
            mismatch = "must be true or false";
    } else if constexpr (std::is_integral_v<T>) {
        if (!isWhole || (negative && !fits))
            mismatch = "must be a whole number";
        else if (std::is_unsigned_v<T> && negative)
            mismatch = "must not be negative";
        else
            value = negative ? T(whole) : T(head->argument);
    } else {
        if (const auto real = readReal(*head))
            value = T(*real);
        else if (isWhole)
            value = negative ? T(-1) - T(head->argument) : T(head->argument);
        else
            mismatch = "must be a number";
    }
    if (mismatch.empty())
        return;
    m_position = start;
    skip();
    addError(std::string(mismatch));
}

template <typename T>
auto CborReader::readEnum(T &value) -> void
{
    const auto start = m_position;
    const auto head = readHead();
    if (head && head->majorType == Cbor::textType) {
        if (const auto parsed = valueOf<T>(readString(*head))) {
            value = *parsed;
            return;
        }
    }
    std::string allowed;
    for (const auto &entry : enumNames(T{}))
        allowed += (allowed.empty() ? "" : ", ") + std::string(entry.name);
    m_position = start;
    skip();
    addError("must be one of " + allowed);
}

template <typename T>
auto CborReader::readItems(std::vector<T> &items) -> void
{
    const auto head = readHeadOf(Cbor::arrayType, "must be an array");
    if (!head)
        return;
    items.clear();
    for (std::uint64_t index = 0; index < head->argument && !m_malformed; ++index) {
        const PathPart part(*this, std::size_t(index));
        read(items.emplace_back());
    }
}

template <typename T>
auto CborReader::readMap(std::map<std::string, T> &map) -> void
{
    const auto head = readHeadOf(Cbor::mapType, "must be an object");
    if (!head)
        return;
    for (std::uint64_t index = 0; index < head->argument && !m_malformed; ++index) {
        const auto key = readText();
        const PathPart part(*this, key);
        read(map[std::string(key)]);
    }
}

template <typename T>
auto CborReader::readFields(T &value) -> void
{
    const auto head = readHeadOf(Cbor::mapType, "must be an object");
    if (!head)
        return;
    CborFieldReader fields(*this, head->argument);
    describe(fields, value);
    fields.finish();
}

} // namespace Utils
