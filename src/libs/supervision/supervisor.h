#pragma once

#include "restartbudget.h"

#include "utils/error.h"
#include "utils/stopsignal.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/*! Tree of supervisors that start, restart and stop the parts of a process. */
namespace Supervision {

/*! \brief A supervised task. run() returns when \a stop is requested or when the task fails. */
struct ChildSpec
{
    std::string name;
    std::function<Utils::Result<void>(Utils::StopSignal &stop)> run;
};

/*! \brief Called on a child's thread when the child fails more often than the policy allows. */
using Escalation = std::function<void(const Utils::Error &)>;

/*!
    \brief Runs each child on a thread, restarts failed ones and stops all in reverse order.

    A child that throws or returns without a stop request has failed. A child that fails more often
    than the policy allows is not restarted; the escalation callback is called instead.
*/
class Supervisor
{
public:
    Supervisor(std::string name,
               RestartPolicy policy,
               const Utils::Clock &clock,
               Escalation escalate);
    ~Supervisor();
    Supervisor(const Supervisor &) = delete;
    auto operator=(const Supervisor &) -> Supervisor & = delete;

    auto startChild(ChildSpec spec) -> void;
    auto stop() -> void;

private:
    struct Child
    {
        ChildSpec spec;
        Utils::StopSignal stop;
        std::jthread thread;
    };

    auto supervise(Child &child) -> void;

    std::string m_name;
    RestartPolicy m_policy;
    const Utils::Clock &m_clock;
    Escalation m_escalate;
    std::vector<std::unique_ptr<Child>> m_children;
};

/*!
    \brief Returns a child that is itself a supervisor of \a children.

    When one of them escalates, all are stopped in reverse order and the returned child fails, so
    that its own supervisor restarts all of them together.
*/
auto supervisorChild(std::string name,
                     RestartPolicy policy,
                     const Utils::Clock &clock,
                     std::vector<ChildSpec> children) -> ChildSpec;

} // namespace Supervision
