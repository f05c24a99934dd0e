#pragma once

#include "replicatedlog.h"

#include <deque>
#include <optional>

namespace Replication::Internal {

/*! \brief The entries after a base revision that a process keeps in memory. Not thread-safe. */
class EntryLog
{
public:
    /*! \brief Removes all entries and makes \a revision, of \a term, the base. */
    auto reset(Revision revision, std::uint64_t term) -> void;
    auto append(Entry entry) -> void;
    /*! \brief Removes the entry at \a revision and all later ones. */
    auto truncateFrom(Revision revision) -> void;
    /*! \brief Removes the entries up to \a revision; the last one removed becomes the base. */
    auto dropThrough(Revision revision) -> void;

    /*! \brief Returns the revision before the first kept entry. */
    auto baseRevision() const -> Revision { return m_baseRevision; }
    auto lastRevision() const -> Revision { return m_baseRevision + m_entries.size(); }
    auto lastTerm() const -> std::uint64_t;
    /*!
        \brief Returns the term of \a revision, or std::nullopt if it is neither the base nor kept.
    */
    auto termAt(Revision revision) const -> std::optional<std::uint64_t>;
    /*!
        \brief Returns the kept entries after \a after and up to \a through.

        Stops before the payloads exceed \a bytes, but returns at least one entry if there is one.
    */
    auto slice(Revision after, Revision through, std::uint64_t bytes) const -> std::vector<Entry>;

private:
    Revision m_baseRevision = 0;
    std::uint64_t m_baseTerm = 0;
    std::deque<Entry> m_entries;
};

} // namespace Replication::Internal
