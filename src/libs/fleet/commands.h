#pragma once

#include "claimcommands.h"
#include "commandresult.h"
#include "contractcommands.h"
#include "jobcommands.h"
#include "movecommands.h"
#include "releasecommands.h"
#include "types.h"

#include <variant>

/*! All commands, and what every command carries. */
namespace Fleet {

using CommandBody = std::variant<PutContract,
                                 PutPool,
                                 RegisterHost,
                                 ProposeMove,
                                 DecideMove,
                                 AdvanceMove,
                                 OverrideMove,
                                 StartWave,
                                 UpdateWave,
                                 SetAutonomy,
                                 ReportHost,
                                 ClaimRequest,
                                 SettleClaim,
                                 ExpireClaims,
                                 RegisterProcess,
                                 RetireProcess,
                                 ReleaseHost,
                                 OverrideRelease,
                                 SubmitJob,
                                 StartJob,
                                 CheckpointJob,
                                 FinishJob,
                                 CancelJob,
                                 ResolveJob,
                                 ExpireJobs>;

/*! \brief A command with what every command carries. */
struct Command
{
    std::string id; //!< A resend with the same id gets the first answer.
    std::string actor;
    std::string cause;
    WallTimeMs timeMs = 0;
    std::optional<Revision>
        expectedRevision; //!< Revision of the object as the operator last saw it.
    CommandBody body;
};

/*! \brief Returns the stable name of a command's type. */
auto commandTypeName(const CommandBody &body) -> std::string_view;

/*! \brief Returns false for frequent commands that are idempotent by their own fields. */
auto keepsResult(const CommandBody &body) -> bool;
/*! \brief Returns a digest of the type and content of \a body. */
auto digestOf(const CommandBody &body) -> std::string;

auto encodeCommand(const Command &command) -> std::string;
auto decodeCommand(std::string_view bytes) -> Utils::Result<Command>;

} // namespace Fleet
