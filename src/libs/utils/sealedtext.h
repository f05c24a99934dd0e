#pragma once

#include "error.h"
#include "fields.h"

#include <string>
#include <string_view>

namespace Utils {

/*!
    \brief A text that cannot be read or searched in the bytes that store it.

    Its key is stored with it, so it keeps nothing from those who can read and decode all of it.
*/
struct SealedText
{
    Bytes key; //!< Random key of AES-256-GCM that seals this text alone.
    Bytes nonce;
    Bytes data; //!< The encrypted text, followed by its authentication tag.

    auto operator==(const SealedText &) const -> bool = default;
};

/*! \brief Seals \a text with a new random key. Fails with Unavailable without randomness. */
auto seal(std::string_view text) -> Result<SealedText>;
/*! \brief Returns the text that seal() has sealed. Fails with Corruption if it was changed. */
auto open(const SealedText &sealed) -> Result<std::string>;

template <typename Archive>
auto describe(Archive &archive, SealedText &sealed) -> void
{
    archive.required("key", sealed.key);
    archive.required("nonce", sealed.nonce);
    archive.required("data", sealed.data);
}

} // namespace Utils
