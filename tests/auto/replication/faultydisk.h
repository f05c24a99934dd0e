#pragma once

#include "store/filesystem.h"

#include <condition_variable>
#include <mutex>

namespace Replication::Test {

/*! \brief The disk of one process, which a test can make full or hanging during use. */
class FaultyDisk final : public Store::FileSystem
{
public:
    /*! \brief Sets whether writes fail as on a full disk. */
    auto setFull(bool full) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_full = full;
    }
    /*! \brief Sets whether writes block until the disk no longer hangs. */
    auto setHanging(bool hanging) -> void
    {
        const std::lock_guard lock(m_mutex);
        m_hanging = hanging;
        m_changed.notify_all();
    }

    auto createFolder(const std::string &folder) -> Utils::Result<void> override
    {
        return Store::posixFileSystem().createFolder(folder);
    }
    auto list(const std::string &folder) -> Utils::Result<std::vector<std::string>> override
    {
        return Store::posixFileSystem().list(folder);
    }
    auto read(const std::string &path) -> Utils::Result<std::string> override
    {
        return Store::posixFileSystem().read(path);
    }
    auto open(const std::string &path) -> Utils::Result<std::unique_ptr<Store::File>> override
    {
        BOOST_OUTCOME_TRY(file, Store::posixFileSystem().open(path));
        return std::unique_ptr<Store::File>(std::make_unique<OpenFile>(*this, std::move(file)));
    }
    auto rename(const std::string &from, const std::string &to) -> Utils::Result<void> override
    {
        return Store::posixFileSystem().rename(from, to);
    }
    auto remove(const std::string &path) -> Utils::Result<void> override
    {
        return Store::posixFileSystem().remove(path);
    }
    auto syncFolder(const std::string &folder) -> Utils::Result<void> override
    {
        return Store::posixFileSystem().syncFolder(folder);
    }

private:
    class OpenFile final : public Store::File
    {
    public:
        OpenFile(FaultyDisk &disk, std::unique_ptr<Store::File> file)
            : m_disk(disk)
            , m_file(std::move(file))
        {}
        auto append(std::string_view bytes) -> Utils::Result<void> override
        {
            const auto hasRoom = m_disk.waitForWrite();
            // A full disk writes a part of the bytes.
            BOOST_OUTCOME_TRY(m_file->append(hasRoom ? bytes : bytes.substr(0, bytes.size() / 2)));
            if (!hasRoom)
                return Utils::failure(Utils::ErrorType::IoFailure, "no space left");
            return Utils::success();
        }
        auto sync() -> Utils::Result<void> override { return m_file->sync(); }
        auto truncate(std::uint64_t size) -> Utils::Result<void> override
        {
            return m_file->truncate(size);
        }

    private:
        FaultyDisk &m_disk;
        std::unique_ptr<Store::File> m_file;
    };

    auto waitForWrite() -> bool
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return !m_hanging; });
        return !m_full;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_full = false;
    bool m_hanging = false;
};

} // namespace Replication::Test
