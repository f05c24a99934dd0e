#pragma once

#include "filesystem.h"

#include <cstdint>
#include <string>

namespace Store {

/*! \brief The current term of a voter and the candidate it voted for in this term. */
struct Vote
{
    std::uint64_t term = 0;
    std::string candidate; //!< Empty if the voter has not voted in this term.
};

/*! \brief Stores the term and the vote of a voter durably. Not thread-safe. */
class VoteFile
{
public:
    VoteFile(FileSystem &files, std::string folder);

    /*!
        \brief Returns the saved vote, or one with term 0 if there is none.

        Fails with Corruption if the file is damaged.
    */
    auto load() -> Utils::Result<Vote>;
    /*! \brief Returns once \a vote is on the disk. */
    auto save(const Vote &vote) -> Utils::Result<void>;

private:
    FileSystem &m_files;
    std::string m_folder;
};

} // namespace Store
