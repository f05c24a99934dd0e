#include "supervisor.h"

#include "utils/log.h"

#include <algorithm>

namespace Supervision {

Supervisor::Supervisor(std::string name,
                       RestartPolicy policy,
                       std::function<void(const Utils::Error &)> escalate)
    : m_name(std::move(name))
    , m_policy(policy)
    , m_escalate(std::move(escalate))
{}

Supervisor::~Supervisor()
{
    stop();
}

auto Supervisor::startChild(ChildSpec spec) -> void
{
    auto &child = *m_children.emplace_back(std::make_unique<Child>());
    child.spec = std::move(spec);
    child.thread = std::jthread([this, &child] { supervise(child); });
}

auto Supervisor::stop() -> void
{
    while (!m_children.empty()) {
        auto &child = *m_children.back();
        child.stop.request();
        if (child.thread.joinable())
            child.thread.join();
        m_children.pop_back();
    }
}

auto Supervisor::supervise(Child &child) -> void
{
    auto backoff = m_policy.initialBackoff;
    auto restarts = 0;
    while (!child.stop.isRequested()) {
        const auto result = child.spec.run(child.stop);
        if (child.stop.isRequested())
            return;
        const auto error =
            result ? Utils::Error{Utils::ErrorType::Unavailable, "the task ended by itself", {}}
                   : result.error();
        Utils::Log::error(
            "supervision",
            "a supervised task failed",
            {{"supervisor", m_name}, {"task", child.spec.name}, {"reason", error.message}});
        if (++restarts > m_policy.maximumRestarts) {
            m_escalate(error);
            return;
        }
        if (child.stop.waitFor(backoff))
            return;
        backoff = std::min(backoff * 2, m_policy.maximumBackoff);
    }
}

} // namespace Supervision
