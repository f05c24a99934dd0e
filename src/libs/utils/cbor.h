#pragma once

#include "cborreader.h"
#include "cborwriter.h"

/*! Stores aggregates as CBOR from the same description of their fields as JSON. */
namespace Utils {

/*! \brief Encodes \a value as CBOR. */
template <typename T>
auto toCbor(const T &value) -> std::string
{
    CborWriter writer;
    writer.write(value);
    return writer.take();
}

/*!
    \brief Decodes CBOR.

    Fails with ErrorType::Corruption if the bytes are malformed, and with ErrorType::InvalidInput,
    and all errors at once, if they are not what T describes.
*/
template <typename T>
auto fromCbor(std::string_view bytes) -> Result<T>
{
    T value{};
    CborReader reader(bytes);
    reader.read(value);
    if (reader.isMalformed() || !reader.isAtEnd())
        return failure(ErrorType::Corruption, "the bytes are not valid CBOR");
    if (!reader.errors().empty())
        return failure(
            ErrorType::InvalidInput, "the document has errors", describeErrors(reader.errors()));
    return value;
}

} // namespace Utils
