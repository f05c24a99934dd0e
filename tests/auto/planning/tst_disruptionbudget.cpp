#include "fleetfixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace {

using Fleet::MoveState;

constexpr std::int64_t minuteMs = 60'000;

struct Limits
{
    std::int64_t maxUnavailable;
    std::int64_t budgetHostS;
};

struct GrantCase
{
    std::string name;
    Limits limits;
    int failedHosts;
    int openStops;
    bool granted;
    std::string rule;
};

} // namespace

TEST(DisruptionBudget, GrantsWithinBothLimitsAndTheReserve)
{
    // With racks of four hosts the reserve is 4 hosts and 7200 host-seconds.
    const std::vector<GrantCase> cases{
        {"one stop and a rack", {5, 9000}, 0, 0, true, ""},
        {"no room for a rack in host-seconds", {5, 8999}, 0, 0, false, "budget-host-s"},
        {"a failure counts", {5, 90000}, 1, 0, false, "max-unavailable-hosts"},
        {"a failure beside a wide limit", {6, 90000}, 1, 0, true, ""},
        {"limit below a rack, first stop", {2, 90000}, 0, 0, true, ""},
        {"limit below a rack, second stop", {2, 90000}, 0, 1, false, "max-unavailable-hosts"},
        {"limit below a rack and a failure", {2, 90000}, 1, 0, false, "max-unavailable-hosts"},
        {"an open stop is escrowed", {9, 10000}, 0, 1, false, "budget-host-s"},
        {"a limit of 0", {0, 90000}, 0, 0, false, "max-unavailable-hosts"},
    };
    for (const auto &testCase : cases) {
        FleetFixture fleet;
        fleet.apply(Fleet::PutContract{FleetFixture::contract(testCase.limits.maxUnavailable,
                                                              testCase.limits.budgetHostS,
                                                              86400),
                                       true});
        fleet.addHosts("dispatch", 12, 4, "z1");
        for (int index = 0; index < testCase.failedHosts; ++index)
            fleet.apply(Fleet::ReportHost{"dispatch-z1-" + std::to_string(11 - index), true});
        for (int index = 0; index <= testCase.openStops; ++index) {
            const auto move = fleet.proposeAndApprove("dispatch-z1-" + std::to_string(index));
            const auto result = fleet.advance(move, MoveState::Approved, MoveState::Draining);
            if (index < testCase.openStops) {
                ASSERT_TRUE(result.accepted) << testCase.name;
                continue;
            }
            EXPECT_EQ(result.accepted, testCase.granted) << testCase.name << result.details;
            EXPECT_TRUE(testCase.granted || result.message.find(testCase.rule) != std::string::npos)
                << testCase.name << ": " << result.message;
        }
    }
}

TEST(DisruptionBudget, ChargesEveryCustomerOfThePool)
{
    FleetFixture fleet;
    fleet.apply(Fleet::PutContract{FleetFixture::contract(9, 90000, 86400), true});
    auto other = FleetFixture::contract(1, 90000, 86400);
    other.customer = "kerbside";
    fleet.apply(Fleet::PutContract{other, true});
    fleet.addHosts("dispatch", 8, 4, "z1");
    const auto first = fleet.proposeAndApprove("dispatch-z1-0");
    ASSERT_TRUE(fleet.advance(first, MoveState::Approved, MoveState::Draining).accepted);
    const auto second = fleet.proposeAndApprove("dispatch-z1-1");
    const auto refused = fleet.advance(second, MoveState::Approved, MoveState::Draining);
    EXPECT_FALSE(refused.accepted);
    EXPECT_NE(refused.message.find("kerbside"), std::string::npos) << refused.message;
}

TEST(DisruptionBudget, AnEditedContractAppliesToTheNextGrant)
{
    FleetFixture fleet;
    fleet.apply(Fleet::PutContract{FleetFixture::contract(9, 90000, 86400), true});
    fleet.addHosts("dispatch", 8, 4, "z1");
    const auto move = fleet.proposeAndApprove("dispatch-z1-0");
    fleet.apply(Fleet::PutContract{FleetFixture::contract(0, 0, 86400), true});
    EXPECT_FALSE(fleet.advance(move, MoveState::Approved, MoveState::Draining).accepted);
}

TEST(DisruptionBudget, AStopPastItsWorstCaseKeepsChargingAndStopsGrants)
{
    FleetFixture fleet;
    const auto contract = FleetFixture::contract(9, 900000, 86400);
    fleet.apply(Fleet::PutContract{contract, true});
    fleet.addHosts("dispatch", 8, 4, "z1");
    const auto move = fleet.proposeAndApprove("dispatch-z1-0");
    ASSERT_TRUE(fleet.advance(move, MoveState::Approved, MoveState::Draining).accepted);
    fleet.nowMs += 31 * minuteMs;
    EXPECT_EQ(fleet.state.ledger().status(contract, fleet.nowMs).escrowHostS, 31 * 60);
    const auto second = fleet.proposeAndApprove("dispatch-z1-1");
    const auto refused = fleet.advance(second, MoveState::Approved, MoveState::Draining);
    EXPECT_NE(refused.message.find("overrunning-stop"), std::string::npos) << refused.message;
}

