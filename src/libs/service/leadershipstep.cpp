#include "leadershipstep.h"

namespace Service {

auto nextLeadershipStep(const Replication::LogStatus &status, std::uint64_t lastSessionTerm)
    -> LeadershipStep
{
    if (status.role != Replication::Role::Leader || !status.hasQuorum)
        return LeadershipStep::Wait;
    return status.term == lastSessionTerm ? LeadershipStep::Resign : LeadershipStep::BeginSession;
}

} // namespace Service
