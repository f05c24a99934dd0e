#pragma once

#include "leaderlink.h"
#include "outcomes.h"

#include "control/callerroutes.h"
#include "jobs/jobtypes.h"

#include <functional>
#include <string>

namespace Service {

/*! \brief Serves callers' requests in an entry process, independently of their wire format. */
class EntryService
{
public:
    EntryService(AsyncNet::asio::io_context &loop, LeaderLink &link);

    auto start() -> void;
    auto stop() -> void;

    /*! \brief Returns the current routes; their version is 0 before the first configuration. */
    auto routes() const -> const Control::CallerRoutes & { return m_routes; }
    /*! \brief Sets the function that is called after each change of the configuration. */
    auto setConfigurationCallback(std::function<void()> changed) -> void;
    /*! \brief Returns true if routes are known and a leader was connected in the last 2.5 s. */
    auto isReady() const -> bool;

    // The leader checks the digest of the caller's key, which is empty without a key.
    auto submitJob(Jobs::JobSpec job, std::string keyDigest) -> AsyncNet::Task<JobSubmissionResult>;
    auto jobState(Control::CallerRoute route, std::string id, std::string keyDigest)
        -> AsyncNet::Task<JobStateResult>;
    auto cancel(Control::CallerRoute route, std::string id, std::string keyDigest)
        -> AsyncNet::Task<CancelResult>;
    auto countWaiting(Control::CallerRoute route, std::string keyDigest)
        -> AsyncNet::Task<CountResult>;

private:
    auto followConfiguration() -> AsyncNet::Task<void>;
    auto watchLeader() -> AsyncNet::Task<void>;

    AsyncNet::asio::io_context &m_loop;
    LeaderLink &m_link;
    Control::CallerRoutes m_routes;
    std::function<void()> m_configurationChanged;
    Utils::SystemClock m_clock;
    Utils::Instant m_leaderSeenAt;
    bool m_stopped = false;
};

} // namespace Service
