#pragma once

#include "committer.h"
#include "leaderlink.h"
#include "membertable.h"
#include "orderrelay.h"
#include "outcomes.h"
#include "provenleadership.h"
#include "relayedendpoints.h"

#include "control/authorization.h"
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
    std::int64_t sequence = 0; //!< Increases with each announcement of one incarnation.
};

/*! \brief Dependencies of ControlService. All of them must outlive the service. */
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
    std::string linkAddress;   //!< Address to which entry processes and control processes connect.
    std::string listenAddress; //!< Address on which this process accepts these connections.
    Execution::LedgerTiming timing;
    //! Orders per second that the provider of hosts accepts from all processes together.
    double hostOrdersPerS = 0;
    Accounts::RateTerms accountRates = {};
    AsyncNet::FrameServerLimits linkLimits = {};
};

/*!
    \brief Service of a control process. Must be used from one event loop.

    Serves requests while this process is the leader, and otherwise replies with the address of the
    leader. Also relays orders of a leader in another control process.
*/
class ControlService
{
public:
    ControlService(ControlParts parts, ControlOptions options);
    ~ControlService();

    auto start() -> Utils::Result<void>;
    /*! \brief Ends the leader session. From then on this process acts as one that does not lead. */
    auto stop() -> void;
    /*! \brief Must be called on the event loop after the log has applied an entry. */
    auto stateChanged() -> void;

    auto leads() const -> bool;
    /*! \brief Returns the port on which entry processes and control processes connect. */
    auto linkPort() const -> int;
    /*! \brief Returns the link address of the leader, or an empty string if none is known. */
    auto leaderAddress() const -> std::string;

    auto announce(Announcement announcement) -> AsyncNet::Task<Outcome>;
    /*!
        \brief Marks an endpoint as draining and as shutting down.

        A \a bornMs of 0 matches any incarnation.
    */
    auto leave(std::string endpoint, std::int64_t bornMs) -> AsyncNet::Task<Outcome>;
    auto putConfiguration(Control::Configuration configuration) -> AsyncNet::Task<Outcome>;
    /*!
        \brief Returns the document of the newest configuration.

        Returns std::nullopt if there is none, or if this process cannot confirm that it leads.
    */
    auto readConfiguration() -> AsyncNet::Task<std::optional<std::string>>;
    auto startWave(Control::Wave wave) -> AsyncNet::Task<Outcome>;
    /*!
        \brief Returns whether wave \a number is done.

        Returns std::nullopt if the wave is not known, or if this process does not lead.
    */
    auto isWaveDone(std::int64_t number) -> AsyncNet::Task<std::optional<bool>>;

private:
    struct CheckedCaller
    {
        Control::Authorization caller;
        std::optional<Wire::ControlReply> refusal; //!< None if the request may be served.
    };

    auto updateRelays() -> void;
    auto watchLeadership() -> AsyncNet::Task<void>;
    auto beginSession(std::uint64_t term) -> AsyncNet::Task<void>;
    auto handle(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>;
    auto hello(const Wire::ControlRequest &request) -> Wire::ControlReply;
    auto checkCaller(const Wire::ControlRequest &request) -> CheckedCaller;
    /*! \brief Returns true if a majority has confirmed lately that the session's term goes on. */
    auto isLeadershipProven() const -> bool;
    auto recordRefusedKey(const Wire::ControlRequest &request, std::string_view reason) -> void;
    auto submitJob(Wire::ControlRequest request, Control::Authorization caller)
        -> AsyncNet::Task<Wire::ControlReply>;
    auto jobState(const Wire::ControlRequest &request, const Control::Authorization &caller)
        -> Wire::ControlReply;
    auto cancel(Wire::ControlRequest request, Control::Authorization caller)
        -> AsyncNet::Task<Wire::ControlReply>;
    auto countWaiting(const Wire::ControlRequest &request) -> Wire::ControlReply;
    auto awaitConfiguration(Wire::ControlRequest request) -> AsyncNet::Task<Wire::ControlReply>;
    /*! \brief Returns the update from \a version as CBOR, or an empty string if none is newer. */
    auto routesNewerThan(std::int64_t version) -> std::string;
    auto countWaitingJobs() -> void;
    auto notLeader() const -> Wire::ControlReply;
    auto replyFor(Execution::CommitResult result) const -> Wire::ControlReply;
    auto logLeaderAddress() const -> std::string;
    auto knownMembers() const -> std::vector<std::string>;
    auto commit(Control::Command command) -> AsyncNet::Task<Execution::CommitResult>;
    /*! \brief Commits what \a caller may do, in the term alone in which its key was checked. */
    auto commitFor(const Control::Authorization &caller, Control::Command command)
        -> AsyncNet::Task<Execution::CommitResult>;
    /*!
        \brief Commits a command without effect.

        After success, all entries that any leader committed before the command are applied here.
    */
    auto commitNoOp() -> AsyncNet::Task<Execution::CommitResult>;
    auto logConfigurationRead(const std::optional<std::string> &document,
                              std::string_view refusal,
                              Utils::Instant started) -> void;
    auto session() const -> Execution::LeaderSession *;
    /*!
        \brief Removes other endpoints and incarnations at the address of \a record.

        Returns false if a newer incarnation is known at that address.
    */
    auto removeReplacedIncarnations(const Control::EndpointRecord &record) -> AsyncNet::Task<bool>;

    ControlParts m_parts;
    ControlOptions m_options;
    Committer m_committer;
    ProvenLeadership m_leadership;
    OrderRelay m_relay; //!< Executes the orders of a leader in another control process.
    RelayedEndpoints m_endpoints;
    AsyncNet::FrameServer m_server;
    std::shared_ptr<Execution::LeaderSession> m_session;
    std::uint64_t m_lastSessionTerm = 0; //!< 0 before the first session of this process.
    //! Sequence number of the last announcement of each incarnation.
    std::map<Control::EndpointIncarnation, std::int64_t> m_sequences;
    Control::CallerRoutesHistory m_routes;
    std::map<std::int64_t, std::string> m_encodedUpdates; //!< Updates by base version.
    std::int64_t m_encodedVersion = 0;                    //!< Version after these updates.
    AsyncNet::Signal m_configurationChanged;
    std::map<std::string, std::int64_t> m_waitingJobs; //!< Unstarted jobs by queue.
    Utils::Instant m_waitingJobsCountedAt;
    Utils::LogBudget m_submissionLogBudget;
    Utils::LogBudget m_readLines;
    Utils::LogBudget m_refusedReadLines;
    Utils::LogBudget m_refusedKeyLines;
    std::int64_t m_notifiedVersion = 0;
    Utils::Instant m_relaysUpdatedAt;
    bool m_stopped = false;
};

} // namespace Service
