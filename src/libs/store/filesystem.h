#pragma once

#include "utils/error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/*! Durable files of a state replica: the log's segments, snapshots and the vote. */
namespace Store {

/*! \brief An open file that is written at its end. */
class File
{
public:
    virtual ~File() = default;
    /*! \brief Appends all of \a bytes or fails; on failure a part may have been written. */
    virtual auto append(std::string_view bytes) -> Utils::Result<void> = 0;
    /*! \brief Returns once everything appended is on the disk. Must not be retried on failure. */
    virtual auto sync() -> Utils::Result<void> = 0;
    /*! \brief Cuts the file to \a size bytes. */
    virtual auto truncate(std::uint64_t size) -> Utils::Result<void> = 0;
};

/*! \brief The file operations that the store needs, so that tests can make them fail. */
class FileSystem
{
public:
    virtual ~FileSystem() = default;
    /*! \brief Creates \a folder and its parents if they do not exist. */
    virtual auto createFolder(const std::string &folder) -> Utils::Result<void> = 0;
    /*! \brief Returns the sorted names of the files in \a folder. */
    virtual auto list(const std::string &folder) -> Utils::Result<std::vector<std::string>> = 0;
    virtual auto read(const std::string &path) -> Utils::Result<std::string> = 0;
    /*! \brief Opens \a path for appending; creates it if it does not exist. */
    virtual auto open(const std::string &path) -> Utils::Result<std::unique_ptr<File>> = 0;
    virtual auto rename(const std::string &from, const std::string &to) -> Utils::Result<void> = 0;
    virtual auto remove(const std::string &path) -> Utils::Result<void> = 0;
    /*! \brief Makes creations, renames and removals in \a folder durable. */
    virtual auto syncFolder(const std::string &folder) -> Utils::Result<void> = 0;
};

/*! \brief Returns the machine's file system. */
auto posixFileSystem() -> FileSystem &;

/*! \brief Suffix of files that are not complete yet; the store removes them when it opens. */
inline constexpr std::string_view temporarySuffix = ".tmp";

/*!
    \brief Returns the failure of an operation that left the files as they were, so that it may be
    tried again: there was no room on the disk, or no file left to open.
*/
auto nothingWritten(const Utils::Error &cause) -> Utils::Error;
/*! \brief Returns whether \a error is one of nothingWritten(). */
auto isNothingWritten(const Utils::Error &error) -> bool;

/*!
    \brief Replaces the file \a name in \a folder by \a bytes, all or nothing, and syncs.

    Fails with nothingWritten() as long as the old file certainly stands.
*/
auto replaceFile(FileSystem &files,
                 const std::string &folder,
                 const std::string &name,
                 std::string_view bytes) -> Utils::Result<void>;

/*! \brief Removes the temporary files that a crash left in \a folder. */
auto removeTemporaryFiles(FileSystem &files, const std::string &folder) -> Utils::Result<void>;

} // namespace Store
