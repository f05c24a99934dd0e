#pragma once

#include "httpserver.h"

#include "fleet/auditfile.h"
#include "fleet/gateway.h"
#include "fleet/replica.h"
#include "planning/demand.h"
#include "routing/dispatcher.h"
#include "settings/settings.h"

namespace Entry {

/*! \brief Dependencies of OperatorInterface. */
struct OperatorContext
{
    const Settings::Settings &settings;
    const Fleet::Replica &replica;
    Fleet::Gateway &gateway;
    Replication::ReplicatedLog &log;
    Utils::IdGenerator &ids;
    const Routing::Dispatcher *dispatcher = nullptr; //!< Source of /v1/events; may be nullptr.
    const Planning::DemandSource *demand = nullptr;  //!< If nullptr, plans use guarantees only.
    const Fleet::AuditFile *auditFile = nullptr;     //!< Source of older audit records, or nullptr.
};

/*!
    \brief Serves the requests of operators for contracts, pools, hosts, moves, maintenance,
    autonomy, the audit trail and the status.
*/
class OperatorInterface
{
public:
    OperatorInterface(HttpServer &server, OperatorContext context);

private:
    using Handler = auto(OperatorInterface::*)(const httplib::Request &, const std::string &)
                        -> Utils::Result<Utils::Json>;
    struct Route
    {
        std::string_view method;
        const char *pattern;
        Handler handler;
    };
    static auto routeTable() -> std::span<const Route>;

    auto handle(const Route &route, const httplib::Request &http, httplib::Response &response)
        -> void;
    auto authenticate(const httplib::Request &http) const -> Utils::Result<std::string>;
    auto execute(const httplib::Request &http, const std::string &actor, Fleet::CommandBody body)
        -> Utils::Result<Utils::Json>;
    // Status of the leader, which covers all processes, or of this process if no leader replies.
    struct LeaderView
    {
        Replication::LogStatus status;
        bool fromLeader = false;
    };
    auto leaderView() const -> LeaderView;
    auto waitUntilApplied(Fleet::Revision revision) const -> Utils::Json;

    auto putContract(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto listContracts(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto showContract(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto putPool(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto replaceVoter(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto listPools(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto listHosts(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto listMoves(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto decideMove(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto startMaintenance(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto listMaintenance(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto putAutonomy(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto listAudit(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto listEvents(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto showStatus(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;

    auto showHost(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto pauseMaintenance(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto overrideMove(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto explainWaiting(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto explainSubject(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto showPlan(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;
    auto showAutonomy(const httplib::Request &http, const std::string &actor)
        -> Utils::Result<Utils::Json>;

    OperatorContext m_context;
};

/*! \brief Parses a revision given in a header or a query parameter. */
auto parseRevision(std::string_view text) -> Utils::Result<Fleet::Revision>;

} // namespace Entry
