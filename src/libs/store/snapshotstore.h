#pragma once

#include "filesystem.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Store {

/*! \brief A snapshot of the whole state at one revision. */
struct Snapshot
{
    std::uint64_t revision = 0;
    std::uint64_t term = 0;
    std::string voters; //!< Encoded voter set at the revision.
    std::string state;
};

/*! \brief Stores the newest snapshot in a folder. Not thread-safe. */
class SnapshotStore
{
public:
    SnapshotStore(FileSystem &files, std::string folder);

    /*!
        \brief Returns the newest snapshot, or an empty optional if there is none.

        Fails with Corruption if the snapshot is damaged.
    */
    auto load() -> Utils::Result<std::optional<Snapshot>>;
    /*! \brief Atomically writes \a snapshot and removes older ones. */
    auto save(const Snapshot &snapshot) -> Utils::Result<void>;

private:
    auto removeOlder(const std::string &newest) -> Utils::Result<void>;

    FileSystem &m_files;
    std::string m_folder;
};

} // namespace Store
