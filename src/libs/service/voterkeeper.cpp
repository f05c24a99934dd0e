#include "voterkeeper.h"

#include "utils/log.h"

#include <algorithm>

namespace Service {
namespace {

constexpr Utils::Milliseconds checkInterval{300};
constexpr Utils::Milliseconds changeTimeout{2000};
// A voter that has been silent for longer is replaced if another process is available.
constexpr Utils::Milliseconds maximumSilence{2500};
// Control processes send a hello request to the leader every 500 ms.
constexpr Utils::Milliseconds memberAge{1500};

} // namespace

auto nextVoterChange(std::span<const VoterContact> voters,
                     std::span<const Member> members,
                     std::size_t wanted) -> std::optional<VoterChange>
{
    const auto isVoter = [&](const Member &member) {
        return std::ranges::any_of(voters, [&](const VoterContact &contact) {
            return contact.voter.id == member.identity.id;
        });
    };
    const Member *candidate = nullptr;
    for (const auto &member : members) {
        if (isVoter(member))
            continue;
        const auto previous = std::ranges::find_if(voters, [&](const VoterContact &contact) {
            return contact.voter.address == member.identity.address;
        });
        if (previous != voters.end())
            return VoterChange{previous->voter.id, member.identity};
        candidate = &member;
    }
    const auto [mostRecent, mostSilent] =
        std::ranges::minmax_element(voters, {}, &VoterContact::silence);
    // A replacement that stopped after adding the new voter leaves one voter too many.
    if (voters.size() > wanted && mostRecent != mostSilent)
        return VoterChange{mostSilent->voter.id, mostRecent->voter};
    if (candidate == nullptr)
        return std::nullopt;
    if (voters.size() < wanted)
        return VoterChange{{}, candidate->identity};
    if (mostSilent != voters.end() && mostSilent->silence > maximumSilence)
        return VoterChange{mostSilent->voter.id, candidate->identity};
    return std::nullopt;
}

VoterKeeper::VoterKeeper(Replication::ReplicatedLog &log,
                         const MemberTable &members,
                         const Utils::Clock &clock,
                         std::size_t wantedVoters)
    : m_log(log)
    , m_members(members)
    , m_clock(clock)
    , m_wantedVoters(wantedVoters)
{}

auto VoterKeeper::run(Utils::StopSignal &stop) -> void
{
    while (!stop.waitFor(checkInterval))
        runOnce();
}

auto VoterKeeper::runOnce() -> void
{
    const auto status = m_log.status();
    if (status.role != Replication::Role::Leader || !status.hasQuorum)
        return;
    std::vector<VoterContact> voters;
    for (const auto &voter : status.voters) {
        const auto progress = status.progress.find(voter.id);
        // A voter that has sent no message to this leader counts as silent since the leader's
        // election.
        const auto silence =
            progress != status.progress.end() ? progress->second.age : status.leadingFor;
        voters.push_back({voter, silence});
    }
    const auto members = m_members.recent(m_clock.now(), memberAge);
    const auto change = nextVoterChange(voters, members, m_wantedVoters);
    if (!change)
        return;
    const auto changed = m_log.replaceVoter(change->removedId, change->added, changeTimeout);
    Utils::Log::info("service",
                     "requested a change of voters",
                     {{"removed", change->removedId},
                      {"added", change->added.id},
                      {"done", bool(changed)},
                      {"reason", changed ? std::string() : changed.error().message}});
}

} // namespace Service
