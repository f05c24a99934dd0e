#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <string>
#include <string_view>

namespace Utils {

/*! \brief Generates identifiers of 128 random bits from a seeded generator. Thread-safe. */
class IdGenerator
{
public:
    /*! \brief Seeds the generator with entropy from the operating system. */
    IdGenerator();
    explicit IdGenerator(std::uint64_t seed);

    /*! \brief Returns \a prefix, a hyphen and 32 hexadecimal digits. */
    auto next(std::string_view prefix) -> std::string;
    /*! \brief Returns 64 random bits. */
    auto nextNumber() -> std::uint64_t;

private:
    std::mutex m_mutex;
    std::mt19937_64 m_engine;
};

/*! \brief Returns the SHA-256 digest of \a text as 64 lower-case hexadecimal digits. */
auto sha256Hex(std::string_view text) -> std::string;

/*!
    \brief Compares secrets in a time that depends only on their lengths.

    The time taken does not reveal at which byte the texts differ.
*/
auto equalInConstantTime(std::string_view left, std::string_view right) -> bool;

} // namespace Utils
