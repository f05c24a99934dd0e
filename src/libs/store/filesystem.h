#pragma once

#include "utils/error.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/*! Durable files of a replica: the segments of the log, the snapshots and the vote. */
namespace Store {

/*! \brief An open file to which bytes are appended. */
class File
{
public:
    virtual ~File() = default;
    /*! \brief Appends all of \a bytes; if it fails, a part of them may have been written. */
    virtual auto append(std::string_view bytes) -> Utils::Result<void> = 0;
    /*!
        \brief Returns once all appended bytes are on the disk. Must not be retried after a failure.
    */
    virtual auto sync() -> Utils::Result<void> = 0;
    /*! \brief Truncates the file to \a size bytes. */
    virtual auto truncate(std::uint64_t size) -> Utils::Result<void> = 0;
};

/*! \brief Interface for the file operations of the store, which tests replace to inject faults. */
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
    /*! \brief Makes created, renamed and removed files in \a folder durable. */
    virtual auto syncFolder(const std::string &folder) -> Utils::Result<void> = 0;
};

/*! \brief Returns the file system of the operating system. */
auto posixFileSystem() -> FileSystem &;

/*! \brief Suffix of incomplete files, which removeTemporaryFiles() removes at the next start. */
inline constexpr std::string_view temporarySuffix = ".tmp";

/*!
    \brief Returns \a cause as the error of a write that left the existing files unchanged.

    Such a write may be retried. Typical causes are a full disk and too many open files.
*/
auto nothingWritten(const Utils::Error &cause) -> Utils::Error;
/*! \brief Returns whether \a error was created by nothingWritten(). */
auto isNothingWritten(const Utils::Error &error) -> bool;

/*!
    \brief Atomically replaces the file \a name in \a folder by \a bytes, and syncs it.

    Fails with nothingWritten() if \a bytes cannot be written, since the old file is unchanged then.
*/
auto replaceFile(FileSystem &files,
                 const std::string &folder,
                 const std::string &name,
                 std::string_view bytes) -> Utils::Result<void>;

/*! \brief Removes the temporary files in \a folder, which a crash or a failed write left there. */
auto removeTemporaryFiles(FileSystem &files, const std::string &folder) -> Utils::Result<void>;

} // namespace Store
