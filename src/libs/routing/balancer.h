#pragma once

#include "utils/fields.h"

#include <cstdint>
#include <random>
#include <span>

namespace Routing {

/*! \brief Strategy for choosing an endpoint among those that may take a request. */
enum class Strategy { Random, RoundRobin, LeastInFlight, TwoChoices, ModulatedTwoChoices };

auto enumNames(Strategy) -> std::span<const Utils::EnumName<Strategy>>;

/*! \brief Chooses endpoints according to their loads. Not thread-safe. */
class Balancer
{
public:
    Balancer(Strategy strategy, std::uint64_t seed);

    /*!
        \brief Returns an index into \a loads, which must not be empty.

        \a capacity is the number of requests that all endpoints together can run at the same time.
    */
    auto pick(std::span<const int> loads, int capacity) -> std::size_t;

private:
    using Pick = auto(Balancer::*)(std::span<const int>, int) -> std::size_t;
    struct Entry
    {
        Strategy strategy;
        Pick pick;
    };
    static auto table() -> std::span<const Entry>;

    auto pickRandom(std::span<const int> loads, int capacity) -> std::size_t;
    auto pickRoundRobin(std::span<const int> loads, int capacity) -> std::size_t;
    auto pickLeastInFlight(std::span<const int> loads, int capacity) -> std::size_t;
    auto pickTwoChoices(std::span<const int> loads, int capacity) -> std::size_t;
    auto pickModulated(std::span<const int> loads, int capacity) -> std::size_t;
    auto randomIndex(std::size_t size) -> std::size_t;

    Pick m_pick = nullptr;
    std::mt19937_64 m_engine;
    std::size_t m_next = 0;
};

} // namespace Routing
