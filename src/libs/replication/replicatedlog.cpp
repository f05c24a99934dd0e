#include "replicatedlog.h"

namespace Replication {

auto ReplicatedLog::submitInTerm(std::uint64_t term,
                                 std::string payload,
                                 Utils::Milliseconds timeout) -> Utils::Result<SubmitReply>
{
    const auto current = status();
    if (current.role != Role::Leader || current.term != term)
        return Utils::failure(Utils::ErrorType::NotLeader, "this process does not lead the term");
    return submit(std::move(payload), timeout);
}

auto ReplicatedLog::replaceVoter(const std::string &, const Voter &, Utils::Milliseconds)
    -> Utils::Result<void>
{
    return Utils::failure(Utils::ErrorType::Refused, "this log has a fixed set of voters");
}

} // namespace Replication
