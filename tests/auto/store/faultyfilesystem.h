#pragma once

#include "store/filesystem.h"

namespace Store::Test {

/*! \brief The file system of the operating system, with faults that a test enables. */
class FaultyFileSystem final : public FileSystem
{
public:
    std::uint64_t writableBytes = UINT64_MAX; //!< Bytes until writes fail as on a full disk.
    bool syncFails = false;
    bool renameFails = false;
    bool truncateFails = false;
    int syncs = 0;

    auto createFolder(const std::string &folder) -> Utils::Result<void> override
    {
        return posixFileSystem().createFolder(folder);
    }
    auto list(const std::string &folder) -> Utils::Result<std::vector<std::string>> override
    {
        return posixFileSystem().list(folder);
    }
    auto read(const std::string &path) -> Utils::Result<std::string> override
    {
        return posixFileSystem().read(path);
    }
    auto open(const std::string &path) -> Utils::Result<std::unique_ptr<File>> override
    {
        BOOST_OUTCOME_TRY(file, posixFileSystem().open(path));
        return std::unique_ptr<File>(std::make_unique<FaultyFile>(*this, std::move(file)));
    }
    auto rename(const std::string &from, const std::string &to) -> Utils::Result<void> override
    {
        if (renameFails)
            return Utils::failure(Utils::ErrorType::IoFailure, "rename failed");
        return posixFileSystem().rename(from, to);
    }
    auto remove(const std::string &path) -> Utils::Result<void> override
    {
        return posixFileSystem().remove(path);
    }
    auto syncFolder(const std::string &folder) -> Utils::Result<void> override
    {
        return posixFileSystem().syncFolder(folder);
    }

private:
    class FaultyFile final : public File
    {
    public:
        FaultyFile(FaultyFileSystem &files, std::unique_ptr<File> file)
            : m_files(files)
            , m_file(std::move(file))
        {}
        auto append(std::string_view bytes) -> Utils::Result<void> override
        {
            const auto written = std::min<std::uint64_t>(bytes.size(), m_files.writableBytes);
            BOOST_OUTCOME_TRY(m_file->append(bytes.substr(0, written)));
            m_files.writableBytes -= written;
            if (written < bytes.size())
                return Utils::failure(Utils::ErrorType::IoFailure, "no space left");
            return Utils::success();
        }
        auto sync() -> Utils::Result<void> override
        {
            ++m_files.syncs;
            if (m_files.syncFails)
                return Utils::failure(Utils::ErrorType::IoFailure, "sync failed");
            return m_file->sync();
        }
        auto truncate(std::uint64_t size) -> Utils::Result<void> override
        {
            if (m_files.truncateFails)
                return Utils::failure(Utils::ErrorType::IoFailure, "truncate failed");
            return m_file->truncate(size);
        }

    private:
        FaultyFileSystem &m_files;
        std::unique_ptr<File> m_file;
    };
};

} // namespace Store::Test
