#pragma once

#include "contracttypes.h"

/*! Moves, maintenance waves, disruption grants and autonomy. */
namespace Fleet {

enum class MoveKind { Maintenance, Reassign };
enum class MoveState {
    Proposed,
    Approved,
    Draining,
    InMaintenance,
    Soaking,
    Done,
    Rejected,
    Expired,
    Failed,
};

auto enumNames(MoveKind) -> std::span<const Utils::EnumName<MoveKind>>;
auto enumNames(MoveState) -> std::span<const Utils::EnumName<MoveState>>;

/*! \brief A planned relocation or stop of one host, with its explanation. */
struct Move
{
    std::string id;
    MoveKind kind = MoveKind::Maintenance;
    MoveState state = MoveState::Proposed;
    std::string host;
    std::string fromPool;
    std::string toPool; //!< Equal to fromPool for maintenance.
    std::string wave;
    std::string reason;
    std::string cost;
    std::string rule;
    std::string alternative;
    std::string detail; //!< Reason for the current state.
    std::string decidedBy;
    std::int64_t worstCaseHostS = 0;
    std::int64_t assignmentEpoch = 0; //!< Assignment epoch of the host when the move was proposed.
    std::int64_t jobMoves = 0;        //!< Jobs that were placed on another host.
    bool needsOperator = false;       //!< Whether the drain exceeded its deadline.
    WallTimeMs createdMs = 0;
    WallTimeMs changedMs = 0;
    Revision revision = 0;

    auto isOpen() const -> bool;
};

/*! \brief Permission for one planned stop, which reserves its worst case in the budget. */
struct DisruptionGrant
{
    std::string move;
    std::string host;
    std::string pool;
    std::int64_t escrowHostS = 0;
    WallTimeMs grantedMs = 0;
};

/*! \brief A maintenance wave over the hosts of one pool. */
struct Wave
{
    std::string id;
    std::string pool;
    std::vector<std::string> hosts;        //!< Hosts still to be maintained.
    std::vector<std::string> finished;     //!< Hosts maintained in this wave.
    std::vector<std::string> failed;       //!< Hosts whose maintenance failed.
    std::vector<std::string> skipped;      //!< Hosts whose move was rejected or cancelled.
    std::vector<std::string> unplacedJobs; //!< Jobs that fit on no host maintained in this wave.
    std::int64_t recentFailures = 0; //!< Incremented by each failure, decremented by each success.
    bool paused = false;
    WallTimeMs startedMs = 0;
    WallTimeMs endedMs = 0; //!< Time of the end; 0 until no hosts are left.
    Revision revision = 0;

    auto isOpen() const -> bool { return endedMs == 0; }
};

enum class AutonomyLevel { Manual, Guarded, Full };

auto enumNames(AutonomyLevel) -> std::span<const Utils::EnumName<AutonomyLevel>>;

struct Autonomy
{
    AutonomyLevel level = AutonomyLevel::Manual;
    std::map<std::string, std::string> pools; //!< Names of the levels that pools have instead.

    auto levelFor(const std::string &pool) const -> AutonomyLevel;
};

template <typename Archive>
auto describe(Archive &archive, Move &move) -> void
{
    archive.required("id", move.id);
    archive.required("kind", move.kind);
    archive.optional("state", move.state);
    archive.required("host", move.host);
    archive.optional("from_pool", move.fromPool);
    archive.optional("to_pool", move.toPool);
    archive.optional("wave", move.wave);
    archive.optional("reason", move.reason);
    archive.optional("cost", move.cost);
    archive.optional("rule", move.rule);
    archive.optional("alternative", move.alternative);
    archive.optional("detail", move.detail);
    archive.optional("decided_by", move.decidedBy);
    archive.optional("worst_case_host_s", move.worstCaseHostS);
    archive.optional("assignment_epoch", move.assignmentEpoch);
    archive.optional("job_moves", move.jobMoves);
    archive.optional("needs_operator", move.needsOperator);
    archive.optional("created_ms", move.createdMs);
    archive.optional("changed_ms", move.changedMs);
    archive.optional("revision", move.revision);
}

template <typename Archive>
auto describe(Archive &archive, DisruptionGrant &grant) -> void
{
    archive.required("move", grant.move);
    archive.required("host", grant.host);
    archive.required("pool", grant.pool);
    archive.required("escrow_host_s", grant.escrowHostS);
    archive.required("granted_ms", grant.grantedMs);
}

template <typename Archive>
auto describe(Archive &archive, Wave &wave) -> void
{
    archive.required("id", wave.id);
    archive.required("pool", wave.pool);
    archive.optional("hosts", wave.hosts);
    archive.optional("finished", wave.finished);
    archive.optional("failed", wave.failed);
    archive.optional("skipped", wave.skipped);
    archive.optional("unplaced_jobs", wave.unplacedJobs);
    archive.optional("recent_failures", wave.recentFailures);
    archive.optional("paused", wave.paused);
    archive.optional("started_ms", wave.startedMs);
    archive.optional("ended_ms", wave.endedMs);
    archive.optional("revision", wave.revision);
}

template <typename Archive>
auto describe(Archive &archive, Autonomy &autonomy) -> void
{
    archive.required("level", autonomy.level);
    archive.optional("pools", autonomy.pools);
}

} // namespace Fleet
