#include "fleetfixture.h"

#include "planning/bufferplanner.h"

#include <gtest/gtest.h>

namespace {

constexpr std::int64_t sampleMs = 5'000;

class FakeDemand final : public Planning::DemandSource
{
public:
    auto series(const Planning::PoolZone &poolZone) const
        -> std::vector<Planning::DemandSample> override
    {
        const auto found = samples.find(poolZone);
        return found == samples.end() ? std::vector<Planning::DemandSample>() : found->second;
    }
    auto set(const std::string &pool, std::int64_t slots, std::int64_t fromMs, std::int64_t untilMs)
        -> void
    {
        for (auto atMs = fromMs; atMs <= untilMs; atMs += sampleMs)
            samples[{"z1", pool}].push_back({atMs, slots});
    }

    std::map<Planning::PoolZone, std::vector<Planning::DemandSample>> samples;
};

class BufferPlanner : public testing::Test
{
protected:
    BufferPlanner()
    {
        auto contract = FleetFixture::contract(6, 9'000'000, 86400);
        contract.services.push_back({"records", "records", 8, 64, 0});
        contract.spareHosts = 3;
        fleet.apply(Fleet::PutContract{contract, true});
        fleet.apply(Fleet::PutPool{{"records", true, {}, 0}});
        fleet.addHosts("dispatch", 3, 4, "z1");
        fleet.addHosts("records", 3, 4, "z1");
    }
    auto plan() const -> Planning::BufferPlan
    {
        return Planning::planBuffers(fleet.state, demand, {}, fleet.nowMs);
    }
    static auto poolOf(const Planning::BufferPlan &plan, const std::string &pool)
        -> Planning::PoolBuffer
    {
        return *std::ranges::find(plan.zones.at(0).pools, pool, &Planning::PoolBuffer::pool);
    }

    FleetFixture fleet;
    FakeDemand demand;
};

} // namespace

TEST_F(BufferPlanner, AShortPeakBorrowsAndMovesNoHost)
{
    demand.set("dispatch", 1, fleet.nowMs - 600'000, fleet.nowMs - 60'000);
    demand.set("dispatch", 40, fleet.nowMs - 55'000, fleet.nowMs);
    const auto result = plan();
    EXPECT_EQ(poolOf(result, "dispatch").borrowedSlots, 16);
    EXPECT_EQ(poolOf(result, "records").borrowedSlots, -16);
    EXPECT_TRUE(result.moves.empty());
}

TEST_F(BufferPlanner, APeakThatOutlastsTheMoveProposesOneExplainedMove)
{
    demand.set("dispatch", 40, fleet.nowMs - 600'000, fleet.nowMs);
    const auto result = plan();
    ASSERT_EQ(result.moves.size(), 1);
    const auto &move = result.moves.front();
    EXPECT_EQ(move.toPool, "dispatch");
    EXPECT_FALSE(move.reason.empty() || move.cost.empty() || move.rule.empty()
                 || move.alternative.empty());
    ASSERT_TRUE(fleet.apply(Fleet::ProposeMove{move}).accepted);
    EXPECT_TRUE(plan().moves.empty()) << "one reassignment of a zone at a time";
}

TEST_F(BufferPlanner, HostsReturnOnlyAfterALongerTimeOfLowDemand)
{
    Fleet::Move move;
    move.kind = Fleet::MoveKind::Reassign;
    move.host = "records-z1-0";
    move.toPool = "dispatch";
    const auto id = fleet.apply(Fleet::ProposeMove{move, true}).subject;
    fleet.advance(id, Fleet::MoveState::Approved, Fleet::MoveState::Draining);
    ASSERT_TRUE(fleet.advance(id, Fleet::MoveState::Draining, Fleet::MoveState::Done).accepted);
    demand.set("dispatch", 30, fleet.nowMs - 1'800'000, fleet.nowMs - 400'000);
    demand.set("dispatch", 1, fleet.nowMs - 395'000, fleet.nowMs);
    EXPECT_TRUE(plan().moves.empty());
    demand.set("dispatch", 1, fleet.nowMs, fleet.nowMs + 300'000);
    fleet.nowMs += 300'000;
    ASSERT_EQ(plan().moves.size(), 1);
    EXPECT_EQ(plan().moves.front().toPool, "records");
}

TEST_F(BufferPlanner, TheZoneReservesItsWorstRackOnce)
{
    // Each pool is in one rack and requires 8 slots. The reserve covers the loss of one rack, not
    // of both.
    const auto result = plan();
    EXPECT_EQ(result.zones.at(0).reserveSlots, 8);
    EXPECT_EQ(result.requiredSlots().at("dispatch"), 8);
}
