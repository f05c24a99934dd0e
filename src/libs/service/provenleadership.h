#pragma once

#include "execution/ports.h"
#include "replication/replicatedlog.h"
#include "utils/clock.h"

namespace Service {

/*! \brief Tells, on the local clock, since when the replicated log proves a term of leadership. */
class ProvenLeadership final : public Execution::Leadership
{
public:
    ProvenLeadership(const Replication::ReplicatedLog &log, const Utils::Clock &clock);

    auto provenAt(std::int64_t term) const -> std::optional<Utils::Instant> override;

private:
    const Replication::ReplicatedLog &m_log;
    const Utils::Clock &m_clock;
};

} // namespace Service
