#include "membertable.h"

namespace Service {

auto MemberTable::update(const Replication::Voter &identity, Utils::Instant now) -> void
{
    const std::lock_guard lock(m_mutex);
    m_members[identity.id] = {identity, now};
}

auto MemberTable::recent(Utils::Instant now, Utils::Milliseconds age) const -> std::vector<Member>
{
    const std::lock_guard lock(m_mutex);
    std::vector<Member> recent;
    for (const auto &[id, member] : m_members) {
        if (now - member.lastHelloAt <= age)
            recent.push_back(member);
    }
    return recent;
}

} // namespace Service
