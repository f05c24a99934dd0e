#include "balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace Routing {
namespace {

using Utils::EnumName;

// Coefficient of ln(balls) in the load range of pickModulated().
constexpr auto logarithmFactor = 1.0;

constexpr std::array strategyNames{
    EnumName<Strategy>{Strategy::Random, "random"},
    EnumName<Strategy>{Strategy::RoundRobin, "round-robin"},
    EnumName<Strategy>{Strategy::LeastInFlight, "least-in-flight"},
    EnumName<Strategy>{Strategy::TwoChoices, "two-choices"},
    EnumName<Strategy>{Strategy::ModulatedTwoChoices, "modulated-two-choices"},
};

} // namespace

auto enumNames(Strategy) -> std::span<const EnumName<Strategy>>
{
    return strategyNames;
}

auto Balancer::table() -> std::span<const Entry>
{
    static constexpr std::array entries{
        Entry{Strategy::Random, &Balancer::pickRandom},
        Entry{Strategy::RoundRobin, &Balancer::pickRoundRobin},
        Entry{Strategy::LeastInFlight, &Balancer::pickLeastInFlight},
        Entry{Strategy::TwoChoices, &Balancer::pickTwoChoices},
        Entry{Strategy::ModulatedTwoChoices, &Balancer::pickModulated},
    };
    return entries;
}

Balancer::Balancer(Strategy strategy, std::uint64_t seed)
    : m_engine(seed)
{
    m_pick = std::ranges::find(table(), strategy, &Entry::strategy)->pick;
}

auto Balancer::pick(std::span<const int> loads, int capacity) -> std::size_t
{
    return loads.size() == 1 ? 0 : (this->*m_pick)(loads, capacity);
}

auto Balancer::randomIndex(std::size_t size) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(m_engine);
}

auto Balancer::pickRandom(std::span<const int> loads, int) -> std::size_t
{
    return randomIndex(loads.size());
}

auto Balancer::pickRoundRobin(std::span<const int> loads, int) -> std::size_t
{
    return m_next++ % loads.size();
}

// Starts the search at a random index, so that processes that know the same loads choose different
// endpoints among equally loaded ones.
auto Balancer::pickLeastInFlight(std::span<const int> loads, int) -> std::size_t
{
    const auto start = randomIndex(loads.size());
    auto best = start;
    for (std::size_t step = 1; step < loads.size(); ++step) {
        const auto index = (start + step) % loads.size();
        if (loads[index] < loads[best])
            best = index;
    }
    return best;
}

auto Balancer::pickTwoChoices(std::span<const int> loads, int) -> std::size_t
{
    const auto first = randomIndex(loads.size());
    const auto second = randomIndex(loads.size());
    return loads[first] <= loads[second] ? first : second;
}

// Implements the MODULATEDGREEDY algorithm by Bansal and Kuszmaul: the probability of choosing the
// less loaded endpoint grows with the difference of the loads.
auto Balancer::pickModulated(std::span<const int> loads, int capacity) -> std::size_t
{
    const auto first = randomIndex(loads.size());
    const auto second = randomIndex(loads.size());
    const auto bins = double(loads.size());
    const auto balls = std::max(2.0, double(capacity));
    const auto mean = std::accumulate(loads.begin(), loads.end(), 0) / bins;
    const auto range = balls / bins + logarithmFactor * std::log(balls) - mean;
    const auto difference = double(loads[second] - loads[first]);
    if (range <= 0 || std::abs(difference) > range)
        return difference >= 0 ? first : second;
    constexpr auto half = 0.5;
    const auto probability = half + difference / (2 * range);
    return std::uniform_real_distribution<>(0, 1)(m_engine) < probability ? first : second;
}

} // namespace Routing
