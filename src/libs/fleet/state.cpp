#include "state.h"

#include "statelookup.h"

#include <algorithm>

namespace Fleet {

using namespace Internal;

auto State::apply(const Command &command, Revision revision) -> CommandResult
{
    if (const auto *earlier = findIn(m_results, command.id))
        return *earlier;
    const Context context{command, revision};
    auto change = std::visit([&](const auto &body) { return run(body, context); }, command.body);
    CommandResult result;
    result.revision = revision;
    if (change) {
        result.subject = change.value().subject;
        result.value = change.value().after;
        if (change.value().audited)
            recordAudit(change.value(), context);
    } else {
        result.accepted = false;
        result.errorType = Utils::errorTypeName(change.error().type);
        result.message = change.error().message;
        result.details = change.error().details;
    }
    m_results[command.id] = result;
    return result;
}

auto State::recordAudit(const Change &change, const Context &context) -> void
{
    m_audit.push_back({context.revision,
                       context.command.timeMs,
                       context.command.actor,
                       context.command.cause,
                       std::string(commandTypeName(context.command.body)),
                       change.subject,
                       change.customer,
                       change.host,
                       change.before,
                       change.after});
}

auto State::findContract(const std::string &customer) const -> const Contract *
{
    return findIn(m_contracts, customer);
}

auto State::findHost(const std::string &host) const -> const Host *
{
    return findIn(m_hosts, host);
}

auto State::findMove(const std::string &move) const -> const Move *
{
    return findIn(m_moves, move);
}

} // namespace Fleet
