#pragma once

#include "restartbudget.h"

#include "utils/error.h"
#include "utils/stopsignal.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/*! A tree of supervisors that start, restart and stop the parts of a process. */
namespace Supervision {

/*! \brief One supervised task: run() returns when \a stop is requested or when it fails. */
struct ChildSpec
{
    std::string name;
    std::function<Utils::Result<void>(Utils::StopSignal &stop)> run;
};

/*! \brief Called on a child's thread when the child fails more often than the policy allows. */
using Escalation = std::function<void(const Utils::Error &)>;

/*!
    \brief Runs children in order, restarts a failed one, and stops them in reverse order.

    A child that ends by itself or throws has failed. One that fails more often than the policy
    allows is not started again; the escalation callback tells the level above.
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

    When one of them escalates, all of them are stopped in reverse order and the child fails, so
    that the supervisor above restarts them together.
*/
auto supervisorChild(std::string name,
                     RestartPolicy policy,
                     const Utils::Clock &clock,
                     std::vector<ChildSpec> children) -> ChildSpec;

} // namespace Supervision
