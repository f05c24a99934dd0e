#pragma once

#include "demandtable.h"
#include "endpointdirectory.h"

#include "utils/stopsignal.h"

#include <functional>

namespace apache::thrift {
class TProcessor;
}

namespace Membership {

/*! \brief The name of the Thrift service among those of the peers' listener. */
constexpr auto membershipServiceName = "membership";

/*! \brief What this process has in flight by endpoint and what it needs. */
struct LocalLoad
{
    std::map<std::string, int> inFlight;
    std::vector<Demand> demand;
};

/*! \brief This process as its peers see it. */
struct ProcessIdentity
{
    std::string id;
    std::string zone;
    std::int64_t incarnation = 0;
};

/*! \brief Makes the Thrift service that takes in peers' updates. */
auto makeMembershipProcessor(EndpointDirectory &directory, DemandTable &demand)
    -> std::shared_ptr<apache::thrift::TProcessor>;

/*! \brief One peer and the limits of a call to it. */
struct PeerLinkOptions
{
    std::string peer;
    std::string address; //!< HOST:PORT of its peers' listener.
    Utils::Milliseconds interval{1000};
    Utils::Milliseconds callTimeout{500};
};

/*!
    \brief Sends this process's updates to one peer over one kept connection.

    A change of the own set goes out at once, otherwise an update goes out each interval.
*/
class PeerLink
{
public:
    PeerLink(PeerLinkOptions options,
             ProcessIdentity self,
             EndpointDirectory &directory,
             std::function<LocalLoad()> localLoad);
    ~PeerLink();

    /*! \brief Sends updates until \a stop is requested; connects again after failures. */
    auto run(Utils::StopSignal &stop) -> void;

private:
    class Connection;

    auto sendOne() -> bool;

    PeerLinkOptions m_options;
    ProcessIdentity m_self;
    EndpointDirectory &m_directory;
    std::function<LocalLoad()> m_localLoad;
    std::unique_ptr<Connection> m_connection;
    std::int64_t m_acknowledged = 0; //!< The own set's version that the peer holds.
    bool m_reachable = true;
};

} // namespace Membership
