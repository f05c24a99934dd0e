#include "gateway.h"

#include "utils/cbor.h"

namespace Fleet {

Gateway::Gateway(Replication::ReplicatedLog &log,
                 const Utils::Clock &clock,
                 Utils::IdGenerator &ids,
                 Utils::Milliseconds timeout)
    : m_log(log)
    , m_clock(clock)
    , m_ids(ids)
    , m_timeout(timeout)
{}

auto Gateway::execute(CommandBody body, CommandOrigin origin) -> Utils::Result<CommandResult>
{
    Command command;
    command.id = origin.commandId.empty() ? m_ids.next("command") : std::move(origin.commandId);
    command.actor = std::move(origin.actor);
    command.cause = std::move(origin.cause);
    command.expectedRevision = origin.expectedRevision;
    command.timeMs = m_clock.wallTime();
    command.body = std::move(body);
    const auto timeout = origin.timeout.value_or(m_timeout);
    BOOST_OUTCOME_TRY(committed, m_log.submit(encodeCommand(command), timeout));
    BOOST_OUTCOME_TRY(result, Utils::fromCbor<CommandResult>(committed.reply));
    if (!result.accepted) {
        return Utils::failure(
            Utils::errorTypeFromName(result.errorType), result.message, result.details);
    }
    return result;
}

} // namespace Fleet
