#pragma once

#include "commands.h"

#include "utils/clock.h"
#include "utils/ids.h"

namespace Fleet {

/*! \brief Who gives a command and why. */
struct CommandOrigin
{
    std::string actor;
    std::string cause;
    std::string commandId; //!< Empty: a new one is made.
    std::optional<Revision> expectedRevision;
    std::optional<Utils::Milliseconds> timeout = {}; //!< Unset: the gateway's own.
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
        \brief Commits \a body and returns its result once it is applied here.

        A refused command gives the refusal's error type. NoQuorum and NotLeader mean that it
        was not committed; OutcomeUnknown that it may have been.
    */
    auto execute(CommandBody body, CommandOrigin origin) -> Utils::Result<CommandResult>;

private:
    Replication::ReplicatedLog &m_log;
    const Utils::Clock &m_clock;
    Utils::IdGenerator &m_ids;
    Utils::Milliseconds m_timeout;
};

} // namespace Fleet
