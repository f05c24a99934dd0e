#pragma once

#include <cstdint>
#include <random>

namespace ExecutionTest {

/*! \brief Random numbers that depend on the seed alone, with any standard library. */
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed)
        : m_engine(seed)
    {}

    /*! \brief Returns a number from \a first to \a last, both included. */
    auto between(std::int64_t first, std::int64_t last) -> std::int64_t
    {
        return first + std::int64_t(m_engine() % std::uint64_t(last - first + 1));
    }
    /*! \brief Returns true in \a percent of all calls. */
    auto chance(double percent) -> bool
    {
        return double(between(0, resolution - 1)) < percent * double(resolution) / 100;
    }

private:
    static constexpr std::int64_t resolution = 1'000'000;

    std::mt19937_64 m_engine;
};

} // namespace ExecutionTest
