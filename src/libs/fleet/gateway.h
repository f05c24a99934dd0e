#pragma once

#include "commands.h"

#include "utils/clock.h"
#include "utils/ids.h"

namespace Fleet {

/*! \brief Who gives a command, why, and how it is submitted. */
struct CommandOrigin
{
    std::string actor;
    std::string cause;
    std::string commandId; //!< If empty, a new id is generated.
    std::optional<Revision> expectedRevision;
    std::optional<Utils::Milliseconds> timeout = {}; //!< If not set, the gateway's timeout applies.
};

/*! \brief Sends commands through the replicated log and returns their results. Thread-safe. */
class Gateway
{
public:
    Gateway(Replication::ReplicatedLog &log,
            const Utils::Clock &clock,
            Utils::IdGenerator &ids,
            Utils::Milliseconds timeout);

    /*!
        \brief Commits \a body and returns its result once this process has applied it.

        If the command is refused, the error has the type of the refusal. NoQuorum and NotLeader
        mean that the command was not committed, OutcomeUnknown that it may have been or may
        still be committed.
    */
    auto execute(CommandBody body, CommandOrigin origin) -> Utils::Result<CommandResult>;

private:
    Replication::ReplicatedLog &m_log;
    const Utils::Clock &m_clock;
    Utils::IdGenerator &m_ids;
    Utils::Milliseconds m_timeout;
};

} // namespace Fleet
