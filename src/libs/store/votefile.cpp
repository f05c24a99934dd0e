#include "votefile.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace Store {
namespace {

constexpr auto voteFileName = "vote";

struct VoteHeader
{
    std::uint64_t term = 0;
    std::uint64_t candidateBytes = 0;
    std::uint64_t checksum = 0;
};

auto checksumOf(const Vote &vote) -> std::uint64_t
{
    return XXH3_64bits_withSeed(vote.candidate.data(), vote.candidate.size(), vote.term);
}

} // namespace

VoteFile::VoteFile(FileSystem &files, std::string folder)
    : m_files(files)
    , m_folder(std::move(folder))
{}

auto VoteFile::load() -> Utils::Result<Vote>
{
    BOOST_OUTCOME_TRY(names, m_files.list(m_folder));
    if (!std::ranges::binary_search(names, std::string(voteFileName)))
        return Vote{};
    const auto path = m_folder + '/' + voteFileName;
    BOOST_OUTCOME_TRY(content, m_files.read(path));
    VoteHeader header;
    Vote vote;
    if (content.size() >= sizeof header) {
        std::memcpy(&header, content.data(), sizeof header);
        vote = {header.term, content.substr(sizeof header)};
    }
    if (content.size() != sizeof header + header.candidateBytes
        || checksumOf(vote) != header.checksum) {
        return Utils::failure(
            Utils::ErrorType::Corruption, "the vote file is damaged", path + " at offset 0");
    }
    return vote;
}

auto VoteFile::save(const Vote &vote) -> Utils::Result<void>
{
    const VoteHeader header{vote.term, vote.candidate.size(), checksumOf(vote)};
    std::string content(reinterpret_cast<const char *>(&header), sizeof header);
    content += vote.candidate;
    return replaceFile(m_files, m_folder, voteFileName, content);
}

} // namespace Store
