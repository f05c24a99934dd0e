#pragma once

#include "endpointclient.h"
#include "request.h"

#include "fleet/replica.h"
#include "membership/peerupdates.h"

#include <map>
#include <mutex>
#include <set>

namespace Routing {

/*! \brief Chooses endpoints for requests and sends them there. Thread-safe. */
class Dispatcher
{
public:
    Dispatcher(const Utils::Clock &clock,
               const Fleet::Replica &replica,
               const Membership::EndpointDirectory &directory);

    /*! \brief Runs \a request at an endpoint of its service. */
    auto dispatch(const Request &request) -> Reply;
    /*! \brief Returns this process's requests in flight to endpoints of \a host. */
    auto inFlightOnHost(std::string_view host) -> int;
    /*! \brief Returns what this process has in flight by endpoint, for its peers. */
    auto localLoad() -> Membership::LocalLoad;

private:
    struct Choice
    {
        std::string endpoint;
        Attempt attempt;
    };

    auto choose(const Request &request, const std::set<std::string> &excluded)
        -> std::optional<Choice>;
    auto finish(const std::string &endpoint) -> void;

    const Utils::Clock &m_clock;
    const Fleet::Replica &m_replica;
    const Membership::EndpointDirectory &m_directory;
    EndpointClient m_client;
    std::mutex m_mutex;
    std::map<std::string, int> m_inFlight; //!< This process's requests by endpoint.
};

} // namespace Routing
