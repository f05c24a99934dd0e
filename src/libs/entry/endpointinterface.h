#pragma once

#include "httpserver.h"

#include "fleet/gateway.h"
#include "fleet/replica.h"
#include "membership/endpointdirectory.h"

namespace Entry {

/*! \brief Dependencies of EndpointInterface. */
struct EndpointContext
{
    const Fleet::Replica &replica;
    Fleet::Gateway &gateway;
    Membership::EndpointDirectory &directory;
    std::string processId;
};

/*! \brief Serves the announcements of endpoints. */
class EndpointInterface
{
public:
    EndpointInterface(HttpServer &server, EndpointContext context);

private:
    auto handleAnnounce(const httplib::Request &http, httplib::Response &response) -> void;
    auto findOrRegisterHost(const Membership::Announcement &announcement)
        -> Utils::Result<Fleet::Host>;

    EndpointContext m_context;
};

} // namespace Entry
