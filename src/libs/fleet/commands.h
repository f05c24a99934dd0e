#pragma once

#include "claimcommands.h"
#include "commandresult.h"
#include "contractcommands.h"
#include "jobcommands.h"
#include "movecommands.h"
#include "releasecommands.h"
#include "types.h"

#include <variant>

/*! The variant of all command types and the fields that all commands have. */
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

/*! \brief A command body with the fields that all commands have. */
struct Command
{
    std::string id; //!< A resend with the same id gets the first result.
    std::string actor;
    std::string cause;
    WallTimeMs timeMs = 0;
    //! Revision of the object that the operator last saw; not checked if not set.
    std::optional<Revision> expectedRevision;
    CommandBody body;
};

/*! \brief Returns the stable name of a command's type. */
auto commandTypeName(const CommandBody &body) -> std::string_view;

/*!
    \brief Returns whether the result of \a body is stored for resends.

    It is not stored for frequent commands that their own fields make idempotent.
*/
auto keepsResult(const CommandBody &body) -> bool;
/*! \brief Returns a digest of the type and content of \a body. */
auto digestOf(const CommandBody &body) -> std::string;

auto encodeCommand(const Command &command) -> std::string;
auto decodeCommand(std::string_view bytes) -> Utils::Result<Command>;

} // namespace Fleet
