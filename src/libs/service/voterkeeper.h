#pragma once

#include "membertable.h"

#include "replication/replicatedlog.h"
#include "utils/stopsignal.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Service {

/*! \brief A voter that joins, and the one that it replaces. */
struct VoterChange
{
    std::string removedId;    //!< Empty: none is removed.
    Replication::Voter added; //!< May be a voter already: then one is only removed.
};

/*! \brief A voter and when it was last heard of. */
struct VoterContact
{
    Replication::Voter voter;
    Utils::Milliseconds silence{0};
};

/*!
    \brief Chooses the next change of voters, if one is due. Pure.

    A process that came back without its disk has a new id at the address of its former self, which
    is replaced at once. A silent voter is replaced while another process can take its place, so that
    the group bears the next loss. The group grows or shrinks to \a wanted voters.
*/
auto nextVoterChange(std::span<const VoterContact> voters,
                     std::span<const Member> members,
                     std::size_t wanted) -> std::optional<VoterChange>;

/*! \brief Keeps the group at its size while this process leads, on a thread of its own. */
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
