#pragma once

#include "filesystem.h"

#include <cstdint>
#include <string>

namespace Store {

/*! \brief The term a voter is in, and whom it voted for in it. */
struct Vote
{
    std::uint64_t term = 0;
    std::string candidate; //!< Empty if it has not voted in this term.
};

/*! \brief Keeps a voter's term and vote durable. Not thread-safe. */
class VoteFile
{
public:
    VoteFile(FileSystem &files, std::string folder);

    /*! \brief Returns the saved vote, or term 0 if there is none; fails if it is damaged. */
    auto load() -> Utils::Result<Vote>;
    /*! \brief Returns once \a vote is on the disk. */
    auto save(const Vote &vote) -> Utils::Result<void>;

private:
    FileSystem &m_files;
    std::string m_folder;
};

} // namespace Store
