#pragma once

#include "httpserver.h"
#include "startgate.h"

#include "fleet/replica.h"
#include "routing/claimeddispatch.h"
#include "utils/ids.h"

namespace Entry {

/*! \brief What the callers' interface works with. */
struct CallerContext
{
    const Utils::Clock &clock;
    Utils::IdGenerator &ids;
    const Fleet::Replica &replica;
    Routing::Dispatcher &dispatcher;
    Routing::ClaimedDispatch &claimedDispatch;
    Utils::Metrics *metrics = nullptr; //!< Counts and times requests, if set.
    StartGate *startGate = nullptr;    //!< Refuses requests while it is closed, if set.
};

/*! \brief Serves callers' requests: /v1/services/{service}/{path}. */
class CallerInterface
{
public:
    CallerInterface(HttpServer &server, CallerContext context);

private:
    auto handle(const httplib::Request &http, httplib::Response &response) -> void;
    auto record(const Routing::Request &request,
                Routing::Outcome outcome,
                Utils::Instant started) const -> void;
    auto parse(const httplib::Request &http) const -> Utils::Result<Routing::Request>;

    CallerContext m_context;
};

} // namespace Entry
