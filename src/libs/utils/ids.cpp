#include "ids.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace Utils {
namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";

auto entropySeed() -> std::uint64_t
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

auto appendHex(std::string &text, std::uint64_t value) -> void
{
    for (auto shift = 60; shift >= 0; shift -= 4)
        text += hexDigits[(value >> unsigned(shift)) & 0xFU];
}

} // namespace

IdGenerator::IdGenerator()
    : IdGenerator(entropySeed())
{}

IdGenerator::IdGenerator(std::uint64_t seed)
    : m_engine(seed)
{}

auto IdGenerator::next(std::string_view prefix) -> std::string
{
    const std::scoped_lock lock(m_mutex);
    std::string id(prefix);
    id += '-';
    appendHex(id, m_engine());
    appendHex(id, m_engine());
    return id;
}

auto IdGenerator::nextNumber() -> std::uint64_t
{
    const std::scoped_lock lock(m_mutex);
    return m_engine();
}

auto sha256Hex(std::string_view text) -> std::string
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    std::string hex;
    for (const auto byte : digest) {
        hex += hexDigits[byte >> 4U];
        hex += hexDigits[byte & 0xFU];
    }
    return hex;
}

auto equalInConstantTime(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace Utils
