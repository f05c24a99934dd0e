#pragma once

#include "movetypes.h"

/*! Commands that change moves, maintenance waves and autonomy levels. */
namespace Fleet {

struct ProposeMove
{
    static constexpr std::string_view typeName = "propose-move";
    Move move;            //!< If the id is empty, State derives one from the revision.
    bool approve = false; //!< Whether the proposing operator also approves the move.
};

struct DecideMove
{
    static constexpr std::string_view typeName = "decide-move";
    std::string move;
    bool approve = false;
    bool byPolicy = false; //!< Refused if the autonomy level of the pool is Manual.
};

/*!
    \brief Advances a move to its next state, or updates its details if the state stays.

    It is refused where a rule or the disruption budget forbids the step.
*/
struct AdvanceMove
{
    static constexpr std::string_view typeName = "advance-move";
    std::string move;
    MoveState from = MoveState::Approved;
    MoveState to = MoveState::Draining;
    std::string detail;
    bool needsOperator = false;
    std::int64_t jobMoves = 0;
};

enum class OverrideAction {
    CancelMove,  //!< Ends a move before its host is stopped.
    ExtendDrain, //!< Starts the time of a drain anew, so that its full deadline applies again.
};

auto enumNames(OverrideAction) -> std::span<const Utils::EnumName<OverrideAction>>;

/*! \brief An operator's decision about a move in progress. */
struct OverrideMove
{
    static constexpr std::string_view typeName = "override-move";
    std::string move;
    OverrideAction action = OverrideAction::CancelMove;
    std::string reason;
};

struct StartWave
{
    static constexpr std::string_view typeName = "start-wave";
    Wave wave; //!< If it names no hosts, it covers all hosts of the pool.
};

struct UpdateWave
{
    static constexpr std::string_view typeName = "update-wave";
    std::string wave;
    std::optional<bool> paused;
    std::vector<std::string> unplacedJobs; //!< Jobs to add to the unplaced jobs of the wave.
};

struct SetAutonomy
{
    static constexpr std::string_view typeName = "set-autonomy";
    AutonomyLevel level = AutonomyLevel::Manual;
    std::string pool; //!< If empty, the default for all pools is set.
};

template <typename Archive>
auto describe(Archive &archive, ProposeMove &command) -> void
{
    archive.required("move", command.move);
    archive.optional("approve", command.approve);
}

template <typename Archive>
auto describe(Archive &archive, DecideMove &command) -> void
{
    archive.required("move", command.move);
    archive.required("approve", command.approve);
    archive.optional("by_policy", command.byPolicy);
}

template <typename Archive>
auto describe(Archive &archive, AdvanceMove &command) -> void
{
    archive.required("move", command.move);
    archive.required("from", command.from);
    archive.required("to", command.to);
    archive.optional("detail", command.detail);
    archive.optional("needs_operator", command.needsOperator);
    archive.optional("job_moves", command.jobMoves);
}

template <typename Archive>
auto describe(Archive &archive, OverrideMove &command) -> void
{
    archive.required("move", command.move);
    archive.required("action", command.action);
    archive.optional("reason", command.reason);
}

template <typename Archive>
auto describe(Archive &archive, StartWave &command) -> void
{
    archive.required("wave", command.wave);
}

template <typename Archive>
auto describe(Archive &archive, UpdateWave &command) -> void
{
    archive.required("wave", command.wave);
    archive.optional("paused", command.paused);
    archive.optional("unplaced_jobs", command.unplacedJobs);
}

template <typename Archive>
auto describe(Archive &archive, SetAutonomy &command) -> void
{
    archive.required("level", command.level);
    archive.optional("pool", command.pool);
}

} // namespace Fleet
