#pragma once

#include "contracttypes.h"
#include "replica.h"

#include "store/filesystem.h"

#include <mutex>
#include <span>

namespace Fleet {

/*!
    \brief The audit trail on disk, one JSON record a line. Thread-safe.

    The state keeps only the latest records; the file keeps all records that update() has found
    in the replica. The file may be moved away while the process runs; the next update then
    creates a new file.
*/
class AuditFile
{
public:
    AuditFile(Store::FileSystem &files, std::string folder);

    /*! \brief Reads the last revision in the file and removes an incomplete last line. */
    auto open() -> Utils::Result<void>;
    /*! \brief Appends the records of \a replica after the last revision and syncs the file. */
    auto update(const Replica &replica) -> Utils::Result<void>;
    /*! \brief Returns the records from revision \a since up to, but not including, \a before. */
    auto read(Revision since, Revision before) const -> Utils::Result<std::vector<AuditRecord>>;

private:
    auto append(std::span<const AuditRecord> records) -> Utils::Result<void>;
    auto path() const -> std::string;

    Store::FileSystem &m_files;
    std::string m_folder;
    mutable std::mutex m_mutex;
    Revision m_lastRevision = 0;
    bool m_open = false;
};

} // namespace Fleet
