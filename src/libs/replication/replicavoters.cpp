#include "replica.h"

#include "wireconversion.h"

namespace Replication::Internal {

auto Replica::replaceVoterOrForward(const std::string &removedId,
                                    const Voter &added,
                                    Utils::Milliseconds timeout) -> Utils::Result<void>
{
    auto changed = changeVoters(removedId, added, timeout);
    if (changed || changed.error().type != Utils::ErrorType::NotLeader || !m_options.forwards)
        return changed;
    return m_forwarder.replaceVoter(removedId, added, timeout);
}

auto Replica::changeVoters(const std::string &removedId,
                           const Voter &added,
                           Utils::Milliseconds timeout) -> Utils::Result<void>
{
    const auto deadline = m_clock.now() + timeout;
    VoterSet voterSet;
    {
        const StateLock lock(m_mutex);
        if (m_role != Role::Leader)
            return Utils::failure(Utils::ErrorType::NotLeader, "this process is not the leader");
        voterSet = voters();
    }
    // Voters change one at a time, so that majorities of two successive sets always overlap.
    if (!voterSet.contains(added.id)) {
        voterSet.voters.push_back(added);
        BOOST_OUTCOME_TRY(proposeVoters(voterSet, deadline));
    }
    if (std::erase_if(voterSet.voters, [&](const Voter &voter) { return voter.id == removedId; })
        == 0)
        return Utils::success();
    return proposeVoters(voterSet, deadline);
}

auto Replica::proposeVoters(VoterSet voterSet, Utils::Instant deadline) -> Utils::Result<void>
{
    StateLock lock(m_mutex);
    if (m_commitRevision < m_voterChanges.back().revision || m_commitRevision < m_termStart)
        return Utils::failure(Utils::ErrorType::Refused, "another change of voters is in progress");
    const auto proposal = propose(encodeVoters(voterSet), EntryKind::Voters);
    if (!proposal)
        return Utils::failure(Utils::ErrorType::NotLeader, "this process is not the leader");
    waitForProposal(lock, *proposal, deadline);
    if (proposal->state == ProposalState::Committed)
        return Utils::success();
    if (proposal->state == ProposalState::NotCommitted)
        return Utils::failure(Utils::ErrorType::NotLeader,
                              "this process lost leadership before the commit");
    return Utils::failure(Utils::ErrorType::OutcomeUnknown, "the commit was not confirmed in time");
}

auto Replica::replaceVoter(Wire::ReplaceVoterReply &reply, const Wire::ReplaceVoterRequest &request)
    -> void
{
    requireServing(request.groupId);
    if (!m_options.forwards) {
        reply.status = Wire::SubmitStatus::NOT_LEADER;
        return;
    }
    const auto changed = changeVoters(request.removedId,
                                      {request.addedId, request.addedZone, request.addedAddress},
                                      Utils::Milliseconds(request.timeoutMs));
    reply.status = Wire::SubmitStatus::COMMITTED;
    if (!changed) {
        reply.status = changed.error().type == Utils::ErrorType::NotLeader
                           ? Wire::SubmitStatus::NOT_LEADER
                           : Wire::SubmitStatus::OUTCOME_UNKNOWN;
        reply.reason = changed.error().message;
    }
    const StateLock lock(m_mutex);
    reply.leaderId = m_leaderId;
}

} // namespace Replication::Internal
