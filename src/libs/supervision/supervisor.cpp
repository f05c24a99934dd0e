#include "supervisor.h"

#include "utils/log.h"

#include <exception>
#include <mutex>
#include <optional>

namespace Supervision {
namespace {

using Utils::Error;
using Utils::ErrorType;

auto runOnce(const ChildSpec &spec, Utils::StopSignal &stop) -> Error
{
    try {
        const auto result = spec.run(stop);
        return result
                   ? Error{ErrorType::Unavailable, "the task returned without a stop request", {}}
                   : result.error();
    } catch (const std::exception &exception) {
        return Error{ErrorType::Unavailable, "the task threw an exception", exception.what()};
    }
}

} // namespace

Supervisor::Supervisor(std::string name,
                       RestartPolicy policy,
                       const Utils::Clock &clock,
                       Escalation escalate)
    : m_name(std::move(name))
    , m_policy(policy)
    , m_clock(clock)
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
    RestartBudget budget(m_policy);
    while (!child.stop.isRequested()) {
        const auto error = runOnce(child.spec, child.stop);
        if (child.stop.isRequested())
            return;
        const auto backoff = budget.addFailure(m_clock.now());
        Utils::Log::error("supervision",
                          backoff ? "a task failed and will be restarted"
                                  : "a task failed more often than the restart policy allows",
                          {{"supervisor", m_name},
                           {"task", child.spec.name},
                           {"reason", error.message},
                           {"details", error.details}});
        if (!backoff) {
            m_escalate(error);
            return;
        }
        if (child.stop.waitFor(*backoff))
            return;
    }
}

auto supervisorChild(std::string name,
                     RestartPolicy policy,
                     const Utils::Clock &clock,
                     std::vector<ChildSpec> children) -> ChildSpec
{
    auto run = [name, policy, &clock, children = std::move(children)](
                   Utils::StopSignal &stop) -> Utils::Result<void> {
        std::mutex mutex;
        std::optional<Error> failed;
        Supervisor supervisor(name, policy, clock, [&](const Error &error) {
            {
                const std::scoped_lock lock(mutex);
                failed = error;
            }
            stop.notify();
        });
        for (const auto &child : children)
            supervisor.startChild(child);
        stop.waitUntil([&] {
            const std::scoped_lock lock(mutex);
            return failed.has_value();
        });
        supervisor.stop();
        if (failed)
            return *failed;
        return Utils::success();
    };
    return {std::move(name), std::move(run)};
}

} // namespace Supervision
