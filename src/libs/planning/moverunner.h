#pragma once

#include "bufferplanner.h"
#include "jobplacement.h"
#include "platform.h"
#include "waveplanner.h"

#include "fleet/gateway.h"
#include "fleet/replica.h"
#include "membership/endpointdirectory.h"

namespace Planning {

/*! \brief How long the steps of a move may take. */
struct MoveTiming
{
    Utils::Milliseconds soak{60'000};
    Utils::Milliseconds drainDeadline{300'000};
};

/*!
    \brief Proposes moves, approves those that autonomy covers, and takes approved ones from step
    to step. Runs at the leader; all its progress is in the log, so another leader goes on with it.
*/
class MoveRunner
{
public:
    MoveRunner(Fleet::Gateway &gateway,
               const Fleet::Replica &replica,
               const Membership::EndpointDirectory &directory,
               Platform &platform,
               const Utils::Clock &clock,
               MoveTiming timing);

    /*! \brief Proposes the moves of \a plan and of waves, and takes each open move at most one step on. */
    auto runOnce(const BufferPlan &plan = {}) -> void;

private:
    struct Step
    {
        Fleet::MoveState state;
        auto(MoveRunner::*take)(const Fleet::Move &move) -> void;
    };
    static auto steps() -> std::span<const Step>;

    auto proposeForWaves(const std::map<std::string, std::int64_t> &requiredSlots) -> void;
    auto countJobs() const -> std::map<std::string, std::int64_t>;
    auto stepProposed(const Fleet::Move &move) -> void;
    auto stepApproved(const Fleet::Move &move) -> void;
    auto stepDraining(const Fleet::Move &move) -> void;
    auto stepInMaintenance(const Fleet::Move &move) -> void;
    auto stepSoaking(const Fleet::Move &move) -> void;
    auto planJobs(const Fleet::Move &move) const -> Utils::Result<JobPlan>;
    auto hasMisfit(const Fleet::Move &move, const JobPlan &plan) const -> bool;
    auto targetsFor(const Fleet::Move &move) const -> std::vector<PlacementTarget>;
    auto reportUnplaced(const Fleet::Move &move, const JobPlan &plan) -> void;
    auto moveJobs(const Fleet::Move &move, const JobPlan &plan) -> std::int64_t;
    auto requestsInFlight(const Fleet::Move &move) const -> std::int64_t;
    auto askOperator(const Fleet::Move &move, const std::string &waitsFor) -> void;
    auto age(const Fleet::Move &move) const -> Utils::Milliseconds;
    auto advance(const Fleet::Move &move,
                 Fleet::MoveState to,
                 std::string detail,
                 std::int64_t jobMoves = 0) -> bool;
    auto execute(Fleet::CommandBody body, const Fleet::Move &move) -> bool;
    auto isGrantable(const Fleet::Move &move) const -> bool;
    auto mayRetry(const std::string &move) const -> bool;
    auto noteRefusal(const std::string &move) -> void;

    // When a refused step is tried again; every try is an entry of the log.
    struct Retry
    {
        Utils::Instant at;
        Utils::Milliseconds wait{0};
    };

    Fleet::Gateway &m_gateway;
    const Fleet::Replica &m_replica;
    const Membership::EndpointDirectory &m_directory;
    Platform &m_platform;
    const Utils::Clock &m_clock;
    MoveTiming m_timing;
    std::map<std::string, Retry> m_retries; //!< By move.
};

} // namespace Planning
