#pragma once

#include "asyncnet/framelink.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Service {

/*! \brief How a process introduces itself to the leader. Entries leave it empty. */
struct ControlIdentity
{
    std::string processId;
    std::string address; //!< Of the replication listener.
    std::string zone;
};

/*!
    \brief Finds the leader, starting from seeds, and keeps a connection to it.

    All known processes are asked at once, since any of them may be down. Each tells which others it
    knows, so that the seeds may be gone later. Lives on one event loop.
*/
class LeaderLink
{
public:
    LeaderLink(AsyncNet::asio::io_context &loop,
               std::vector<std::string> seeds,
               ControlIdentity identity);

    auto start() -> void;
    auto stop() -> void;
    /*! \brief Adds addresses to look for the leader at. */
    auto addMembers(const std::vector<std::string> &addresses) -> void;
    auto members() const -> const std::set<std::string> & { return m_members; }

    /*! \brief Returns the leader's address, or an empty text while none is connected. */
    auto leader() const -> std::string;

    /*!
        \brief Sends \a request to the leader.

        Waits at most \a patience for a leader. Fails with Unavailable if no leader took the
        request, so that it was certainly not carried out, else with OutcomeUnknown.
    */
    auto call(Wire::ControlRequest request,
              Utils::Milliseconds patience,
              Utils::Milliseconds timeout) -> AsyncNet::Task<Utils::Result<Wire::ControlReply>>;

private:
    using Client = std::shared_ptr<AsyncNet::FrameClient>;

    auto run() -> AsyncNet::Task<void>;
    auto ask(std::string address) -> AsyncNet::Task<void>;
    auto keep(Client client) -> AsyncNet::Task<void>;
    auto hello() const -> Wire::ControlRequest;
    auto drop(const Client &client, std::string_view reason) -> void;

    AsyncNet::asio::io_context &m_loop;
    std::vector<std::string> m_seeds;
    ControlIdentity m_identity;
    std::set<std::string> m_members;
    std::set<std::string> m_asked; //!< Members that are being asked now.
    Client m_leader;
    AsyncNet::Signal m_changed;
    bool m_stopped = false;
};

} // namespace Service
