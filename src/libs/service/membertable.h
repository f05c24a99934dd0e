#pragma once

#include "replication/voterset.h"
#include "utils/clock.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Service {

/*! \brief A control process that has introduced itself. */
struct Member
{
    Replication::Voter identity;
    Utils::Instant heardAt;
};

/*! \brief The control processes that the leader has heard of. Thread-safe. */
class MemberTable
{
public:
    auto note(const Replication::Voter &identity, Utils::Instant now) -> void;
    /*! \brief Returns the members heard of within \a age. */
    auto recent(Utils::Instant now, Utils::Milliseconds age) const -> std::vector<Member>;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Member> m_members;
};

} // namespace Service
