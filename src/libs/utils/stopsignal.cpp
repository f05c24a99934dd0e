#include "stopsignal.h"

namespace Utils {

auto StopSignal::request() -> void
{
    const std::scoped_lock lock(m_mutex);
    m_requested = true;
    m_requestedCondition.notify_all();
}

auto StopSignal::isRequested() const -> bool
{
    const std::scoped_lock lock(m_mutex);
    return m_requested;
}

auto StopSignal::waitFor(std::chrono::milliseconds duration) -> bool
{
    std::unique_lock lock(m_mutex);
    return m_requestedCondition.wait_for(lock, duration, [this] { return m_requested; });
}

auto StopSignal::wait() -> void
{
    std::unique_lock lock(m_mutex);
    m_requestedCondition.wait(lock, [this] { return m_requested; });
}

auto StopSignal::waitUntil(const std::function<bool()> &condition) -> void
{
    std::unique_lock lock(m_mutex);
    m_requestedCondition.wait(lock, [&] { return m_requested || condition(); });
}

auto StopSignal::notify() -> void
{
    const std::scoped_lock lock(m_mutex);
    m_requestedCondition.notify_all();
}

} // namespace Utils
