#pragma once

#include "utils/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace ExecutionTest {

inline constexpr std::int64_t usPerMs = 1000;

/*! \brief A clock and the actions that are due on it. No real time passes. */
class VirtualTime
{
public:
    using Action = std::function<void()>;

    auto nowUs() const -> std::int64_t { return m_nowUs; }
    auto now() const -> Utils::Instant;
    auto wallMs() const -> std::int64_t;
    /*! \brief Calls \a action once \a delayUs have passed. */
    auto after(std::int64_t delayUs, Action action) -> void;
    /*! \brief Carries out all actions that are due before \a endUs, in the order of their times. */
    auto runUntil(std::int64_t endUs) -> void;

private:
    struct Entry
    {
        std::int64_t atUs = 0;
        std::int64_t number = 0; //!< Actions that are due at the same time keep their order.
        Action action;

        auto operator<(const Entry &other) const -> bool
        {
            return atUs != other.atUs ? atUs > other.atUs : number > other.number;
        }
    };

    std::int64_t m_nowUs = 0;
    std::int64_t m_number = 0;
    std::priority_queue<Entry> m_entries;
};

} // namespace ExecutionTest
