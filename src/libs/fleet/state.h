#pragma once

#include "claimtable.h"
#include "commands.h"
#include "disruptionledger.h"
#include "jobtable.h"
#include "releasetable.h"
#include "resulttable.h"

#include <deque>
#include <map>

namespace Fleet {

/*!
    \brief The fleet's state, changed only by commands.

    Commands are applied deterministically: the same commands in the same order give the same
    state on every process. The class is not thread-safe.
*/
class State
{
public:
    /*! \brief Maximum number of records in the audit trail; the oldest are removed. */
    static constexpr std::size_t maximumAuditRecords = 5000;

    /*!
        \brief Applies \a command and returns its result.

        A resent command id gets its first result, if that is stored. Command time never goes
        back: a command with an earlier time is applied at the latest time seen.
    */
    auto apply(Command command, Revision revision) -> CommandResult;

    auto contracts() const -> const std::map<std::string, Contract> & { return m_contracts; }
    auto pools() const -> const std::map<std::string, Pool> & { return m_pools; }
    auto hosts() const -> const std::map<std::string, Host> & { return m_hosts; }
    auto moves() const -> const std::map<std::string, Move> & { return m_moves; }
    auto waves() const -> const std::map<std::string, Wave> & { return m_waves; }
    auto ledger() const -> const DisruptionLedger & { return m_ledger; }
    auto autonomy() const -> const Autonomy & { return m_autonomy; }
    auto audit() const -> const std::vector<AuditRecord> & { return m_audit; }
    auto claims() const -> const ClaimTable & { return m_claims; }
    auto findClaim(const std::string &customer, const std::string &key) const
        -> const RequestClaim *;
    /*! \brief Returns the state of \a claim, which is Unknown once its owner is lost. */
    auto stateOf(const RequestClaim &claim) const -> ClaimState;
    auto jobs() const -> const JobTable & { return m_jobs; }
    auto processes() const -> const ProcessTable & { return m_processes; }
    auto releases() const -> const ReleaseTable & { return m_releases; }
    auto results() const -> const ResultTable & { return m_results; }
    /*! \brief Returns the latest time of all commands applied so far. */
    auto commandTimeMs() const -> WallTimeMs { return m_timeMs; }
    auto findProcess(const std::string &process) const -> const ProcessRecord *;
    auto findContract(const std::string &customer) const -> const Contract *;
    auto findHost(const std::string &host) const -> const Host *;
    auto findMove(const std::string &move) const -> const Move *;
    /*! \brief Fails with Refused if a contract forbids the stop of \a move at \a nowMs. */
    auto checkGrants(const Move &move, WallTimeMs nowMs) const -> Utils::Result<void>;

    template <typename Archive>
    friend auto describe(Archive &archive, State &state) -> void
    {
        archive.optional("contracts", state.m_contracts);
        archive.optional("pools", state.m_pools);
        archive.optional("hosts", state.m_hosts);
        archive.optional("moves", state.m_moves);
        archive.optional("waves", state.m_waves);
        archive.optional("ledger", state.m_ledger);
        archive.optional("autonomy", state.m_autonomy);
        archive.optional("claims", state.m_claims);
        archive.optional("audit", state.m_audit);
        archive.optional("results", state.m_results);
        archive.optional("jobs", state.m_jobs);
        archive.optional("processes", state.m_processes);
        archive.optional("releases", state.m_releases);
        archive.optional("time_ms", state.m_timeMs);
    }

private:
    // The change that a handler made, for the audit trail and the result.
    struct Change
    {
        std::string subject;
        std::string customer;
        std::string host;
        Utils::Json before;
        Utils::Json after;
        bool audited = true;
    };
    struct Context
    {
        const Command &command;
        Revision revision;
    };

    auto run(const PutContract &body, const Context &context) -> Utils::Result<Change>;
    auto run(const PutPool &body, const Context &context) -> Utils::Result<Change>;
    auto run(const RegisterHost &body, const Context &context) -> Utils::Result<Change>;
    auto run(const ProposeMove &body, const Context &context) -> Utils::Result<Change>;
    auto run(const DecideMove &body, const Context &context) -> Utils::Result<Change>;
    auto run(const AdvanceMove &body, const Context &context) -> Utils::Result<Change>;
    auto run(const OverrideMove &body, const Context &context) -> Utils::Result<Change>;
    auto run(const StartWave &body, const Context &context) -> Utils::Result<Change>;
    auto run(const UpdateWave &body, const Context &context) -> Utils::Result<Change>;
    auto run(const SetAutonomy &body, const Context &context) -> Utils::Result<Change>;
    auto run(const ReportHost &body, const Context &context) -> Utils::Result<Change>;
    auto run(const ClaimRequest &body, const Context &context) -> Utils::Result<Change>;
    auto run(const SettleClaim &body, const Context &context) -> Utils::Result<Change>;

    auto run(const ExpireClaims &body, const Context &context) -> Utils::Result<Change>;
    auto run(const RegisterProcess &body, const Context &context) -> Utils::Result<Change>;
    auto run(const RetireProcess &body, const Context &context) -> Utils::Result<Change>;
    auto run(const ReleaseHost &body, const Context &context) -> Utils::Result<Change>;
    auto run(const OverrideRelease &body, const Context &context) -> Utils::Result<Change>;

    auto run(const SubmitJob &body, const Context &context) -> Utils::Result<Change>;
    auto run(const StartJob &body, const Context &context) -> Utils::Result<Change>;
    auto run(const CheckpointJob &body, const Context &context) -> Utils::Result<Change>;
    auto run(const FinishJob &body, const Context &context) -> Utils::Result<Change>;
    auto run(const CancelJob &body, const Context &context) -> Utils::Result<Change>;
    auto run(const ResolveJob &body, const Context &context) -> Utils::Result<Change>;
    auto run(const ExpireJobs &body, const Context &context) -> Utils::Result<Change>;

    auto applyNew(const Command &command, Revision revision) -> CommandResult;
    auto drainingMove(const std::string &id) -> Utils::Result<Move *>;
    auto endDrain(const Move &move, const AdvanceMove &body, const Context &context)
        -> Utils::Result<void>;
    auto createPool(const std::string &pool, Revision revision) -> void;
    auto poolOfService(std::string_view service) const -> const std::string *;
    auto startDrain(Move &move, Host &host, const Context &context) -> Utils::Result<void>;
    auto enterState(Move &move, Host &host, MoveState to, const Context &context) -> void;
    auto endMove(Move &move, Host &host, const Context &context) -> void;
    auto updateWaveOf(const Move &move, const Context &context) -> void;
    auto failHost(Host &host, WallTimeMs sinceMs, const Context &context) -> void;
    auto removeOldestClosedMove() -> void;
    auto pruneCharges(WallTimeMs nowMs) -> void;
    auto recordAudit(const Change &change, const Context &context) -> void;

    std::map<std::string, Contract> m_contracts;
    std::map<std::string, Pool> m_pools;
    std::map<std::string, Host> m_hosts;
    std::map<std::string, Move> m_moves;
    std::map<std::string, Wave> m_waves;
    DisruptionLedger m_ledger;
    Autonomy m_autonomy;
    ClaimTable m_claims;
    std::vector<AuditRecord> m_audit;
    JobTable m_jobs;
    ResultTable m_results;
    ProcessTable m_processes;
    ReleaseTable m_releases;
    WallTimeMs m_timeMs = 0;
};

} // namespace Fleet
