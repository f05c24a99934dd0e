#include "state.h"

#include "statelookup.h"

#include <algorithm>

namespace Fleet {

using namespace Internal;

auto State::apply(Command command, Revision revision) -> CommandResult
{
    m_timeMs = std::max(m_timeMs, command.timeMs);
    command.timeMs = m_timeMs;
    if (!keepsResult(command.body))
        return applyNew(command, revision);
    auto digest = digestOf(command.body);
    if (const auto *earlier = m_results.find(command.id)) {
        if (earlier->digest == digest)
            return earlier->result;
        const Utils::Error error{
            Utils::ErrorType::Mismatch, "the command id was used for another command", command.id};
        return CommandResult::refused(error, revision);
    }
    auto result = applyNew(command, revision);
    m_results.store(command.id, {result, std::move(digest), m_timeMs});
    return result;
}

auto State::applyNew(const Command &command, Revision revision) -> CommandResult
{
    const Context context{command, revision};
    auto change = std::visit([&](const auto &body) { return run(body, context); }, command.body);
    if (!change)
        return CommandResult::refused(change.error(), revision);
    if (change.value().audited)
        recordAudit(change.value(), context);
    CommandResult result;
    result.revision = revision;
    result.subject = std::move(change.value().subject);
    result.value = std::move(change.value().after);
    return result;
}

auto State::recordAudit(const Change &change, const Context &context) -> void
{
    // Removes a tenth of the records at once, so that not every insertion moves all others.
    constexpr auto dropStep = maximumAuditRecords / 10;
    if (m_audit.size() >= maximumAuditRecords)
        m_audit.erase(m_audit.begin(), m_audit.begin() + dropStep);
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
