#pragma once

#include "bufferplanner.h"
#include "jobplacement.h"
#include "platform.h"
#include "waveplanner.h"

#include "fleet/gateway.h"
#include "fleet/replica.h"
#include "membership/endpointdirectory.h"

namespace Planning {

/*! \brief Duration of the soak and deadline of the drain of a move. */
struct MoveTiming
{
    Utils::Milliseconds soak{60'000};
    Utils::Milliseconds drainDeadline{300'000};
};

/*!
    \brief Proposes moves, approves those that the autonomy level covers, and carries out approved
    ones step by step.

    Runs on the leader. All progress is in the replicated log, so that another leader can continue.
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

    /*!
        \brief Proposes the moves of \a plan and of open waves, and advances all open moves.

        Each move is advanced by one step; maintenance is started in the step that ends a drain.
    */
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
    auto hasUnplaceableJob(const Fleet::Move &move, const JobPlan &plan) const -> bool;
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
    auto recordRefusal(const std::string &move) -> void;

    // Back-off after a refused step, since every attempt adds an entry to the log.
    struct Retry
    {
        Utils::Instant at; //!< Time of the next attempt.
        Utils::Milliseconds wait{0};
    };

    Fleet::Gateway &m_gateway;
    const Fleet::Replica &m_replica;
    const Membership::EndpointDirectory &m_directory;
    Platform &m_platform;
    const Utils::Clock &m_clock;
    MoveTiming m_timing;
    std::map<std::string, Retry> m_retries; //!< Back-offs by move id.
};

} // namespace Planning
