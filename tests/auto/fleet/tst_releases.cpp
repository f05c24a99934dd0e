#include "statedriver.h"

using Fleet::AdvanceMove;
using Fleet::MoveState;

namespace {

constexpr std::int64_t routingLeaseMs = 3000;

class Releases : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        driver.addCamara();
        registerProcess("z1-a", "z1", 1);
        registerProcess("z1-b", "z1", 1);
        registerProcess("z2-a", "z2", 1);
        Fleet::Move move;
        move.id = "m1";
        move.kind = Fleet::MoveKind::Reassign;
        move.host = "h1";
        move.toPool = "spare";
        ASSERT_TRUE(driver.apply(Fleet::ProposeMove{move}).accepted);
        ASSERT_TRUE(driver.apply(Fleet::DecideMove{"m1", true}).accepted);
        const AdvanceMove drain{"m1", MoveState::Approved, MoveState::Draining, {}};
        ASSERT_TRUE(driver.apply(drain).accepted);
    }

    auto registerProcess(const std::string &id, const std::string &zone, std::int64_t incarnation)
        -> void
    {
        const Fleet::RegisterProcess command{id, zone, incarnation, routingLeaseMs};
        ASSERT_TRUE(driver.apply(command).accepted);
    }
    auto release(const std::string &process, std::int64_t incarnation = 1) -> Fleet::CommandResult
    {
        return driver.apply(Fleet::ReleaseHost{"m1", "h1", 1, process, incarnation});
    }
    auto finish() -> Fleet::CommandResult
    {
        return driver.apply(AdvanceMove{"m1", MoveState::Draining, MoveState::Done, {}});
    }
    auto advancePastRoutingLease() -> void { driver.timeMs += routingLeaseMs; }

    StateDriver driver;
};

} // namespace

TEST_F(Releases, TheMoveWaitsForAllProcessesOfTheZone)
{
    EXPECT_TRUE(release("z1-a").accepted);
    advancePastRoutingLease();
    const auto refused = finish();
    EXPECT_EQ(refused.errorType, "refused");
    EXPECT_EQ(refused.details, "z1-b");
    EXPECT_TRUE(release("z1-b").accepted);
    EXPECT_TRUE(finish().accepted);
    EXPECT_EQ(driver.host("h1").pool, "spare");
    EXPECT_EQ(driver.host("h1").assignmentEpoch, 2);
}

TEST_F(Releases, TheDrainLastsTheRoutingLeaseOfOtherZones)
{
    release("z1-a");
    release("z1-b");
    driver.timeMs += routingLeaseMs - 1;
    EXPECT_EQ(finish().errorType, "refused");
    driver.timeMs += 1;
    EXPECT_TRUE(finish().accepted);
}

TEST_F(Releases, ARestartedProcessMustReleaseAgain)
{
    release("z1-a");
    release("z1-b");
    advancePastRoutingLease();
    registerProcess("z1-b", "z1", 2);
    EXPECT_EQ(finish().details, "z1-b");
    EXPECT_EQ(release("z1-b", 1).errorType, "conflict");
    EXPECT_TRUE(release("z1-b", 2).accepted);
    EXPECT_TRUE(finish().accepted);
}

TEST_F(Releases, AnOperatorMayWaiveMissingReleasesWithAnAuditRecord)
{
    advancePastRoutingLease();
    EXPECT_TRUE(driver.apply(Fleet::OverrideRelease{"m1", "zone z1 is lost"}).accepted);
    EXPECT_TRUE(finish().accepted);
    const auto overrides = driver.replica.read([](const Fleet::State &state) {
        return std::ranges::count(state.audit(), "override-release", &Fleet::AuditRecord::command);
    });
    EXPECT_EQ(overrides, 1);
}

TEST_F(Releases, ARetiredProcessIsNotWaitedFor)
{
    release("z1-a");
    advancePastRoutingLease();
    EXPECT_TRUE(driver.apply(Fleet::RetireProcess{"z1-b", "it is lost"}).accepted);
    EXPECT_TRUE(finish().accepted);
}

TEST_F(Releases, AFailedDrainNeedsNoReleaseAndItsReleasesDoNotCountAgain)
{
    release("z1-a");
    release("z1-b");
    advancePastRoutingLease();
    const AdvanceMove fail{"m1", MoveState::Draining, MoveState::Failed, {}};
    EXPECT_TRUE(driver.apply(fail).accepted);
    EXPECT_EQ(driver.host("h1").assignmentEpoch, 1);
    EXPECT_EQ(release("z1-a").errorType, "conflict");
}
