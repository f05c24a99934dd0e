#pragma once

#include "demandtable.h"
#include "endpointdirectory.h"

#include "utils/stopsignal.h"

#include <functional>

namespace apache::thrift {
class TProcessor;
}

namespace Membership {

/*! \brief Name of the Thrift service at the listener for peers. */
constexpr auto membershipServiceName = "membership";

/*! \brief Requests that this process has in flight, by endpoint, and its demand. */
struct LocalLoad
{
    std::map<std::string, int> inFlight;
    std::vector<Demand> demand;
};

/*! \brief The identity of this process that is sent to its peers. */
struct ProcessIdentity
{
    std::string id;
    std::string zone;
    std::int64_t incarnation = 0;
};

/*! \brief Returns the Thrift processor that receives the updates of peers. */
auto makeMembershipProcessor(EndpointDirectory &directory, DemandTable &demand)
    -> std::shared_ptr<apache::thrift::TProcessor>;

/*! \brief Address of one peer, and the interval and timeout of the calls to it. */
struct PeerLinkOptions
{
    std::string peer;
    std::string address; //!< HOST:PORT of the peer's listener for peers.
    Utils::Milliseconds interval{1000};
    Utils::Milliseconds callTimeout{500};
};

/*!
    \brief Sends this process's updates to one peer over one persistent connection.

    An update is sent when the own set has changed, and otherwise after each interval. After a
    failure, the next update is sent after the interval.
*/
class PeerLink
{
public:
    PeerLink(PeerLinkOptions options,
             ProcessIdentity self,
             EndpointDirectory &directory,
             std::function<LocalLoad()> localLoad);
    ~PeerLink();

    /*! \brief Sends updates until \a stop is requested; reconnects after failures. */
    auto run(Utils::StopSignal &stop) -> void;

private:
    class Connection;

    auto sendUpdate() -> bool;

    PeerLinkOptions m_options;
    ProcessIdentity m_self;
    EndpointDirectory &m_directory;
    std::function<LocalLoad()> m_localLoad;
    std::unique_ptr<Connection> m_connection;
    std::int64_t m_acknowledged = 0; //!< Version of the own set that the peer has; 0 if none.
    bool m_reachable = true;
};

} // namespace Membership