TEST(DisruptionBudget, AFailureInTheMiddleOfAMoveIsChargedWithoutAGap)
{
    FleetFixture fleet;
    const auto contract = FleetFixture::contract(9, 900000, 86400);
    fleet.apply(Fleet::PutContract{contract, true});
    fleet.addHosts("dispatch", 8, 4, "z1");
    const auto move = fleet.proposeAndApprove("dispatch-z1-0");
    fleet.advance(move, MoveState::Approved, MoveState::Draining);
    fleet.nowMs += minuteMs;
    fleet.apply(Fleet::ReportHost{"dispatch-z1-0", true, fleet.nowMs - 2 * minuteMs});
    EXPECT_EQ(fleet.state.findMove(move)->state, MoveState::Failed);
    EXPECT_EQ(fleet.state.findHost("dispatch-z1-0")->state, Fleet::HostState::Failed);
    fleet.nowMs += minuteMs;
    auto status = fleet.state.ledger().status(contract, fleet.nowMs);
    EXPECT_EQ(status.spentHostS, 120);
    EXPECT_EQ(status.unavailableHosts, 1);
    fleet.apply(Fleet::ReportHost{"dispatch-z1-0", false});
    status = fleet.state.ledger().status(contract, fleet.nowMs);
    EXPECT_EQ(status.unavailableHosts, 1) << "soaks after the repair";
    fleet.nowMs += Fleet::failureSoakMs;
    status = fleet.state.ledger().status(contract, fleet.nowMs);
    EXPECT_EQ(status.unavailableHosts, 0);
    EXPECT_EQ(status.spentHostS, 120);
}

TEST(DisruptionBudget, SecondLeaderRepeatsAStepWithoutASecondGrant)
{
    FleetFixture fleet;
    fleet.apply(Fleet::PutContract{FleetFixture::contract(9, 900000, 86400), true});
    fleet.addHosts("dispatch", 8, 4, "z1");
    const auto move = fleet.proposeAndApprove("dispatch-z1-0");
    ASSERT_TRUE(fleet.advance(move, MoveState::Approved, MoveState::Draining).accepted);
    const auto repeated = fleet.advance(move, MoveState::Approved, MoveState::Draining);
    EXPECT_EQ(repeated.errorType, "conflict");
    EXPECT_EQ(fleet.state.ledger().grants().size(), 1);
}

// A planned stop must leave room for its own worst case, even if hosts fail, return, overrun or are
// reported late. The test counts the spent host-seconds itself, from the states of the hosts.
TEST(DisruptionBudget, IsNeverOverspentByAPlannedStop)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        const auto pick = [&](std::int64_t below) { return std::int64_t(random() % below); };
        FleetFixture fleet;
        const Limits limits{1 + pick(9), 9000 + 3600 * pick(8)};
        const std::int64_t windowS = 14400;
        const auto contract =
            FleetFixture::contract(limits.maxUnavailable, limits.budgetHostS, windowS);
        fleet.apply(Fleet::PutContract{contract, true});
        fleet.addHosts("dispatch", 12, 4, "z1");
        std::map<std::string, std::vector<std::int64_t>> outages; // Minutes of outage by host.
        int granted = 0;
        for (std::int64_t minute = 0; minute < 3000; ++minute) {
            fleet.nowMs += minuteMs;
            for (const auto &[id, host] : fleet.state.hosts()) {
                if (host.state != Fleet::HostState::Serving)
                    outages[id].push_back(minute);
            }
            const auto host = "dispatch-z1-" + std::to_string(pick(12));
            const auto state = fleet.state.findHost(host)->state;
            if (pick(200) == 0)
                fleet.apply(Fleet::ReportHost{host, true, fleet.nowMs - pick(3) * 1000});
            if (state == Fleet::HostState::Failed && pick(5) == 0)
                fleet.apply(Fleet::ReportHost{host, false});
            if (state == Fleet::HostState::Serving && pick(2) == 0) {
                auto move = fleet.state.findHost(host)->move;
                if (move.empty())
                    move = fleet.proposeAndApprove(host);
                const auto before = fleet.state.hosts();
                const auto grant = fleet.advance(move, MoveState::Approved, MoveState::Draining);
                if (!grant.accepted)
                    continue;
                ++granted;
                std::int64_t spentS = 0;
                std::int64_t unavailable = 0;
                for (const auto &[id, minutes] : outages) {
                    for (const auto past : minutes)
                        spentS += past > minute - windowS / 60 ? 60 : 0;
                }
                std::int64_t openWorstCaseS = 0;
                for (const auto &[id, other] : before) {
                    unavailable += other.state != Fleet::HostState::Serving ? 1 : 0;
                    const auto *open = fleet.state.findMove(other.move);
                    if (!open || other.state == Fleet::HostState::Serving)
                        continue;
                    const auto grantedMs = fleet.state.ledger().grants().at(open->id).grantedMs;
                    openWorstCaseS += 1800 - (fleet.nowMs - grantedMs) / 1000;
                }
                ASSERT_LE(unavailable + 1, limits.maxUnavailable) << "seed " << seed;
                ASSERT_LE(spentS + openWorstCaseS + 1800, limits.budgetHostS) << "seed " << seed;
            }
            for (const auto &[id, move] : std::map(fleet.state.moves())) {
                if (move.state == MoveState::Draining)
                    fleet.advance(id, MoveState::Draining, MoveState::InMaintenance);
                else if (move.state == MoveState::InMaintenance && pick(12) == 0)
                    fleet.advance(id,
                                  MoveState::InMaintenance,
                                  pick(10) == 0 ? MoveState::Failed : MoveState::Soaking);
                else if (move.state == MoveState::Soaking && pick(2) == 0)
                    fleet.advance(id, MoveState::Soaking, MoveState::Done);
            }
        }
        EXPECT_GT(granted, 0) << "seed " << seed;
    }
}
