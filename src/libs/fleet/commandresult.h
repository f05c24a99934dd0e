#pragma once

#include "contracttypes.h"

namespace Fleet {

/*!
    \brief The result of a command.

    It is stored for a limited time, so that a resent command gets the same result. Command types
    that set resultKept to false are excepted.
*/
struct CommandResult
{
    bool accepted = true;
    std::string errorType; //!< Name of the error type; empty if the command was accepted.
    std::string message;
    std::string details;
    Revision revision = 0;
    std::string subject;
    Utils::Json value; //!< The changed object after the command.

    static auto refused(const Utils::Error &error, Revision revision) -> CommandResult;
};

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
