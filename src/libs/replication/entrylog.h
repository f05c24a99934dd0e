#pragma once

#include "replicatedlog.h"

#include <deque>
#include <optional>

namespace Replication::Internal {

/*! \brief The entries that a process keeps in memory, after a base revision. Not thread-safe. */
class EntryLog
{
public:
    /*! \brief Drops all entries and continues after \a revision of \a term. */
    auto reset(Revision revision, std::uint64_t term) -> void;
    auto append(Entry entry) -> void;
    /*! \brief Removes all entries from \a revision on. */
    auto truncateFrom(Revision revision) -> void;
    /*! \brief Removes the entries up to \a revision, which becomes the base. */
    auto dropThrough(Revision revision) -> void;

    /*! \brief The revision before the first kept entry. */
    auto baseRevision() const -> Revision { return m_baseRevision; }
    auto lastRevision() const -> Revision { return m_baseRevision + m_entries.size(); }
    auto lastTerm() const -> std::uint64_t;
    /*! \brief Returns the term of \a revision if it is the base or kept. */
    auto termAt(Revision revision) const -> std::optional<std::uint64_t>;
    /*! \brief Returns entries after \a after up to \a through, at least one, within \a bytes. */
    auto slice(Revision after, Revision through, std::uint64_t bytes) const -> std::vector<Entry>;

private:
    Revision m_baseRevision = 0;
    std::uint64_t m_baseTerm = 0;
    std::deque<Entry> m_entries;
};

} // namespace Replication::Internal
