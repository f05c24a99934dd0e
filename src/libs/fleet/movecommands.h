#pragma once

#include "movetypes.h"

/*! Commands on what movetypes.h defines. */
namespace Fleet {

struct ProposeMove
{
    static constexpr std::string_view typeName = "propose-move";
    Move move;
};

struct DecideMove
{
    static constexpr std::string_view typeName = "decide-move";
    std::string move;
    bool approve = false;
};

/*! \brief Takes a move one step on; refused where a rule or the budget forbids it. */
struct AdvanceMove
{
    static constexpr std::string_view typeName = "advance-move";
    std::string move;
    MoveState from = MoveState::Approved;
    MoveState to = MoveState::Draining;
    std::string detail;
};

struct StartWave
{
    static constexpr std::string_view typeName = "start-wave";
    Wave wave; //!< Without hosts: all hosts of the pool.
};

struct UpdateWave
{
    static constexpr std::string_view typeName = "update-wave";
    std::string wave;
    std::optional<bool> paused;
    std::optional<std::string> finishedHost;
};

struct SetAutonomy
{
    static constexpr std::string_view typeName = "set-autonomy";
    AutonomyLevel level = AutonomyLevel::Manual;
    std::string pool; //!< Empty: the default for all pools.
};

template <typename Archive>
auto describe(Archive &archive, ProposeMove &command) -> void
{
    archive.required("move", command.move);
}

template <typename Archive>
auto describe(Archive &archive, DecideMove &command) -> void
{
    archive.required("move", command.move);
    archive.required("approve", command.approve);
}

template <typename Archive>
auto describe(Archive &archive, AdvanceMove &command) -> void
{
    archive.required("move", command.move);
    archive.required("from", command.from);
    archive.required("to", command.to);
    archive.optional("detail", command.detail);
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
    archive.optional("finished_host", command.finishedHost);
}

template <typename Archive>
auto describe(Archive &archive, SetAutonomy &command) -> void
{
    archive.required("level", command.level);
    archive.optional("pool", command.pool);
}

} // namespace Fleet
