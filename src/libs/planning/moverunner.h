#pragma once

#include "platform.h"

#include "fleet/gateway.h"
#include "fleet/replica.h"
#include "membership/endpointdirectory.h"

namespace Planning {

/*! \brief Takes approved moves from step to step; runs at the leader. */
class MoveRunner
{
public:
    MoveRunner(Fleet::Gateway &gateway,
               const Fleet::Replica &replica,
               const Membership::EndpointDirectory &directory,
               Platform &platform,
               const Utils::Clock &clock,
               Utils::Milliseconds soak);

    /*! \brief Proposes moves for waves and takes each open move at most one step on. */
    auto runOnce() -> void;

private:
    auto proposeForWaves() -> void;
    auto step(const Fleet::Move &move) -> void;
    auto isDrained(const Fleet::Move &move) const -> bool;
    auto advance(const Fleet::Move &move, Fleet::MoveState to, std::string detail) -> void;

    Fleet::Gateway &m_gateway;
    const Fleet::Replica &m_replica;
    const Membership::EndpointDirectory &m_directory;
    Platform &m_platform;
    const Utils::Clock &m_clock;
    Utils::Milliseconds m_soak;
};

} // namespace Planning
