#include "snapshotstore.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace Store {
namespace {

constexpr std::string_view snapshotPrefix = "snapshot-";
constexpr int revisionDigits = 20;
constexpr std::uint64_t snapshotMagic = 0x3150'414e'5346'5254;

struct SnapshotHeader
{
    std::uint64_t magic = snapshotMagic;
    std::uint64_t revision = 0;
    std::uint64_t term = 0;
    std::uint64_t votersBytes = 0;
    std::uint64_t stateBytes = 0;
    std::uint64_t votersChecksum = 0;
    std::uint64_t stateChecksum = 0;
    std::uint64_t headerChecksum = 0;
};

auto checksumOf(const SnapshotHeader &header) -> std::uint64_t
{
    return XXH3_64bits(&header, sizeof header - sizeof header.headerChecksum);
}

auto checksumOf(std::string_view bytes) -> std::uint64_t
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

auto snapshotName(std::uint64_t revision) -> std::string
{
    const auto digits = std::to_string(revision);
    return std::string(snapshotPrefix)
           + std::string(std::size_t(revisionDigits) - digits.size(), '0') + digits;
}

auto corruption(const std::string &path, std::uint64_t offset)
{
    return Utils::failure(Utils::ErrorType::Corruption,
                          "the snapshot is damaged",
                          path + " at offset " + std::to_string(offset));
}

} // namespace

SnapshotStore::SnapshotStore(FileSystem &files, std::string folder)
    : m_files(files)
    , m_folder(std::move(folder))
{}

auto SnapshotStore::load() -> Utils::Result<std::optional<Snapshot>>
{
    BOOST_OUTCOME_TRY(names, m_files.list(m_folder));
    std::erase_if(names, [](const std::string &name) {
        return !name.starts_with(snapshotPrefix) || name.ends_with(temporarySuffix);
    });
    if (names.empty())
        return std::optional<Snapshot>();
    const auto path = m_folder + '/' + names.back();
    BOOST_OUTCOME_TRY(content, m_files.read(path));
    SnapshotHeader header;
    if (content.size() < sizeof header)
        return corruption(path, content.size());
    std::memcpy(&header, content.data(), sizeof header);
    if (header.magic != snapshotMagic || header.headerChecksum != checksumOf(header))
        return corruption(path, 0);
    const auto body = std::string_view(content).substr(sizeof header);
    if (body.size() != header.votersBytes + header.stateBytes)
        return corruption(path, sizeof header);
    const auto voters = body.substr(0, header.votersBytes);
    const auto state = body.substr(header.votersBytes);
    if (checksumOf(voters) != header.votersChecksum)
        return corruption(path, sizeof header);
    if (checksumOf(state) != header.stateChecksum)
        return corruption(path, sizeof header + header.votersBytes);
    return std::optional<Snapshot>(
        {header.revision, header.term, std::string(voters), std::string(state)});
}

auto SnapshotStore::save(const Snapshot &snapshot) -> Utils::Result<void>
{
    SnapshotHeader header;
    header.revision = snapshot.revision;
    header.term = snapshot.term;
    header.votersBytes = snapshot.voters.size();
    header.stateBytes = snapshot.state.size();
    header.votersChecksum = checksumOf(snapshot.voters);
    header.stateChecksum = checksumOf(snapshot.state);
    header.headerChecksum = checksumOf(header);
    std::string content(reinterpret_cast<const char *>(&header), sizeof header);
    content += snapshot.voters;
    content += snapshot.state;
    const auto name = snapshotName(snapshot.revision);
    BOOST_OUTCOME_TRY(replaceFile(m_files, m_folder, name, content));
    return removeOlder(name);
}

auto SnapshotStore::removeOlder(const std::string &newest) -> Utils::Result<void>
{
    BOOST_OUTCOME_TRY(names, m_files.list(m_folder));
    for (const auto &name : names) {
        if (name.starts_with(snapshotPrefix) && name < newest) {
            BOOST_OUTCOME_TRY(m_files.remove(m_folder + '/' + name));
        }
    }
    return Utils::success();
}

} // namespace Store
