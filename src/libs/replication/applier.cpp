#include "applier.h"

#include "utils/log.h"

namespace Replication::Internal {
namespace {

constexpr std::uint64_t snapshotPartBytes = 256 * 1024;

} // namespace

Applier::Applier(StateMachine &machine)
    : m_machine(machine)
{}

auto Applier::apply(const Entry &entry) -> std::string
{
    m_revision = entry.revision;
    m_term = entry.term;
    if (entry.kind == EntryKind::Command)
        return m_machine.apply(entry);
    if (auto voters = decodeVoters(entry.payload))
        m_voters = std::move(voters.value());
    else
        Utils::Log::error("replication",
                          "ignored a voter set that cannot be decoded",
                          {{"revision", entry.revision}});
    return m_machine.apply({entry.revision, entry.term, {}, entry.kind});
}

auto Applier::restore(const Store::Snapshot &snapshot) -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(voters, decodeVoters(snapshot.voters));
    BOOST_OUTCOME_TRY(m_machine.restore(snapshot.state, snapshot.revision));
    m_voters = std::move(voters);
    m_revision = snapshot.revision;
    m_term = snapshot.term;
    return Utils::success();
}

auto Applier::takeSnapshot() -> std::shared_ptr<const Store::Snapshot>
{
    const std::scoped_lock lock(m_mutex);
    return std::make_shared<const Store::Snapshot>(
        Store::Snapshot{m_revision, m_term, encodeVoters(m_voters), m_machine.snapshot()});
}

auto Applier::snapshotPart(Revision revision, std::uint64_t offset) -> SnapshotPart
{
    auto taken = revision == 0 ? takeSnapshot() : nullptr;
    const std::scoped_lock lock(m_mutex);
    if (taken)
        m_servedSnapshot = taken;
    if (!m_servedSnapshot || (revision != 0 && m_servedSnapshot->revision != revision))
        return {};
    const std::string_view state(m_servedSnapshot->state);
    if (offset > state.size())
        return {};
    const auto data = state.substr(offset, snapshotPartBytes);
    return {m_servedSnapshot, data, offset + data.size() == state.size()};
}

} // namespace Replication::Internal
