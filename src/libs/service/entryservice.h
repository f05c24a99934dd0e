#pragma once

#include "leaderlink.h"
#include "outcomes.h"

#include "control/callerroutes.h"
#include "jobs/jobtypes.h"

#include <functional>
#include <string>

namespace Service {

/*! \brief What an entry process does for callers: all but the wire format of their requests. */
class EntryService
{
public:
    EntryService(AsyncNet::asio::io_context &loop, LeaderLink &link);

    auto start() -> void;
    auto stop() -> void;

    /*! \brief Returns the routes in force; version 0 before the first ones arrived. */
    auto routes() const -> const Control::CallerRoutes & { return m_routes; }
    /*! \brief Called after each change of the configuration. */
    auto onConfiguration(std::function<void()> changed) -> void;
    /*! \brief Returns true if callers can be served here. */
    auto isReady() const -> bool;

    auto handIn(Jobs::JobSpec job) -> AsyncNet::Task<HandInResult>;
    auto jobState(std::string queue, std::string id) -> AsyncNet::Task<JobStateResult>;
    auto cancel(std::string queue, std::string id) -> AsyncNet::Task<CancelResult>;
    auto countWaiting(std::string queue) -> AsyncNet::Task<CountResult>;

private:
    auto followConfiguration() -> AsyncNet::Task<void>;
    auto watchLeader() -> AsyncNet::Task<void>;

    AsyncNet::asio::io_context &m_loop;
    LeaderLink &m_link;
    Control::CallerRoutes m_routes;
    std::function<void()> m_configurationChanged;
    Utils::SystemClock m_clock;
    Utils::Instant m_leaderSeen;
    bool m_stopped = false;
};

} // namespace Service
