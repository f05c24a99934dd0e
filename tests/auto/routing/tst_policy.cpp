#include "policymodel.h"

#include "routing/slotshare.h"

#include <gtest/gtest.h>

namespace {

constexpr std::array<std::uint64_t, 3> seeds{1, 2, 3};

} // namespace

TEST(SlotShare, RangesCoverAllSlotsWithoutOverlap)
{
    const std::vector<int> slots{8, 8, 4, 0, 1};
    const std::vector<double> demand{0, 40, 3, 0, 7};
    std::vector<int> sum(slots.size());
    for (std::size_t self = 0; self < demand.size(); ++self) {
        Routing::DemandShare share;
        share.own = demand[self];
        share.before = std::accumulate(demand.begin(), demand.begin() + std::ptrdiff_t(self), 0.0);
        share.after = std::accumulate(demand.begin() + std::ptrdiff_t(self) + 1, demand.end(), 0.0);
        share.processesBefore = int(self);
        share.processesAfter = int(demand.size() - 1 - self);
        const auto allowances = Routing::slotAllowances(Routing::slotRange(share, 21), slots);
        for (std::size_t index = 0; index < slots.size(); ++index)
            sum[index] += allowances[index];
    }
    EXPECT_EQ(sum, slots);
}

TEST(Policy, GoodputAndRetriesStayWithinTheirBounds)
{
    for (const auto seed : seeds) {
        PolicyModel::DemandOptions options;
        options.seed = seed;
        const auto result = PolicyModel::runDemand(options);
        EXPECT_GE(result.workDone / result.workPossible, 0.95) << "seed " << seed;
        EXPECT_LE(double(result.retries) / double(result.requests), 0.1) << "seed " << seed;
    }
}

TEST(Policy, UrgentRequestsWithinTheGuaranteeAreNeitherLateNorRefused)
{
    for (const auto seed : seeds) {
        PolicyModel::DemandOptions options;
        options.seed = seed;
        const auto result = PolicyModel::runDemand(options);
        EXPECT_EQ(result.urgentFailures, 0)
            << "of " << result.urgentWithinGuarantee << ", seed " << seed;
    }
}

TEST(Policy, UrgentRequestsWithinTheGuaranteeHoldWithViewsTwoSecondsOld)
{
    PolicyModel::DemandOptions options;
    options.stalenessMs = 2000;
    const auto result = PolicyModel::runDemand(options);
    EXPECT_EQ(result.urgentFailures, 0) << "of " << result.urgentWithinGuarantee;
}
