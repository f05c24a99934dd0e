#include "fleetfixture.h"

#include <gtest/gtest.h>

using Fleet::MoveState;

namespace {

class MoveDecisions : public testing::Test
{
protected:
    MoveDecisions()
    {
        fleet.apply(Fleet::PutContract{FleetFixture::contract(9, 900000, 86400), true});
        fleet.addHosts("dispatch", 8, 4, "z1");
    }

    auto propose(const std::string &host, const std::string &wave = {}) -> std::string
    {
        Fleet::Move move;
        move.host = host;
        move.wave = wave;
        return fleet.apply(Fleet::ProposeMove{move}).subject;
    }

    FleetFixture fleet;
};

} // namespace

TEST_F(MoveDecisions, FirstDecisionWinsAndTheSecondNamesIt)
{
    const auto move = propose("dispatch-z1-0");
    EXPECT_TRUE(fleet.apply(Fleet::DecideMove{move, true}, "ana").accepted);
    const auto second = fleet.apply(Fleet::DecideMove{move, false}, "bea");
    EXPECT_EQ(second.errorType, "conflict");
    EXPECT_NE(second.details.find("decided by ana"), std::string::npos) << second.details;
}

TEST_F(MoveDecisions, ResentCommandGetsTheFirstResult)
{
    const auto move = propose("dispatch-z1-0");
    Fleet::Command command{"same", "ana", {}, fleet.nowMs, {}, Fleet::DecideMove{move, true}};
    const auto first = fleet.state.apply(command, 100);
    const auto resent = fleet.state.apply(command, 101);
    EXPECT_TRUE(resent.accepted);
    EXPECT_EQ(resent.revision, first.revision);
}

TEST_F(MoveDecisions, ProposalExpiresWhenItsHostFails)
{
    const auto move = propose("dispatch-z1-0");
    fleet.apply(Fleet::ReportHost{"dispatch-z1-0", true});
    EXPECT_EQ(fleet.state.findMove(move)->state, MoveState::Expired);
    EXPECT_EQ(fleet.apply(Fleet::DecideMove{move, true}, "ana").errorType, "conflict");
}

TEST_F(MoveDecisions, PolicyApprovesOnlyWhereAutonomyAllows)
{
    const auto move = propose("dispatch-z1-0");
    const Fleet::DecideMove decision{move, true, true};
    EXPECT_EQ(fleet.apply(decision, "policy").errorType, "refused");
    fleet.apply(Fleet::SetAutonomy{Fleet::AutonomyLevel::Guarded, "dispatch"}, "ana");
    EXPECT_TRUE(fleet.apply(decision, "policy").accepted);
}

TEST_F(MoveDecisions, OverrideCancelsADrainButNoMaintenanceInProgress)
{
    const auto move = fleet.proposeAndApprove("dispatch-z1-0");
    fleet.advance(move, MoveState::Approved, MoveState::Draining);
    const Fleet::OverrideMove cancel{move, Fleet::OverrideAction::CancelMove, "market day"};
    EXPECT_TRUE(fleet.apply(cancel, "ana").accepted);
    EXPECT_EQ(fleet.state.findHost("dispatch-z1-0")->state, Fleet::HostState::Serving);
    EXPECT_TRUE(fleet.state.ledger().grants().empty());
    const auto second = fleet.proposeAndApprove("dispatch-z1-0");
    fleet.advance(second, MoveState::Approved, MoveState::Draining);
    fleet.advance(second, MoveState::Draining, MoveState::InMaintenance);
    const auto late = fleet.apply(
        Fleet::OverrideMove{second, Fleet::OverrideAction::CancelMove, "market day"}, "ana");
    EXPECT_EQ(late.errorType, "conflict");
}

TEST_F(MoveDecisions, WaveEndsInTheSameLogEntryAsItsLastMove)
{
    Fleet::Wave wave;
    wave.id = "wave-1";
    wave.pool = "dispatch";
    wave.hosts = {"dispatch-z1-0", "dispatch-z1-1", "dispatch-z1-2"};
    ASSERT_TRUE(fleet.apply(Fleet::StartWave{wave}, "ana").accepted);
    const auto done = fleet.proposeAndApprove("dispatch-z1-0", "wave-1");
    fleet.advance(done, MoveState::Approved, MoveState::Draining);
    fleet.advance(done, MoveState::Draining, MoveState::InMaintenance);
    fleet.advance(done, MoveState::InMaintenance, MoveState::Soaking);
    fleet.advance(done, MoveState::Soaking, MoveState::Done);
    const auto failed = fleet.proposeAndApprove("dispatch-z1-1", "wave-1");
    fleet.advance(failed, MoveState::Approved, MoveState::Draining);
    fleet.advance(failed, MoveState::Draining, MoveState::InMaintenance);
    fleet.advance(failed, MoveState::InMaintenance, MoveState::Failed);
    const auto rejected = propose("dispatch-z1-2", "wave-1");
    fleet.apply(Fleet::DecideMove{rejected, false}, "ana");
    const auto &ended = fleet.state.waves().at("wave-1");
    EXPECT_EQ(ended.finished, std::vector<std::string>{"dispatch-z1-0"});
    EXPECT_EQ(ended.failed, std::vector<std::string>{"dispatch-z1-1"});
    EXPECT_EQ(ended.skipped, std::vector<std::string>{"dispatch-z1-2"});
    EXPECT_FALSE(ended.isOpen());
    EXPECT_EQ(fleet.state.findHost("dispatch-z1-1")->state, Fleet::HostState::Failed);
}
