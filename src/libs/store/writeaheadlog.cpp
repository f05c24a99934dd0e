#include "writeaheadlog.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>

namespace Store {
namespace {

constexpr std::size_t headerBytes = 16;
constexpr std::uint64_t maximumRecordBytes = 256U * 1024U * 1024U;

auto ioFailure(const std::string &path, std::string_view operation)
{
    return Utils::failure(Utils::ErrorType::IoFailure,
                          std::string(operation) + " failed",
                          path + ": " + std::strerror(errno));
}

auto appendRecord(std::string &buffer, std::string_view payload) -> void
{
    const std::uint64_t length = payload.size();
    const std::uint64_t checksum = XXH3_64bits_withSeed(payload.data(), payload.size(), length);
    buffer.append(reinterpret_cast<const char *>(&length), sizeof length);
    buffer.append(reinterpret_cast<const char *>(&checksum), sizeof checksum);
    buffer.append(payload);
}

struct Header
{
    std::uint64_t length = 0;
    std::uint64_t checksum = 0;
};

auto readHeader(std::string_view bytes) -> Header
{
    Header header;
    std::memcpy(&header.length, bytes.data(), sizeof header.length);
    std::memcpy(&header.checksum, bytes.data() + sizeof header.length, sizeof header.checksum);
    return header;
}

} // namespace

WriteAheadLog::~WriteAheadLog()
{
    if (m_file >= 0)
        ::close(m_file);
}

auto WriteAheadLog::open(const std::string &path) -> Utils::Result<std::vector<Record>>
{
    m_path = path;
    m_file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (m_file < 0)
        return ioFailure(path, "open");
    struct stat info = {};
    if (::fstat(m_file, &info) != 0)
        return ioFailure(path, "stat");
    std::string content(std::size_t(info.st_size), '\0');
    if (::pread(m_file, content.data(), content.size(), 0) != ssize_t(content.size()))
        return ioFailure(path, "read");
    std::vector<Record> records;
    std::uint64_t offset = 0;
    const std::string_view view(content);
    while (offset + headerBytes <= view.size()) {
        const auto header = readHeader(view.substr(offset));
        if (header.length > maximumRecordBytes
            || offset + headerBytes + header.length > view.size())
            break;
        const auto payload = view.substr(offset + headerBytes, header.length);
        if (XXH3_64bits_withSeed(payload.data(), payload.size(), header.length) != header.checksum)
            break;
        records.push_back({offset, std::string(payload)});
        offset += headerBytes + header.length;
    }
    if (offset != view.size() && ::ftruncate(m_file, off_t(offset)) != 0)
        return ioFailure(path, "truncate");
    m_size = offset;
    return records;
}

auto WriteAheadLog::append(std::span<const std::string> payloads) -> Utils::Result<void>
{
    std::string buffer;
    for (const auto &payload : payloads)
        appendRecord(buffer, payload);
    if (::pwrite(m_file, buffer.data(), buffer.size(), off_t(m_size)) != ssize_t(buffer.size()))
        return ioFailure(m_path, "write");
    if (::fdatasync(m_file) != 0)
        return ioFailure(m_path, "sync");
    m_size += buffer.size();
    return Utils::success();
}

} // namespace Store
