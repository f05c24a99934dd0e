#pragma once

#include "utils/clock.h"
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

/*! \brief When a child is restarted, and when its supervisor gives up. */
struct RestartPolicy
{
    Utils::Milliseconds initialBackoff{100};
    Utils::Milliseconds maximumBackoff{5000};
    int maximumRestarts = 5; //!< Within the window; one more escalates.
    Utils::Milliseconds window{60'000};
};

/*!
    \brief Runs children in order, restarts a failed one, and stops them in reverse order.

    A child that fails more often than the policy allows ends the supervisor, whose
    escalation callback tells the level above.
*/
class Supervisor
{
public:
    Supervisor(std::string name,
               RestartPolicy policy,
               std::function<void(const Utils::Error &)> escalate);
    ~Supervisor();

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
    std::function<void(const Utils::Error &)> m_escalate;
    std::vector<std::unique_ptr<Child>> m_children;
};

} // namespace Supervision
