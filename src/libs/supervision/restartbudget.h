#pragma once

#include "utils/clock.h"

#include <deque>
#include <optional>

namespace Supervision {

/*! \brief When a child is restarted, and when its supervisor gives up. */
struct RestartPolicy
{
    Utils::Milliseconds initialBackoff{100};
    Utils::Milliseconds maximumBackoff{5000};
    int maximumRestarts = 5; //!< Within the window; one more escalates.
    Utils::Milliseconds window{60'000};
};

/*! \brief Counts a child's failures in a sliding window. */
class RestartBudget
{
public:
    explicit RestartBudget(RestartPolicy policy);

    /*! \brief Adds a failure; returns the time to wait before the restart, or nothing to escalate. */
    auto addFailure(Utils::Instant now) -> std::optional<Utils::Milliseconds>;

private:
    RestartPolicy m_policy;
    std::deque<Utils::Instant> m_failures;
};

} // namespace Supervision
