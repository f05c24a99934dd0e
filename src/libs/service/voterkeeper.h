#pragma once

#include "membertable.h"

#include "replication/replicatedlog.h"
#include "utils/stopsignal.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Service {

/*! \brief A change of the voter set: a voter to add and a voter to remove. */
struct VoterChange
{
    std::string removedId;    //!< Id of the voter to remove; empty if none is removed.
    Replication::Voter added; //!< Voter to add; no voter is added if it is one already.
};

/*! \brief A voter and the time since its last message. */
struct VoterContact
{
    Replication::Voter voter;
    Utils::Milliseconds silence{0};
};

/*!
    \brief Returns the next change of voters, or std::nullopt if none is due. Has no side effects.

    A process that restarted without its data has a new id at its old address; it replaces the voter
    with that address at once. A voter that is silent for more than 2.5 s is replaced if another
    process is available, so that the group tolerates the next loss. The group grows or shrinks to
    \a wanted voters.
*/
auto nextVoterChange(std::span<const VoterContact> voters,
                     std::span<const Member> members,
                     std::size_t wanted) -> std::optional<VoterChange>;

/*! \brief Maintains the number of voters while this process leads. run() needs its own thread. */
class VoterKeeper
{
public:
    VoterKeeper(Replication::ReplicatedLog &log,
                const MemberTable &members,
                const Utils::Clock &clock,
                std::size_t wantedVoters);

    auto run(Utils::StopSignal &stop) -> void;

private:
    auto runOnce() -> void;

    Replication::ReplicatedLog &m_log;
    const MemberTable &m_members;
    const Utils::Clock &m_clock;
    std::size_t m_wantedVoters;
};

} // namespace Service
