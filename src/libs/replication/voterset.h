#pragma once

#include "utils/error.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Replication {

/*! \brief A process with a vote in the replication group. */
struct Voter
{
    std::string id;
    std::string zone;
    std::string address; //!< HOST:PORT of the voter's listener for peers.
    auto operator==(const Voter &) const -> bool = default;
};

/*! \brief The voters of a replication group. */
struct VoterSet
{
    std::vector<Voter> voters;

    auto find(std::string_view id) const -> const Voter *;
    auto contains(std::string_view id) const -> bool { return find(id) != nullptr; }
    /*! \brief Returns the number of voters that make a majority. */
    auto majority() const -> std::size_t { return voters.size() / 2 + 1; }
};

auto encodeVoters(const VoterSet &voters) -> std::string;
auto decodeVoters(std::string_view bytes) -> Utils::Result<VoterSet>;

} // namespace Replication
