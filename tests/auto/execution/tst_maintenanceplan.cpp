#include "ledgerfixture.h"

#include "execution/maintenanceplan.h"

#include <gtest/gtest.h>

using namespace ExecutionTest;
using Execution::HostOrderResult;
using Execution::HostState;

namespace {

constexpr std::int64_t startedMs = 1'700'000'000'000;
constexpr std::int64_t longAfterEmptyingMs = 5000;

/*! \brief Hosts "a", "b", ... of one wave, each with an endpoint of the same name. */
class WaveFixture
{
public:
    WaveFixture(std::size_t hosts, std::int64_t atOnce)
    {
        Control::Wave wave;
        wave.number = 1;
        wave.durationMs = 30'000;
        wave.maximumAtOnce = atOnce;
        wave.startedMs = startedMs;
        for (std::size_t index = 0; index < hosts; ++index) {
            const std::string name(1, char('a' + index));
            wave.hosts.push_back(name);
            m_ledger.addEndpoint(name);
            list.hosts.push_back({name, "pool", HostState::Up, name});
        }
        list.complete = true;
        m_ledger.state.waves[1] = wave;
        m_ledger.begin();
        m_ledger.lookAll();
    }
    /*! \brief Has another leader take over, who finds a task that is to last on \a endpoint. */
    auto takeOver(const std::string &endpoint) -> void
    {
        m_ledger.addJob("lasting", lastingStep(1, 1));
        m_ledger.recordStart(endpoint, m_ledger.task("lasting"));
        m_ledger.begin();
    }
    auto lookAll() -> void { m_ledger.lookAll(); }

    auto next(std::int64_t elapsedMs) -> Execution::MaintenanceWork
    {
        const auto now = at(elapsedMs);
        return plan.next(m_ledger.state, m_ledger.ledger, list, now, now, startedMs + elapsedMs);
    }
    auto at(std::int64_t elapsedMs) const -> Utils::Instant
    {
        return Utils::Instant(Utils::Milliseconds(1'000'000 + elapsedMs));
    }
    auto runTaskOn(const std::string &endpoint) -> void
    {
        m_ledger.addJob("job-" + endpoint, plainStep(1));
        m_ledger.schedule();
        m_ledger.look(endpoint, {{m_ledger.task("job-" + endpoint), 1, "", 100, 0}});
    }

    Execution::HostList list;
    Execution::MaintenancePlan plan;

private:
    LedgerFixture m_ledger;
};

TEST(MaintenancePlan, TakesAsManyIdleHostsAtOnceAsMayBeAway)
{
    WaveFixture fixture(4, 2);
    const auto first = fixture.next(0);
    EXPECT_EQ(first.begin.size(), 2U);
    EXPECT_FALSE(first.begin[0].repeated);
    // The orders are under way.
    EXPECT_TRUE(fixture.next(100).begin.empty());
}

TEST(MaintenancePlan, EmptiesAsManyBusyHostsAsTheTimeLeftNeeds)
{
    WaveFixture fixture(4, 4);
    for (const auto *busy : {"a", "b", "c"})
        fixture.runTaskOn(busy);
    // The idle host goes at once; with one away at a time the wave would be too late.
    const auto early = fixture.next(0);
    ASSERT_EQ(early.begin.size(), 1U);
    EXPECT_EQ(early.begin[0].host, "d");
    EXPECT_EQ(early.close.size(), 2U);
    // One round of emptying and the reserve are left.
    EXPECT_EQ(fixture.next(20'000).close.size(), 2U);
}

TEST(MaintenancePlan, CountsAnOrderWithoutAnswerAsAwayUntilItCannotBeCarriedOutAnyMore)
{
    WaveFixture fixture(2, 1);
    const auto first = fixture.next(0);
    ASSERT_EQ(first.begin.size(), 1U);
    fixture.plan.ordered(first.begin[0], HostOrderResult::Unknown, fixture.at(100));
    // The same host may be ordered again, but no other one.
    for (std::int64_t elapsedMs = 500; elapsedMs < 13'000; elapsedMs += 500) {
        for (const auto &step : fixture.next(elapsedMs).begin) {
            EXPECT_EQ(step.host, first.begin[0].host);
            EXPECT_TRUE(step.repeated);
            fixture.plan.ordered(step, HostOrderResult::Unknown, fixture.at(100));
        }
    }
}

TEST(MaintenancePlan, AHostInAnotherPoolsMoveIsNotAwayForItsWave)
{
    WaveFixture fixture(3, 1);
    fixture.list.hosts[0].state = HostState::Moving;
    EXPECT_EQ(fixture.next(0).begin.size(), 1U);
}

// A new leader knows of starts, but not what runs, before it has seen an endpoint.
TEST(MaintenancePlan, AHostIsNotIdleWhileTasksOfAnEarlierLeaderMayRunThere)
{
    WaveFixture fixture(1, 1);
    fixture.takeOver("a");
    EXPECT_TRUE(fixture.next(0).begin.empty());
    // The endpoint has answered and runs nothing.
    fixture.lookAll();
    EXPECT_EQ(fixture.next(100).begin.size(), 1U);
}

// An endpoint that has restarted under another id is not listed yet.
TEST(MaintenancePlan, AHostWhoseEndpointIsNotListedYetIsNotTakenForIdle)
{
    WaveFixture fixture(1, 1);
    fixture.runTaskOn("a");
    for (const auto *outdated : {"before", ""}) {
        fixture.list.hosts[0].endpoint = outdated;
        EXPECT_TRUE(fixture.next(0).begin.empty());
        EXPECT_TRUE(fixture.next(longAfterEmptyingMs).begin.empty());
    }
}

TEST(MaintenancePlan, AHostWithoutAnEndpointIsMaintainedWhenAllTasksAreOnListedHosts)
{
    WaveFixture fixture(2, 1);
    fixture.runTaskOn("a");
    fixture.list.hosts[1].endpoint = "";
    const auto work = fixture.next(0);
    ASSERT_EQ(work.begin.size(), 1U);
    EXPECT_EQ(work.begin[0].host, "b");
}

} // namespace
