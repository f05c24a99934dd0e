#pragma once

#include "httpserver.h"
#include "startgate.h"

#include "fleet/replica.h"
#include "routing/claimeddispatch.h"
#include "utils/ids.h"

namespace Entry {

/*! \brief Dependencies of CallerInterface. */
struct CallerContext
{
    const Utils::Clock &clock;
    Utils::IdGenerator &ids;
    const Fleet::Replica &replica;
    Routing::Dispatcher &dispatcher;
    Routing::ClaimedDispatch &claimedDispatch;
    Utils::Metrics *metrics = nullptr; //!< Records request counts and durations; may be nullptr.
    StartGate *startGate = nullptr;    //!< Requests are refused while it is closed; may be nullptr.
};

/*! \brief Serves requests of callers under /v1/services/{service}/{path}. */
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
