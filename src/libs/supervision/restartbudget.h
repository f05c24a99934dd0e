#pragma once

#include "utils/clock.h"

#include <deque>
#include <optional>

namespace Supervision {

/*! \brief Defines when a child is restarted and when its supervisor escalates the failure. */
struct RestartPolicy
{
    Utils::Milliseconds initialBackoff{100};
    Utils::Milliseconds maximumBackoff{5000};
    int maximumRestarts = 5; //!< Maximum restarts within the window.
    Utils::Milliseconds window{60'000};
};

/*! \brief Counts the failures of a child in a sliding time window. */
class RestartBudget
{
public:
    explicit RestartBudget(RestartPolicy policy);

    /*!
        \brief Records a failure and returns the time to wait before the restart.

        Returns std::nullopt if the failure must be escalated.
    */
    auto addFailure(Utils::Instant now) -> std::optional<Utils::Milliseconds>;

private:
    RestartPolicy m_policy;
    std::deque<Utils::Instant> m_failures;
};

} // namespace Supervision
