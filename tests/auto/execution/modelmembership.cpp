#include "modelmembership.h"

#include "control/removedendpoints.h"

#include <algorithm>

namespace ExecutionTest {

ModelMembership::ModelMembership(ModelLog &log)
    : m_log(log)
{}

auto ModelMembership::use(const std::shared_ptr<ModelLeader> &leader) -> void
{
    m_leader = leader;
    m_sequences.clear();
}

auto ModelMembership::announce(const Control::EndpointRecord &record, std::int64_t sequence) -> void
{
    if (!leads())
        return;
    auto &known = m_sequences[record.incarnation];
    if (sequence <= known)
        return;
    known = sequence;
    if (!isNew(record) || isStaleAtAddress(record))
        return;
    std::vector<Control::Command> commands;
    for (const auto &incarnation : findReplaced(record)) {
        commands.emplace_back().removeEndpoint = incarnation;
        m_leader->endpointReplaced(incarnation);
    }
    if (commands.empty()) {
        add(record);
        return;
    }
    // The endpoint is added even if the commit of the removals fails.
    m_log.commit(std::move(commands), [this, record](bool) { add(record); });
}

auto ModelMembership::isNew(const Control::EndpointRecord &record) const -> bool
{
    const auto found = m_log.state().endpoints.find(record.incarnation.id);
    if (found == m_log.state().endpoints.end())
        return true;
    const auto &known = found->second.record;
    if (known.incarnation.bornMs > record.incarnation.bornMs)
        return false;
    const auto same = known.incarnation == record.incarnation && known.address == record.address
                      && (known.draining || !record.draining);
    return !same;
}

auto ModelMembership::isStaleAtAddress(const Control::EndpointRecord &record) const -> bool
{
    return std::ranges::any_of(m_log.state().endpoints, [&](const auto &item) {
        const auto &known = item.second.record;
        return known.address == record.address && known.incarnation != record.incarnation
               && known.incarnation.bornMs > record.incarnation.bornMs;
    });
}

auto ModelMembership::findReplaced(const Control::EndpointRecord &record) const
    -> std::vector<Control::EndpointIncarnation>
{
    std::vector<Control::EndpointIncarnation> replaced;
    for (const auto &[id, known] : m_log.state().endpoints) {
        if (known.record.address == record.address
            && known.record.incarnation != record.incarnation)
            replaced.push_back(known.record.incarnation);
    }
    return replaced;
}

auto ModelMembership::add(const Control::EndpointRecord &record) -> void
{
    if (!leads())
        return;
    m_log.commit(Control::commandsToAdd(m_log.state(), record), [this, record](bool committed) {
        if (committed && leads())
            takeOver(record.incarnation);
        else
            m_sequences.erase(record.incarnation);
    });
}

// The incarnation may have been removed or replaced since the commit.
auto ModelMembership::takeOver(const Control::EndpointIncarnation &incarnation) -> void
{
    if (const auto *known = Control::findEndpoint(m_log.state(), incarnation))
        m_leader->addEndpoint(*known);
}

auto ModelMembership::leave(const Control::EndpointIncarnation &incarnation) -> void
{
    if (!leads())
        return;
    const auto *known = Control::findEndpoint(m_log.state(), incarnation);
    if (known == nullptr)
        return;
    Control::Command command;
    command.addEndpoint = known->record;
    command.addEndpoint->draining = true;
    m_log.commit({command}, [this, incarnation](bool) {
        if (leads())
            m_leader->markEndpointLeaving(incarnation);
    });
}

} // namespace ExecutionTest
