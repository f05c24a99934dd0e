#include "entry/startgate.h"

#include <gtest/gtest.h>

namespace {

struct GateCase
{
    const char *name;
    bool caughtUp;
    bool knowsEndpoints;
    std::int64_t elapsedMs;
    bool open;
};

constexpr Utils::Milliseconds grace{2000};

} // namespace

TEST(StartGate, OpensWhenCaughtUpAndEndpointsAreKnownOrGraceHasExpired)
{
    const std::vector<GateCase> cases{
        {"just started", false, false, 0, false},
        {"endpoints known, state outdated", false, true, 60'000, false},
        {"caught up without endpoints", true, false, 1999, false},
        {"caught up without endpoints, grace expired", true, false, 2000, true},
        {"caught up with endpoints", true, true, 0, true},
    };
    for (const auto &gateCase : cases) {
        Utils::ManualClock clock;
        Entry::StartGate gate(
            clock,
            {[&] { return gateCase.caughtUp; }, [&] { return gateCase.knowsEndpoints; }, grace});
        clock.advance(Utils::Milliseconds(gateCase.elapsedMs));
        EXPECT_EQ(gate.isOpen(), gateCase.open) << gateCase.name;
    }
}

TEST(StartGate, StaysOpenWhenStateIsNoLongerUpToDate)
{
    Utils::ManualClock clock;
    auto caughtUp = true;
    Entry::StartGate gate(clock, {[&] { return caughtUp; }, [] { return true; }, grace});
    EXPECT_TRUE(gate.isOpen());
    caughtUp = false;
    EXPECT_TRUE(gate.isOpen());
}
