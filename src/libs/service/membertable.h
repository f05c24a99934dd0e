#pragma once

#include "replication/voterset.h"
#include "utils/clock.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Service {

/*! \brief A control process that has sent a hello request, and the time of the last one. */
struct Member
{
    Replication::Voter identity;
    Utils::Instant lastHelloAt;
};

/*! \brief Table of the control processes that sent hello requests to this process. Thread-safe. */
class MemberTable
{
public:
    /*! \brief Records that the process with \a identity sent a hello request at \a now. */
    auto update(const Replication::Voter &identity, Utils::Instant now) -> void;
    /*! \brief Returns the members whose last hello request is at most \a age old at \a now. */
    auto recent(Utils::Instant now, Utils::Milliseconds age) const -> std::vector<Member>;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, Member> m_members;
};

} // namespace Service
