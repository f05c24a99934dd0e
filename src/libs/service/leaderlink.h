#pragma once

#include "asyncnet/framelink.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Service {

/*! \brief Identity that a control process sends to the leader. Entry processes leave it empty. */
struct ControlIdentity
{
    std::string processId;
    std::string address; //!< Address of the replication listener.
    std::string zone;
};

/*!
    \brief Finds the leader, starting from seed addresses, and keeps a connection to it.

    Queries all known processes concurrently, since any of them may be down. Each reply lists the
    other processes known to its sender, so that the seeds need not stay available. Must be used
    from one event loop.
*/
class LeaderLink
{
public:
    LeaderLink(AsyncNet::asio::io_context &loop,
               std::vector<std::string> seeds,
               ControlIdentity identity);

    auto start() -> void;
    auto stop() -> void;
    /*! \brief Adds addresses to search for the leader; ignores them once 64 are known. */
    auto addMembers(const std::vector<std::string> &addresses) -> void;
    auto members() const -> const std::set<std::string> & { return m_members; }

    /*! \brief Returns the address of the connected leader, or an empty string if there is none. */
    auto leader() const -> std::string;

    /*!
        \brief Sends \a request to the leader.

        Waits at most \a leaderTimeout for a leader to be known. Fails with Unavailable if no leader
        accepted the request, which was then certainly not executed, and otherwise with
        OutcomeUnknown.
    */
    auto call(Wire::ControlRequest request,
              Utils::Milliseconds leaderTimeout,
              Utils::Milliseconds timeout) -> AsyncNet::Task<Utils::Result<Wire::ControlReply>>;

private:
    using Client = std::shared_ptr<AsyncNet::FrameClient>;

    auto run() -> AsyncNet::Task<void>;
    auto query(std::string address) -> AsyncNet::Task<void>;
    auto keepConnection(Client client) -> AsyncNet::Task<void>;
    auto hello() const -> Wire::ControlRequest;
    auto drop(const Client &client, std::string_view reason) -> void;

    AsyncNet::asio::io_context &m_loop;
    std::vector<std::string> m_seeds;
    ControlIdentity m_identity;
    std::set<std::string> m_members;
    std::set<std::string> m_queried; //!< Members with a query or connection.
    Client m_leader;
    AsyncNet::Signal m_changed;
    bool m_stopped = false;
};

} // namespace Service
