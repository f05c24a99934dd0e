#include "replicatedlog.h"

namespace Replication {

auto ReplicatedLog::replaceVoter(const std::string &, const Voter &, Utils::Milliseconds)
    -> Utils::Result<void>
{
    return Utils::failure(Utils::ErrorType::Refused, "this log has a fixed set of voters");
}

} // namespace Replication
