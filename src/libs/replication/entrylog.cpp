#include "entrylog.h"

#include <algorithm>

namespace Replication::Internal {

auto EntryLog::reset(Revision revision, std::uint64_t term) -> void
{
    m_entries.clear();
    m_baseRevision = revision;
    m_baseTerm = term;
}

auto EntryLog::append(Entry entry) -> void
{
    m_entries.push_back(std::move(entry));
}

auto EntryLog::truncateFrom(Revision revision) -> void
{
    if (revision <= lastRevision())
        m_entries.resize(revision - m_baseRevision - 1);
}

auto EntryLog::dropThrough(Revision revision) -> void
{
    while (m_baseRevision < revision && !m_entries.empty()) {
        m_baseTerm = m_entries.front().term;
        ++m_baseRevision;
        m_entries.pop_front();
    }
}

auto EntryLog::lastTerm() const -> std::uint64_t
{
    return m_entries.empty() ? m_baseTerm : m_entries.back().term;
}

auto EntryLog::termAt(Revision revision) const -> std::optional<std::uint64_t>
{
    if (revision == m_baseRevision)
        return m_baseTerm;
    if (revision < m_baseRevision || revision > lastRevision())
        return std::nullopt;
    return m_entries[revision - m_baseRevision - 1].term;
}

auto EntryLog::slice(Revision after, Revision through, std::uint64_t bytes) const
    -> std::vector<Entry>
{
    std::vector<Entry> entries;
    std::uint64_t total = 0;
    const auto last = std::min(through, lastRevision());
    for (auto revision = std::max(after, m_baseRevision) + 1; revision <= last; ++revision) {
        const auto &entry = m_entries[revision - m_baseRevision - 1];
        total += entry.payload.size();
        if (!entries.empty() && total > bytes)
            break;
        entries.push_back(entry);
    }
    return entries;
}

} // namespace Replication::Internal
