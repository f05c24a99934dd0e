#include "cborwriter.h"

#include "cborformat.h"

#include <bit>

namespace Utils {

using namespace Cbor;

auto CborWriter::writeBigEndian(std::uint64_t value, std::size_t bytes) -> void
{
    for (auto left = bytes; left > 0; --left)
        m_bytes += char(value >> (bitsPerByte * (left - 1)) & 0xff);
}

auto CborWriter::writeHead(unsigned majorType, std::uint64_t argument) -> void
{
    const auto type = majorType << majorTypeShift;
    if (argument <= largestDirectArgument) {
        m_bytes += char(type | argument);
        return;
    }
    // Arguments of 1, 2, 4 or 8 bytes follow the first byte, which tells their length.
    auto info = oneByteArgument;
    std::size_t bytes = 1;
    while (bytes < sizeof argument && argument >> (bitsPerByte * bytes) != 0) {
        bytes *= 2;
        ++info;
    }
    m_bytes += char(type | info);
    writeBigEndian(argument, bytes);
}

auto CborWriter::writeUnsigned(std::uint64_t value) -> void
{
    writeHead(unsignedType, value);
}

auto CborWriter::writeInteger(std::int64_t value) -> void
{
    if (value >= 0)
        writeHead(unsignedType, std::uint64_t(value));
    else
        writeHead(negativeType, ~std::uint64_t(value));
}

auto CborWriter::writeReal(double value) -> void
{
    m_bytes += char(simpleType << majorTypeShift | eightByteArgument);
    writeBigEndian(std::bit_cast<std::uint64_t>(value), sizeof value);
}

auto CborWriter::writeBoolean(bool value) -> void
{
    writeHead(simpleType, value ? simpleTrue : simpleFalse);
}

auto CborWriter::writeText(std::string_view text) -> void
{
    writeHead(textType, text.size());
    m_bytes += text;
}

auto CborWriter::writeBytes(std::string_view bytes) -> void
{
    writeHead(bytesType, bytes.size());
    m_bytes += bytes;
}

auto CborWriter::writeJson(const Json &json) -> void
{
    Json::to_cbor(json, m_bytes);
}

auto CborWriter::beginArray(std::size_t count) -> void
{
    writeHead(arrayType, count);
}

auto CborWriter::beginMap(std::size_t count) -> void
{
    writeHead(mapType, count);
}

auto CborWriter::beginFields() -> std::size_t
{
    const auto place = m_bytes.size();
    m_bytes += char(mapType << majorTypeShift | twoByteArgument);
    m_bytes.append(sizeof(std::uint16_t), '\0');
    return place;
}

auto CborWriter::endFields(std::size_t place, std::uint16_t count) -> void
{
    m_bytes[place + 1] = char(count >> bitsPerByte);
    m_bytes[place + 2] = char(count & 0xff);
}

} // namespace Utils
