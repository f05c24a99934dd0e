#include "filesystem.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Store {
namespace {

auto ioFailure(const std::string &path, std::string_view operation)
{
    return Utils::failure(Utils::ErrorType::IoFailure,
                          std::string(operation) + " failed",
                          path + ": " + std::strerror(errno));
}

auto folderFailure(const std::string &path, const std::error_code &error)
{
    return Utils::failure(Utils::ErrorType::IoFailure,
                          "a folder cannot be created or listed",
                          path + ": " + error.message());
}

class PosixFile final : public File
{
public:
    PosixFile(std::string path, int descriptor)
        : m_path(std::move(path))
        , m_descriptor(descriptor)
    {}
    ~PosixFile() override { ::close(m_descriptor); }
    PosixFile(const PosixFile &) = delete;
    auto operator=(const PosixFile &) -> PosixFile & = delete;

    auto append(std::string_view bytes) -> Utils::Result<void> override
    {
        while (!bytes.empty()) {
            const auto written = ::write(m_descriptor, bytes.data(), bytes.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written < 0)
                return ioFailure(m_path, "write");
            bytes.remove_prefix(std::size_t(written));
        }
        return Utils::success();
    }

    auto sync() -> Utils::Result<void> override
    {
        if (::fdatasync(m_descriptor) != 0)
            return ioFailure(m_path, "sync");
        return Utils::success();
    }

    auto truncate(std::uint64_t size) -> Utils::Result<void> override
    {
        if (::ftruncate(m_descriptor, off_t(size)) != 0)
            return ioFailure(m_path, "truncate");
        return Utils::success();
    }

private:
    std::string m_path;
    int m_descriptor;
};

class PosixFileSystem final : public FileSystem
{
public:
    auto createFolder(const std::string &folder) -> Utils::Result<void> override
    {
        std::error_code error;
        std::filesystem::create_directories(folder, error);
        if (error)
            return folderFailure(folder, error);
        return Utils::success();
    }

    auto list(const std::string &folder) -> Utils::Result<std::vector<std::string>> override
    {
        std::error_code error;
        std::vector<std::string> names;
        for (const auto &entry : std::filesystem::directory_iterator(folder, error))
            names.push_back(entry.path().filename().string());
        if (error)
            return folderFailure(folder, error);
        std::ranges::sort(names);
        return names;
    }

    auto read(const std::string &path) -> Utils::Result<std::string> override
    {
        std::ifstream file(path, std::ios::binary);
        std::ostringstream content;
        content << file.rdbuf();
        if (!file)
            return ioFailure(path, "read");
        return std::move(content).str();
    }

    auto open(const std::string &path) -> Utils::Result<std::unique_ptr<File>> override
    {
        const auto descriptor =
            ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (descriptor < 0)
            return ioFailure(path, "open");
        return std::unique_ptr<File>(std::make_unique<PosixFile>(path, descriptor));
    }

    auto rename(const std::string &from, const std::string &to) -> Utils::Result<void> override
    {
        if (std::rename(from.c_str(), to.c_str()) != 0)
            return ioFailure(from, "rename");
        return Utils::success();
    }

    auto remove(const std::string &path) -> Utils::Result<void> override
    {
        if (::unlink(path.c_str()) != 0)
            return ioFailure(path, "remove");
        return Utils::success();
    }

    auto syncFolder(const std::string &folder) -> Utils::Result<void> override
    {
        const auto descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        if (descriptor < 0)
            return ioFailure(folder, "open");
        const auto synced = ::fsync(descriptor) == 0;
        ::close(descriptor);
        if (!synced)
            return ioFailure(folder, "sync");
        return Utils::success();
    }
};

} // namespace

auto posixFileSystem() -> FileSystem &
{
    static PosixFileSystem files;
    return files;
}

auto nothingWritten(const Utils::Error &cause) -> Utils::Error
{
    return {Utils::ErrorType::LimitReached, cause.message, cause.details};
}

auto isNothingWritten(const Utils::Error &error) -> bool
{
    return error.type == Utils::ErrorType::LimitReached;
}

namespace {

auto writeNewFile(FileSystem &files, const std::string &path, std::string_view bytes)
    -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(file, files.open(path));
    BOOST_OUTCOME_TRY(file->truncate(0));
    BOOST_OUTCOME_TRY(file->append(bytes));
    return file->sync();
}

} // namespace

auto replaceFile(FileSystem &files,
                 const std::string &folder,
                 const std::string &name,
                 std::string_view bytes) -> Utils::Result<void>
{
    const auto path = folder + '/' + name;
    const auto temporaryPath = path + std::string(temporarySuffix);
    if (const auto written = writeNewFile(files, temporaryPath, bytes); !written)
        return nothingWritten(written.error());
    BOOST_OUTCOME_TRY(files.rename(temporaryPath, path));
    return files.syncFolder(folder);
}

auto removeTemporaryFiles(FileSystem &files, const std::string &folder) -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(names, files.list(folder));
    for (const auto &name : names) {
        if (name.ends_with(temporarySuffix)) {
            BOOST_OUTCOME_TRY(files.remove(folder + '/' + name));
        }
    }
    return Utils::success();
}

} // namespace Store
