#pragma once

#include "committer.h"
#include "leaderlink.h"
#include "membertable.h"
#include "orderrelay.h"
#include "outcomes.h"
#include "relayedendpoints.h"

#include "control/callerroutes.h"
#include "execution/leadersession.h"
#include "utils/logbudget.h"
#include "utils/metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Service {

/*! \brief An endpoint's announcement. */
struct Announcement
{
    Control::EndpointRecord record;
    std::int64_t sequence = 0; //!< Rises with each announcement of one life.
};

/*! \brief What a control process needs. All outlive the service. */
struct ControlParts
{
    AsyncNet::asio::io_context &loop;
    Control::StateReplica &state;
    Replication::ReplicatedLog &log;
    Execution::EndpointLink &endpoints;
    Execution::HostProvider &hosts;
    const Utils::Clock &clock;
    Utils::Metrics &metrics;
    LeaderLink &link;
    MemberTable &members;
};

struct ControlOptions
{
    std::string linkAddress;   //!< Where entries and other control processes connect.
    std::string listenAddress; //!< Where this process listens for them.
    Execution::LedgerTiming timing;
    double hostOrdersPerS = 0; //!< That the provider of hosts takes from all processes together.
};

/*!
    \brief What a control process does: it leads, or tells who does. Lives on one event loop.
*/
class ControlService
{
public:
    ControlService(ControlParts parts, ControlOptions options);
    ~ControlService();

    auto start() -> Utils::Result<void>;
    /*! \brief Ends leading; requests are then refused as by a process that does not lead. */
    auto stop() -> void;
    /*! \brief Called on the loop after the log has applied an entry. */
    auto stateChanged() -> void;

    auto leads() const -> bool;
    /*! \brief Returns the link address of the leader, or an empty text if none is known. */
    auto leaderAddress() const -> std::string;

    auto announce(Announcement announcement) -> AsyncNet::Task<Outcome>;
    /*! \brief Notes that an endpoint ends; \a bornMs 0 means whichever life is known. */
    auto leave(std::string endpoint, std::int64_t bornMs) -> AsyncNet::Task<Outcome>;
    auto putConfiguration(Control::Configuration configuration) -> AsyncNet::Task<Outcome>;
    /*! \brief Returns the newest configuration's document, or nothing if this cannot be sure of it. */
    auto readConfiguration() -> AsyncNet::Task<std::optional<std::string>>;
    auto startWave(Control::Wave wave) -> AsyncNet::Task<Outcome>;
    /*! \brief Returns whether wave \a number is done, or nothing if it is not known here. */
    auto isWaveDone(std::int64_t number) -> AsyncNet::Task<std::optional<bool>>;

private:
    auto useRelays() -> void;
    auto watchLeadership() -> AsyncNet::Task<void>;
    auto handle(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>;
    auto hello(const Wire::ControlRequest &request) -> Wire::ControlReply;
    auto handIn(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>;
    auto jobState(const Wire::ControlRequest &request) -> Wire::ControlReply;
    auto cancel(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>;
    auto countWaiting(const Wire::ControlRequest &request) -> Wire::ControlReply;
    auto awaitConfiguration(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>;
    auto routesNewerThan(std::int64_t version) -> std::string;
    auto countWaitingJobs() -> void;
    auto notLeader() const -> Wire::ControlReply;
    auto leaderOfLog() const -> std::string;
    auto knownMembers() const -> std::vector<std::string>;
    auto commit(Control::Command command) -> AsyncNet::Task<Execution::CommitResult>;
    /*! \brief Proves that no other process leads, and that all earlier entries are applied here. */
    auto commitNothing() -> AsyncNet::Task<Execution::CommitResult>;
    auto session() const -> Execution::LeaderSession *;
    auto endReplacedLives(const Control::EndpointRecord &record) -> AsyncNet::Task<bool>;

    ControlParts m_parts;
    ControlOptions m_options;
    Committer m_committer;
    OrderRelay m_relay; //!< For another process that leads.
    RelayedEndpoints m_endpoints;
    AsyncNet::FrameServer m_server;
    std::shared_ptr<Execution::LeaderSession> m_session;
    std::map<Control::EndpointLife, std::int64_t> m_sequences; //!< Last announcement of each life.
    Control::CallerRoutesHistory m_routes;
    std::map<std::int64_t, std::string> m_encodedUpdates; //!< By the version that they change.
    std::int64_t m_encodedVersion = 0;                    //!< That they lead to.
    AsyncNet::Signal m_configurationChanged;
    std::map<std::string, std::int64_t> m_waiting; //!< Jobs that have not begun, by queue.
    Utils::Instant m_waitingCountedAt;
    Utils::LogBudget m_handInLines;
    std::int64_t m_toldVersion = 0;
    Utils::Instant m_relaysChosenAt;
    bool m_stopped = false;
};

} // namespace Service
