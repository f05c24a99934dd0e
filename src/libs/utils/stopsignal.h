#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>

namespace Utils {

/*! \brief Requests tasks to stop; tasks wait on it instead of sleeping, so a stop wakes them. */
class StopSignal
{
public:
    auto request() -> void;
    auto isRequested() const -> bool;
    /*! \brief Waits at most \a duration; returns true if a stop was requested. */
    auto waitFor(std::chrono::milliseconds duration) -> bool;
    /*! \brief Waits until a stop is requested. */
    auto wait() -> void;
    /*! \brief Waits for a stop request or until \a condition, checked at each notify(), is true. */
    auto waitUntil(const std::function<bool()> &condition) -> void;
    auto notify() -> void;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_requestedCondition;
    bool m_requested = false;
};

} // namespace Utils
