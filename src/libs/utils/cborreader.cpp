#include "cborreader.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace Utils {
namespace {

// Half-precision floats have 5 exponent bits and 10 mantissa bits.
constexpr int halfMantissaBits = 10;
constexpr unsigned halfMantissaMask = 0x3ff;
constexpr unsigned halfExponentMask = 0x1f;
constexpr int halfExponentBias = 15;
constexpr unsigned halfSignMask = 0x8000;

auto realFromHalf(std::uint64_t bits) -> double
{
    const auto exponent = int(bits >> halfMantissaBits & halfExponentMask);
    const auto mantissa = double(bits & halfMantissaMask);
    const auto full = double(1U << halfMantissaBits);
    auto value = 0.0;
    if (exponent == 0)
        value = std::ldexp(mantissa / full, 1 - halfExponentBias);
    else if (exponent != int(halfExponentMask))
        value = std::ldexp(1 + mantissa / full, exponent - halfExponentBias);
    else
        value = mantissa == 0 ? std::numeric_limits<double>::infinity()
                              : std::numeric_limits<double>::quiet_NaN();
    return (bits & halfSignMask) != 0 ? -value : value;
}

} // namespace

using namespace Cbor;

CborReader::PathPart::PathPart(CborReader &reader, std::string_view key)
    : m_reader(reader)
{
    m_reader.m_path.push_back({key, 0});
}

CborReader::PathPart::PathPart(CborReader &reader, std::size_t index)
    : m_reader(reader)
{
    m_reader.m_path.push_back({{}, index});
}

auto CborReader::path() const -> std::string
{
    std::string text;
    for (const auto &item : m_path) {
        if (item.key.empty()) {
            text += '[';
            text += std::to_string(item.index);
            text += ']';
            continue;
        }
        if (!text.empty())
            text += '.';
        text += item.key;
    }
    return text;
}

auto CborReader::addError(std::string reason) -> void
{
    if (!m_malformed)
        m_errors.push_back({path(), std::move(reason)});
}

auto CborReader::readHead() -> std::optional<Head>
{
    if (m_malformed || isAtEnd()) {
        m_malformed = true;
        return std::nullopt;
    }
    const auto first = unsigned(static_cast<unsigned char>(m_bytes[m_position++]));
    Head head{first >> majorTypeShift, first & infoMask, first & infoMask};
    if (head.info <= largestDirectArgument)
        return head;
    const auto length = std::size_t(1) << (head.info - oneByteArgument);
    // Larger values announce items of unknown length, which the writer does not produce.
    if (head.info > eightByteArgument || m_bytes.size() - m_position < length) {
        m_malformed = true;
        return std::nullopt;
    }
    head.argument = 0;
    for (std::size_t index = 0; index < length; ++index)
        head.argument =
            head.argument << bitsPerByte | static_cast<unsigned char>(m_bytes[m_position++]);
    return head;
}

auto CborReader::readHeadOf(unsigned majorType, std::string_view mismatch) -> std::optional<Head>
{
    const auto start = m_position;
    const auto head = readHead();
    if (!head || head->majorType == majorType)
        return head;
    m_position = start;
    skip();
    addError(std::string(mismatch));
    return std::nullopt;
}

auto CborReader::readString(const Head &head) -> std::string_view
{
    if (head.argument > m_bytes.size() - m_position) {
        m_malformed = true;
        return {};
    }
    const auto text = m_bytes.substr(m_position, std::size_t(head.argument));
    m_position += text.size();
    return text;
}

auto CborReader::readText() -> std::string_view
{
    const auto head = readHead();
    if (head && head->majorType == textType)
        return readString(*head);
    m_malformed = true;
    return {};
}

auto CborReader::readReal(const Head &head) -> std::optional<double>
{
    if (head.majorType != simpleType)
        return std::nullopt;
    switch (head.info) {
    case twoByteArgument:
        return realFromHalf(head.argument);
    case fourByteArgument:
        return double(std::bit_cast<float>(std::uint32_t(head.argument)));
    case eightByteArgument:
        return std::bit_cast<double>(head.argument);
    default:
        return std::nullopt;
    }
}

auto CborReader::readJson(Json &json) -> void
{
    const auto start = m_position;
    skip();
    if (m_malformed)
        return;
    try {
        json = Json::from_cbor(m_bytes.substr(start, m_position - start));
    } catch (const Json::exception &) {
        m_malformed = true;
    }
}

// Counts the items that are still to come instead of calling itself, so that deeply nested input
// cannot exhaust the stack.
auto CborReader::skip() -> void
{
    for (std::uint64_t items = 1; items > 0; --items) {
        const auto head = readHead();
        if (!head)
            return;
        switch (head->majorType) {
        case bytesType:
        case textType:
            readString(*head);
            break;
        case arrayType:
        case mapType:
            // Each item takes at least one byte.
            if (head->argument > m_bytes.size() - m_position) {
                m_malformed = true;
                return;
            }
            items += head->majorType == mapType ? 2 * head->argument : head->argument;
            break;
        default:
            break;
        }
        if (m_malformed)
            return;
    }
}

// Reads the key of the next entry, unless it has been read already; returns false behind the last
// entry.
auto CborFieldReader::peekKey() -> bool
{
    if (m_unread == 0 || m_reader.isMalformed())
        return false;
    if (!m_peekedKey)
        m_peekedKey = m_reader.readText();
    return !m_reader.isMalformed();
}

auto CborFieldReader::find(std::string_view key) -> bool
{
    if (peekKey() && *m_peekedKey == key) {
        m_peekedKey.reset();
        --m_unread;
        return true;
    }
    indexRest();
    const auto found = std::ranges::find_if(
        m_index, [key](const auto &entry) { return !entry.used && entry.key == key; });
    if (found == m_index.end())
        return false;
    found->used = true;
    m_reader.seek(found->place);
    return true;
}

auto CborFieldReader::indexRest() -> void
{
    if (m_end)
        return;
    while (peekKey()) {
        m_index.push_back({*m_peekedKey, m_reader.position(), false});
        m_peekedKey.reset();
        --m_unread;
        m_reader.skip();
    }
    if (!m_index.empty())
        m_end = m_reader.position();
}

auto CborFieldReader::finish() -> void
{
    indexRest();
    for (const auto &entry : m_index) {
        if (entry.used || m_reader.isMalformed())
            continue;
        const CborReader::PathPart part(m_reader, entry.key);
        m_reader.addError("is not a known key");
    }
}

auto CborFieldReader::reportMissing(std::string_view key) -> void
{
    const CborReader::PathPart part(m_reader, key);
    m_reader.addError("is missing");
}

auto CborFieldReader::checkRange(std::int64_t value, Range range) -> void
{
    if (value < range.minimum || value > range.maximum)
        m_reader.addError("must lie between " + std::to_string(range.minimum) + " and "
                          + std::to_string(range.maximum));
}

} // namespace Utils
