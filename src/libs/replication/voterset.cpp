#include "voterset.h"

#include "utils/cbor.h"

#include <algorithm>

namespace Replication {

template <typename Archive>
auto describe(Archive &archive, Voter &voter) -> void
{
    archive.required("id", voter.id);
    archive.required("zone", voter.zone);
    archive.required("address", voter.address);
}

template <typename Archive>
auto describe(Archive &archive, VoterSet &set) -> void
{
    archive.required("voters", set.voters);
}

auto VoterSet::find(std::string_view id) const -> const Voter *
{
    const auto found = std::ranges::find(voters, id, &Voter::id);
    return found == voters.end() ? nullptr : &*found;
}

auto encodeVoters(const VoterSet &voters) -> std::string
{
    return Utils::toCbor(voters);
}

auto decodeVoters(std::string_view bytes) -> Utils::Result<VoterSet>
{
    return Utils::fromCbor<VoterSet>(bytes);
}

} // namespace Replication
