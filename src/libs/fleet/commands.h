#pragma once

#include "claimcommands.h"
#include "contractcommands.h"
#include "movecommands.h"
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
                                 StartWave,
                                 UpdateWave,
                                 SetAutonomy,
                                 ReportHost,
                                 ClaimRequest,
                                 SettleClaim>;

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

/*! \brief The answer to a command; kept so that a resend gets the same one. */
struct CommandResult
{
    bool accepted = true;
    std::string errorType; //!< Empty if accepted.
    std::string message;
    std::string details;
    Revision revision = 0;
    std::string subject;
    Utils::Json value; //!< The object after the command.
};

/*! \brief Returns the stable name of a command's type. */
auto commandTypeName(const CommandBody &body) -> std::string_view;

auto encodeCommand(const Command &command) -> std::string;
auto decodeCommand(std::string_view bytes) -> Utils::Result<Command>;

template <typename Archive>
auto describe(Archive &archive, CommandResult &result) -> void
{
    archive.required("accepted", result.accepted);
    archive.optional("error_type", result.errorType);
    archive.optional("message", result.message);
    archive.optional("details", result.details);
    archive.optional("revision", result.revision);
    archive.optional("subject", result.subject);
    archive.optional("value", result.value);
}

} // namespace Fleet
